//! The replicated state of all tasks. Applying the commands of the log in order produces the same
//! state at every voter.

use crate::command::Command;
use crate::spec::{Schedule, TaskSpec, MAX_TASKS};
use crate::task::{Lease, Outcome, Run, Task};
use crate::token::FencingToken;
use beamgap_fleet_types::MemberId;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Replicated state of all tasks of a fleet and their leases.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct State {
    /// Fencing token of the most recently granted lease.
    pub last_token: FencingToken,
    /// The tasks, by name.
    pub tasks: BTreeMap<String, Task>,
    /// Number of commands that have changed the state. Members and the leader compare it to find
    /// out whether a member's list of leases is up to date.
    pub change_count: u64,
    /// Lengths in milliseconds of the granted leases whose task has another length since. All other
    /// leases have the length in their task's definition. Stored behind the other fields, see
    /// [`State::to_snapshot`].
    #[serde(skip)]
    granted_lengths: BTreeMap<FencingToken, f64>,
}

impl State {
    /// Applies a command of the log. A command whose preconditions no longer hold, for example
    /// because its lease has ended, has no effect.
    pub fn apply(&mut self, command: &Command) {
        let changed = match command {
            Command::DefineTasks(specs) => self.define_tasks(specs),
            Command::GrantLease { task, holder } => self.grant_lease(task, holder),
            Command::EndLease { task, token } => self.end_lease(task, *token),
            Command::StartRun { task, run, day } => self.start_run(task, *run, *day),
            Command::BeginStep {
                task,
                token,
                run,
                step,
            } => self.begin_step(task, *token, *run, *step),
            Command::RecordOutcome {
                task,
                token,
                step,
                outcome,
            } => self.record_outcome(task, *token, *step, outcome),
            Command::SetPaused { task, paused } => self.set_paused(task, *paused),
            Command::SetForbidden(names) => self.set_forbidden(names),
        };
        if changed {
            self.change_count += 1;
        }
    }

    /// Length of a lease in milliseconds, from its grant to its end: the holder may be cut off and
    /// use this length, whatever length the task is given meanwhile.
    pub fn lease_length_ms(&self, task: &Task, token: FencingToken) -> f64 {
        let granted = self.granted_lengths.get(&token);
        granted.copied().unwrap_or(task.spec.lease_ms)
    }

    /// Encodes the state with postcard. Program versions that do not know the granted lengths ignore
    /// them, as they stand at the end.
    pub fn to_snapshot(&self) -> Vec<u8> {
        let mut snapshot = postcard::to_stdvec(self).unwrap_or_default();
        if !self.granted_lengths.is_empty() {
            snapshot.extend(postcard::to_stdvec(&self.granted_lengths).unwrap_or_default());
        }
        snapshot
    }

    /// Decodes a snapshot. One of a program version without granted lengths ends before them; its
    /// leases count as granted with their tasks' lengths.
    ///
    /// # Errors
    ///
    /// The error of postcard if the bytes are no snapshot.
    pub fn from_snapshot(snapshot: &[u8]) -> Result<State, postcard::Error> {
        let (mut state, rest): (State, &[u8]) = postcard::take_from_bytes(snapshot)?;
        if !rest.is_empty() {
            state.granted_lengths = postcard::from_bytes(rest)?;
        }
        Ok(state)
    }

    // Each of the following methods returns whether the preconditions of its command held.

    fn define_tasks(&mut self, specs: &[TaskSpec]) -> bool {
        let valid = specs
            .iter()
            .filter(|spec| spec.validate().is_ok())
            .take(MAX_TASKS);
        let specs: BTreeMap<&str, &TaskSpec> =
            valid.map(|spec| (spec.name.as_str(), spec)).collect();
        // The holder of a removed task may still act until its lease ends. The task is therefore
        // kept until then, so that no second lease is granted under the same name.
        for (name, task) in &mut self.tasks {
            task.removed = !specs.contains_key(name.as_str());
        }
        self.tasks
            .retain(|_, task| !task.removed || task.lease.is_some());
        for (name, spec) in specs {
            match self.tasks.get_mut(name) {
                // A run in progress continues under the new definition.
                Some(task) => {
                    if let Some(lease) = &task.lease {
                        keep_length(&mut self.granted_lengths, lease.token, task, spec);
                    }
                    task.spec = spec.clone();
                }
                None => {
                    self.tasks.insert(name.to_owned(), Task::new(spec.clone()));
                }
            }
        }
        true
    }

