//! Runs operators' commands and reads the status that the fleet reports.

use super::*;

impl World {
    /// Prepares an operator's command without any injected bug.
    fn command(&self, words: &[&str]) -> Command {
        let mut command = Command::new(&self.binary);
        command.args(words).arg("--operator").arg(self.folder.join("operator.hcl"));
        command.stdin(Stdio::null()).env_remove("BEAMGAP_TRIAL");
        command
    }

    /// Runs an operator's command to its end and returns its output.
    pub fn operate(&self, words: &[&str]) -> Output {
        let failed = |e: std::io::Error| Output {
            status: Default::default(),
            stdout: Vec::new(),
            stderr: e.to_string().into(),
        };
        self.command(words).output().unwrap_or_else(failed)
    }

    /// Runs a command that changes the policy and records the end of the command in the history.
    /// Returns the exit code, and the number of the new policy version if the command reported the version as active.
    pub fn change(&self, words: &[&str]) -> (i32, Option<u64>) {
        let output = self.operate(words);
        note_command(&self.history, &output)
    }

    /// Runs a command that changes the policy in the background; [`World::join`] waits for its end.
    pub fn change_later(&mut self, words: &[&str]) {
        let (mut command, history) = (self.command(words), self.history.clone());
        let work = move || {
            if let Ok(output) = command.output() {
                note_command(&history, &output);
            }
        };
        self.operators.push(std::thread::spawn(work));
    }

    /// Returns the number of the active policy version; retries for up to 15 s until a voter answers.
    pub fn version(&self) -> Result<u64, String> {
        let deadline = Instant::now() + Duration::from_secs(15);
        loop {
            let shown = self.operate(&["policy", "show", "--json"]);
            let value = serde_json::from_slice::<serde_json::Value>(&shown.stdout).ok();
            if let Some(version) = value.and_then(|v| v["version"].as_u64()) {
                return Ok(version);
            }
            if Instant::now() > deadline {
                return Err(format!(
                    "no voter reported the policy version: {}",
                    String::from_utf8_lossy(&shown.stderr)
                ));
            }
        }
    }

    /// Returns the status of the fleet as JSON, or `null` if the command failed.
    pub fn status(&self) -> serde_json::Value {
        let output = self.operate(&["fleet", "status", "--json"]);
        serde_json::from_slice(&output.stdout).unwrap_or_default()
    }

    /// Returns the index of the Raft leader, if a voter reports that it is the leader.
    pub fn leader(&self) -> Option<usize> {
        let status = self.status();
        let deciders = status["deciders"].as_array()?.clone();
        let leads = |d: &&serde_json::Value| d["role"] == "leader";
        // A former leader that has not learned of its successor reports an older term.
        let leader = deciders.iter().filter(leads).max_by_key(|d| d["term"].as_u64())?;
        Some(leader["seat"].as_u64()? as usize - 1)
    }

    /// Waits for the operators' commands that run in the background.
    pub fn join(&mut self) {
        for operator in self.operators.drain(..) {
            let _ = operator.join(); // The thread does not panic, so there is no error to report.
        }
    }

    /// Returns the state of a task as JSON, or `null` if the command failed.
    pub fn task(&self, name: &str) -> serde_json::Value {
        let output = self.operate(&["task", "show", name, "--json"]);
        serde_json::from_slice(&output.stdout).unwrap_or_default()
    }
}

/// Records the end of a command that changes the policy.
/// Returns the command's exit code, and the active policy version if the command printed one.
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

/// Returns the string under a key of the JSON object in the last line of a text.
pub(super) fn json_text(text: &str, key: &str) -> Option<String> {
    let value: serde_json::Value = serde_json::from_str(text.lines().next_back()?).ok()?;
    value[key].as_str().map(str::to_owned)
}
