//! Waiting for what is to come, and judging what came.

use super::operate::json_text;
use super::*;

impl World {
    /// Waits until every member has admitted something under at least this version, from now on.
    pub fn all_admit(&self, version: u64, patience: Duration) -> Result<(), String> {
        let (from, until) = (now(), Instant::now() + patience);
        loop {
            let mut missing: BTreeSet<String> = (0..self.options.members).map(|m| format!("n{m}")).collect();
            for event in self.history.all().iter().rev().take_while(|e| e.at >= from) {
                if let What::Admit { member, version: under, .. } = &event.what {
                    if *under >= version {
                        missing.remove(member);
                    }
                }
            }
            if missing.is_empty() {
                return Ok(());
            }
            if Instant::now() > until {
                let status = self.operate(&["fleet", "status"]);
                let text = String::from_utf8_lossy(&status.stdout).into_owned();
                let logs: Vec<String> = self
                    .members
                    .iter()
                    .map(|m| m.said().log.iter().rev().take(4).rev().cloned().collect::<Vec<_>>().join(" | "))
                    .collect();
                return Err(format!(
                    "{missing:?} admit nothing under version {version}:\n{text}\n{}",
                    logs.join("\n")
                ));
            }
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    /// The versions that were in force, as the fleet tells in the end.
    pub fn law(&self) -> Result<Law, String> {
        let mut versions = BTreeMap::new();
        let most = self.version()?;
        for number in 0..=most {
            let shown = self.operate(&["policy", "show", &number.to_string(), "--json"]);
            let text = String::from_utf8_lossy(&shown.stdout).into_owned();
            let text = json_text(&text, "text").ok_or(format!("version {number} is not shown: {text}"))?;
            versions.insert(number, facts(&text));
        }
        Ok(Law { switch_bound: self.options.switch_bound as f64, versions, load: 1 })
    }

    /// Waits until something is so.
    pub fn wait(
        &self,
        what: &str,
        patience: Duration,
        mut is: impl FnMut(&World) -> bool,
    ) -> Result<(), String> {
        let until = Instant::now() + patience;
        while !is(self) {
            if Instant::now() > until {
                return Err(format!("never came: {what}; {}", self.status()));
            }
            std::thread::sleep(Duration::from_millis(60));
        }
        Ok(())
    }

    /// Ends the clients, and judges what was written down.
    pub fn judge(&mut self) -> Result<Summary, String> {
        self.join();
        let law = self.law()?;
        for client in &self.clients {
            client.asks(None);
            client.stop();
        }
        // What members wrote down is whole once their pipes have ended: no line is on its way any more.
        self.members.iter_mut().for_each(Process::kill);
        judge(&self.history.all(), &law).map_err(|b: Break| {
            self.keep = true;
            b.to_string()
        })
    }

    /// Judges what was acted on for these tasks, by the record that the fleet keeps of them.
    pub fn judge_tasks(&self, names: &[&str], repeatable: &[&str]) -> Result<OperationSummary, String> {
        let mut rules = TaskRules::default();
        rules.repeatable.extend(repeatable.iter().map(|name| (*name).to_owned()));
        for name in names {
            // A leader may be on its way.
            self.wait("the task is told", Duration::from_secs(15), |w| w.task(name)["record"].is_array())?;
            let task = self.task(name);
            for step in task["record"].as_array().ok_or(format!("{name} is not told: {task}"))? {
                let number = |key: &str| step[key].as_u64().unwrap_or_default();
                let key = StepKey { task: (*name).to_owned(), run: number("run"), step: number("step") };
                match step["outcome"].as_str() {
                    Some("done") => rules.done.insert(key),
                    Some("unknown") => rules.unknown.insert(key),
                    _ => false,
                };
            }
        }
        check_operations(&self.history.all(), &rules).map_err(|b: Break| b.to_string())
    }

    /// Served, and sent, by all clients.
    pub fn counts(&self) -> (u64, u64) {
        let sum = |of: fn(&crate::client::Tally) -> &std::sync::atomic::AtomicU64| {
            self.clients.iter().map(|c| of(&c.tally).load(Relaxed)).sum()
        };
        (sum(|t| &t.served), sum(|t| &t.sent))
    }
}

/// The hash that members write of a policy's text.
fn hash(text: &str) -> String {
    let hash = text.bytes().fold(0u64, |h, b| (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3));
    format!("{hash:x}")
}

/// What a text of the rig's policies says, in the judge's words.
fn facts(text: &str) -> Version {
    let mut version = Version { hash: hash(text), ..Version::default() };
    version.refused.extend((text.contains("refused = true")).then_some(1));
    for engine in ["s-00000001", "s-00000002", "s-00000003"] {
        if text.contains(engine) {
            version.left_out.insert(engine.to_owned());
        }
    }
    version.budgets = text.contains("budget \"");
    version.attempts = match text.split("attempts = ").nth(1) {
        Some(rest) => rest.split_whitespace().next().and_then(|n| n.parse().ok()),
        None => None,
    };
    version
}
