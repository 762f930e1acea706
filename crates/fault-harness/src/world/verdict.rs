//! Waits for conditions of a fleet and runs the history checkers.

use super::operate::json_text;
use super::*;

impl World {
    /// Waits until every member has admitted a request under at least this policy version, counted from this call.
    ///
    /// # Errors
    ///
    /// If a member has admitted none after `patience`; the text has the fleet's status and the last log lines.
    pub fn all_admit(&self, version: u64, patience: Duration) -> Result<(), String> {
        let (start, deadline) = (now(), Instant::now() + patience);
        loop {
            let mut missing: BTreeSet<String> = (0..self.options.members).map(|m| format!("n{m}")).collect();
            for event in self.history.all().iter().rev().take_while(|e| e.at >= start) {
                if let What::Admit { member, version: under, .. } = &event.what {
                    if *under >= version {
                        missing.remove(member);
                    }
                }
            }
            if missing.is_empty() {
                return Ok(());
            }
            if Instant::now() > deadline {
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

    /// Returns the rules for the policy checker, from the policy versions that the fleet reports.
    pub fn law(&self) -> Result<Law, String> {
        let mut versions = BTreeMap::new();
        let newest = self.version()?;
        for number in 0..=newest {
            let shown = self.operate(&["policy", "show", &number.to_string(), "--json"]);
            let text = String::from_utf8_lossy(&shown.stdout).into_owned();
            let text = json_text(&text, "text").ok_or(format!("version {number} is not shown: {text}"))?;
            versions.insert(number, parse_version(&text));
        }
        Ok(Law { switch_bound: self.options.switch_bound as f64, versions, load: 1 })
    }

    /// Waits until a condition is true; `what` describes the condition in the error message.
    ///
    /// # Errors
    ///
    /// If the condition is still false after `patience`.
    pub fn wait(
        &self,
        what: &str,
        patience: Duration,
        mut is: impl FnMut(&World) -> bool,
    ) -> Result<(), String> {
        let deadline = Instant::now() + patience;
        while !is(self) {
            if Instant::now() > deadline {
                return Err(format!("timed out waiting for: {what}; {}", self.status()));
            }
            std::thread::sleep(Duration::from_millis(60));
        }
        Ok(())
    }

    /// Ends the clients and the members, then runs the policy checker on the history.
    /// After a violation the fleet's folder is left in place for debugging.
    pub fn judge(&mut self) -> Result<Summary, String> {
        self.join();
        let law = self.law()?;
        for client in &self.clients {
            client.asks(None);
            client.stop();
        }
        // The history is complete only after the members have ended and their output has been read to the end.
        self.members.iter_mut().for_each(Process::kill);
        judge(&self.history.all(), &law).map_err(|b: Break| {
            self.keep_folder = true;
            b.to_string()
        })
    }

    /// Runs the task checker on the history, with the step outcomes that the fleet recorded for the named tasks.
    /// Steps of the `repeatable` tasks may be executed more than once.
    pub fn judge_tasks(&self, names: &[&str], repeatable: &[&str]) -> Result<OperationSummary, String> {
        let mut rules = TaskRules::default();
        rules.repeatable.extend(repeatable.iter().map(|name| (*name).to_owned()));
        for name in names {
            // The command fails during a leader election, so the task's record may take some attempts to read.
            self.wait("the record of the task", Duration::from_secs(15), |w| {
                w.task(name)["record"].is_array()
            })?;
            let task = self.task(name);
            for step in task["record"].as_array().ok_or(format!("task {name} has no record: {task}"))? {
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

    /// Returns the numbers of requests that were served and sent, summed over all clients.
    pub fn counts(&self) -> (u64, u64) {
        let sum = |of: fn(&crate::client::Tally) -> &std::sync::atomic::AtomicU64| {
            self.clients.iter().map(|c| of(&c.tally).load(Relaxed)).sum()
        };
        (sum(|t| &t.served), sum(|t| &t.sent))
    }
}

/// Computes the hash of a policy text that members print in their `history use` lines.
fn hash(text: &str) -> String {
    let hash = text.bytes().fold(0u64, |h, b| (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3));
    format!("{hash:x}")
}

/// Extracts the rules of a policy version from its text. Only the forms that the harness's own policies use are recognized.
fn parse_version(text: &str) -> Version {
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
