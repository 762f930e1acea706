//! Operators' commands, and what the fleet tells of itself.

use super::*;

impl World {
    fn command(&self, words: &[&str]) -> Command {
        let mut command = Command::new(&self.binary);
        command.args(words).arg("--operator").arg(self.folder.join("operator.hcl"));
        command.stdin(Stdio::null()).env_remove("BEAMGAP_TRIAL");
        command
    }

    /// Has the operator's command done.
    pub fn operate(&self, words: &[&str]) -> Output {
        let failed = |e: std::io::Error| Output {
            status: Default::default(),
            stdout: Vec::new(),
            stderr: e.to_string().into(),
        };
        self.command(words).output().unwrap_or_else(failed)
    }

    /// Has a change made, and notes how the command ended: the code, and the version if it is in force.
    pub fn change(&self, words: &[&str]) -> (i32, Option<u64>) {
        let output = self.operate(words);
        note_command(&self.history, &output)
    }

    /// Has a change made beside what the test goes on with; [`World::join`] waits for it.
    pub fn change_later(&mut self, words: &[&str]) {
        let (mut command, history) = (self.command(words), self.history.clone());
        let work = move || {
            if let Ok(output) = command.output() {
                note_command(&history, &output);
            }
        };
        self.operators.push(std::thread::spawn(work));
    }

    /// The version in force.
    pub fn version(&self) -> Result<u64, String> {
        let until = Instant::now() + Duration::from_secs(15);
        loop {
            let shown = self.operate(&["policy", "show", "--json"]);
            let value = serde_json::from_slice::<serde_json::Value>(&shown.stdout).ok();
            if let Some(version) = value.and_then(|v| v["version"].as_u64()) {
                return Ok(version);
            }
            if Instant::now() > until {
                return Err(format!("no version is told: {}", String::from_utf8_lossy(&shown.stderr)));
            }
        }
    }

    /// What the fleet's status says, as JSON.
    pub fn status(&self) -> serde_json::Value {
        let output = self.operate(&["fleet", "status", "--json"]);
        serde_json::from_slice(&output.stdout).unwrap_or_default()
    }

    /// The member that leads.
    pub fn leader(&self) -> Option<usize> {
        let status = self.status();
        let deciders = status["deciders"].as_array()?.clone();
        let leads = |d: &&serde_json::Value| d["role"] == "leader";
        // One that was replaced and does not know yet has an older term.
        let leader = deciders.iter().filter(leads).max_by_key(|d| d["term"].as_u64())?;
        Some(leader["seat"].as_u64()? as usize - 1)
    }

    /// Waits for operators' commands that are still out.
    pub fn join(&mut self) {
        for operator in self.operators.drain(..) {
            let _ = operator.join(); // Its thread does not panic.
        }
    }

    /// A task as the fleet tells it, as JSON.
    pub fn task(&self, name: &str) -> serde_json::Value {
        let output = self.operate(&["task", "show", name, "--json"]);
        serde_json::from_slice(&output.stdout).unwrap_or_default()
    }
}

pub(super) fn note_command(history: &History, output: &Output) -> (i32, Option<u64>) {
    let code = output.status.code().unwrap_or(-1);
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    let change = json_text(&text, "change").unwrap_or_default();
    let version = text.lines().last().and_then(|line| {
        let more = json_text(line, "more")?;
        more.strip_prefix("version ")?.split(' ').next()?.parse().ok()
    });
    history.note(now(), What::Command { change, code, version });
    (code, version)
}

pub(super) fn json_text(text: &str, key: &str) -> Option<String> {
    let value: serde_json::Value = serde_json::from_str(text.lines().next_back()?).ok()?;
    value[key].as_str().map(str::to_owned)
}