    fn grant_lease(&mut self, name: &str, holder: &MemberId) -> bool {
        let Some(task) = self.tasks.get_mut(name) else {
            return false;
        };
        if task.lease.is_some() || !task.runnable() {
            return false;
        }
        self.last_token = self.last_token.next();
        task.lease = Some(Lease {
            holder: holder.clone(),
            token: self.last_token,
        });
        true
    }

    fn end_lease(&mut self, name: &str, token: FencingToken) -> bool {
        let Some(task) = self.tasks.get_mut(name) else {
            return false;
        };
        let ends = task.is_held_under(token);
        if ends {
            if task.has_open_step() {
                task.finish_step(Outcome::Unknown("its lease ended".to_owned()));
            }
            task.lease = None;
            self.granted_lengths.remove(&token);
        }
        if task.removed && task.lease.is_none() {
            self.tasks.remove(name);
        }
        ends
    }

    fn start_run(&mut self, name: &str, run: u64, day: u64) -> bool {
        let Some(task) = self.tasks.get_mut(name) else {
            return false;
        };
        let is_next = task.run.is_none() && task.runs + 1 == run;
        if !is_next || task.spec.schedule == Schedule::Always {
            return false;
        }
        task.runs = run;
        task.last_started_day = task.last_started_day.max(day);
        task.run = Some(Run::new(run));
        true
    }

    fn begin_step(&mut self, name: &str, token: FencingToken, number: u64, step: u32) -> bool {
        let Some(task) = self.tasks.get_mut(name) else {
            return false;
        };
        if !task.is_held_under(token) || !task.runnable() {
            return false;
        }
        let Some(run) = &mut task.run else {
            return false;
        };
        let is_next = run.number == number && run.next_step == step && run.open_token.is_none();
        if is_next {
            run.open_token = Some(token);
        }
        is_next
    }

    fn record_outcome(
        &mut self,
        name: &str,
        token: FencingToken,
        step: u32,
        outcome: &Outcome,
    ) -> bool {
        let Some(task) = self.tasks.get_mut(name) else {
            return false;
        };
        let is_open = task
            .run
            .as_ref()
            .is_some_and(|run| run.next_step == step && run.open_token == Some(token));
        if is_open && task.is_held_under(token) {
            task.finish_step(outcome.truncated());
        }
        is_open
    }

    fn set_paused(&mut self, name: &str, paused: bool) -> bool {
        let Some(task) = self.tasks.get_mut(name) else {
            return false;
        };
        task.paused = paused;
        if paused {
            return true;
        }
        if let Some(run) = &mut task.run {
            run.halted_reason = None;
            // If the run halted after its last step, no step is left and the run ends.
            if run.next_step >= task.spec.step_count {
                task.run = None;
            }
        }
        true
    }

    fn set_forbidden(&mut self, names: &[String]) -> bool {
        for task in self.tasks.values_mut() {
            task.forbidden = names.contains(&task.spec.name);
        }
        true
    }
}

/// Keeps the length of a granted lease whose task gets another definition.
fn keep_length(
    granted_lengths: &mut BTreeMap<FencingToken, f64>,
    token: FencingToken,
    task: &Task,
    new_spec: &TaskSpec,
) {
    let granted = *granted_lengths.entry(token).or_insert(task.spec.lease_ms);
    if granted == new_spec.lease_ms {
        granted_lengths.remove(&token);
    }
}
