//! Hooks for the fault harness, set by the environment variable `BEAMGAP_TRIAL`. In production it is not set.
//!
//! The variable is a comma-separated list of these words:
//!
//! - `history`: writes a history of admission decisions, retries and task actions to standard error.
//! - `rate=1.05`: speed of the member's clock, relative to the machine's clock.
//! - `offset=5000`: offset of the member's clock, in milliseconds.
//! - `jump=2000:5000`: after 2,000 ms the member's clock jumps forward by 5,000 ms.
//! - `power`: simulates a power failure at the end of the process, by discarding writes that were not synced.
//! - `fsync=200`: each fsync of a voter takes 200 ms longer; needs `power`.
//! - `leash`: the process exits when its standard input is closed.
//! - `look=300`: pause between the last clock check of a task's lease and the action, in milliseconds.
//! - `plant=NAME`: injects the bug of this name.

use super::test_disk::PowerCutDisk;
use beamgap_budgets::InjectedBug as BudgetBug;
use beamgap_consensus::disk::{FileDisk, SharedDisk};
use beamgap_consensus::{Clock, InjectedBugs};
use beamgap_leases::InjectedBug as LeaseBug;
use beamgap_policy::rollout::InjectedBug as PolicyBug;
use rustix::time::{clock_gettime, ClockId};
use std::sync::Arc;
use std::time::Duration;
use thiserror::Error;

/// Name of the environment variable that sets the hooks.
pub const TEST_HOOKS_VARIABLE: &str = "BEAMGAP_TRIAL";

/// An invalid word in the environment variable.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum TestHooksError {
    /// A word that needs a number has none, or an invalid one.
    #[error("{TEST_HOOKS_VARIABLE}: `{0}` has no number")]
    NoNumber(String),
    /// A word, or the name of an injected bug, is unknown.
    #[error("{TEST_HOOKS_VARIABLE}: `{0}` is not known")]
    UnknownWord(String),
}

/// A jump of the member's clock.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ClockJump {
    /// Time of the jump on the machine's clock, in milliseconds.
    pub at_ms: f64,
    /// How far the member's clock jumps forward, in milliseconds; negative for a jump back.
    pub by_ms: f64,
}

/// The hooks that a test has set. The default, without any hook, is for production.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TestHooks {
    /// Speed of the member's clock relative to the machine's clock.
    pub clock_rate: f64,
    /// Constant offset that is added to the member's clock, in milliseconds.
    pub clock_offset_ms: f64,
    /// One jump of the member's clock.
    pub clock_jump: Option<ClockJump>,
    /// Whether writes that were not synced are lost when the process ends, as in a power failure.
    pub power_cut_disk: bool,
    /// Time by which each fsync takes longer, in milliseconds; needs `power_cut_disk`.
    pub fsync_delay_ms: f64,
    /// Whether the process exits when its standard input is closed.
    pub exit_on_stdin_close: bool,
    /// Pause between the last clock check of a task's lease and the action, in milliseconds.
    pub pause_before_action_ms: f64,
    /// Whether a history of admission decisions, retries and task actions is written to standard error.
    pub write_history: bool,
    /// Bug injected into the policy rollout, the consensus or admission.
    pub policy_bug: PolicyBug,
    /// Bug injected into the task leases.
    pub lease_bug: LeaseBug,
    /// Bug injected into the budgets.
    pub budget_bug: BudgetBug,
}

impl Default for TestHooks {
    fn default() -> TestHooks {
        TestHooks {
            clock_rate: 1.0,
            clock_offset_ms: 0.0,
            clock_jump: None,
            power_cut_disk: false,
            fsync_delay_ms: 0.0,
            exit_on_stdin_close: false,
            pause_before_action_ms: 0.0,
            write_history: false,
            policy_bug: PolicyBug::None,
            lease_bug: LeaseBug::None,
            budget_bug: BudgetBug::None,
        }
    }
}

/// Reads the machine's monotonic clock, in milliseconds. All processes on the machine share this clock, which also
/// advances while the machine is suspended (`CLOCK_BOOTTIME`).
pub fn machine_clock() -> f64 {
    let time = clock_gettime(ClockId::Boottime);
    time.tv_sec as f64 * 1000.0 + time.tv_nsec as f64 / 1e6
}

impl TestHooks {
    /// Parses the value of the environment variable.
    ///
    /// # Errors
    /// If a word is unknown, or its number is missing or invalid.
    pub fn parse(text: &str) -> Result<TestHooks, TestHooksError> {
        let mut hooks = TestHooks::default();
        for word in text.split(',').filter(|word| !word.is_empty()) {
            hooks.set(word)?;
        }
        Ok(hooks)
    }

    /// Reads the hooks from the environment; `env` returns the value of a variable.
    ///
    /// # Errors
    /// The errors of [`TestHooks::parse`].
    pub fn from_env(env: &dyn Fn(&str) -> Option<String>) -> Result<TestHooks, TestHooksError> {
        match env(TEST_HOOKS_VARIABLE) {
            Some(text) => TestHooks::parse(&text),
            None => Ok(TestHooks::default()),
        }
    }

    fn set(&mut self, word: &str) -> Result<(), TestHooksError> {
        let number = |text: &str| text.parse::<f64>().map_err(|_| TestHooksError::NoNumber(word.to_owned()));
        match word.split_once('=') {
            None if word == "history" => self.write_history = true,
            None if word == "power" => self.power_cut_disk = true,
            None if word == "leash" => self.exit_on_stdin_close = true,
            Some(("fsync", text)) => self.fsync_delay_ms = number(text)?,
            Some(("look", text)) => self.pause_before_action_ms = number(text)?,
            Some(("rate", text)) => self.clock_rate = number(text)?,
            Some(("offset", text)) => self.clock_offset_ms = number(text)?,
            Some(("jump", text)) => {
                let (after, by) = text.split_once(':').unwrap_or((text, ""));
                let at_ms = machine_clock() + number(after)?;
                self.clock_jump = Some(ClockJump { at_ms, by_ms: number(by)? });
            }
            Some(("plant", name)) if self.inject(name) => {}
            _ => return Err(TestHooksError::UnknownWord(word.to_owned())),
        }
        Ok(())
    }

    /// Injects the bug of this name. Returns false if the name is unknown.
    fn inject(&mut self, name: &str) -> bool {
        match name {
            "early-activation" => self.policy_bug = PolicyBug::EarlyActivation,
            "unconfirmed-leader" => self.policy_bug = PolicyBug::UnconfirmedLeader,
            "vote-before-sync" => self.policy_bug = PolicyBug::VoteBeforeSync,
            "no-catch-up" => self.policy_bug = PolicyBug::NoCatchUp,
            "no-wait" => self.policy_bug = PolicyBug::NoWait,
            "stale-clock" => self.policy_bug = PolicyBug::StaleClock,
            "no-margin" => self.lease_bug = LeaseBug::NoMargin,
            "no-lease-wait" => self.lease_bug = LeaseBug::NoWait,
            "holds-on" => self.lease_bug = LeaseBug::HoldsOn,
            "act-first" => self.lease_bug = LeaseBug::ActFirst,
            "new-leader-gives" => self.budget_bug = BudgetBug::NewLeaderDoesNotWait,
            "given-twice" => self.budget_bug = BudgetBug::ReassignedBeforeConfirmed,
            "full-bucket" => self.budget_bug = BudgetBug::FullBurstOnArrival,
            "no-end" => self.budget_bug = BudgetBug::UsedAfterExpiry,
            "dead-is-over" => self.budget_bug = BudgetBug::DeadMemberUsageForgotten,
            _ => return false,
        }
        true
    }

    /// Converts a reading of the machine's clock to the member's clock, both in milliseconds.
    pub fn member_time(&self, machine_ms: f64) -> f64 {
        let jumped = self.clock_jump.filter(|jump| machine_ms >= jump.at_ms);
        let jump_ms = jumped.map_or(0.0, |jump| jump.by_ms);
        machine_ms * self.clock_rate + self.clock_offset_ms + jump_ms
    }

    /// Returns the member's clock, which reads in milliseconds.
    pub fn clock(&self) -> Clock {
        let hooks = *self;
        Arc::new(move || hooks.member_time(machine_clock()))
    }

    /// Returns the disk that a voter stores its data on: the file system, or a disk that simulates power failures
    /// and slow fsync.
    pub fn disk(&self) -> SharedDisk {
        if self.power_cut_disk {
            Arc::new(PowerCutDisk { fsync_delay: Duration::from_secs_f64(self.fsync_delay_ms / 1000.0) })
        } else {
            Arc::new(FileDisk)
        }
    }

    /// Runs between the last clock check of a task's lease and the action: writes `details` to the history and pauses.
    ///
    /// If the process is suspended at this point, the action may start after the lease has expired. The pause gives a
    /// test time to suspend the process, and so to check that the target rejects the expired lease's fencing token.
    pub fn before_action(&self, details: &str) {
        if self.write_history {
            eprintln!("history look {details}");
        }
        if self.pause_before_action_ms > 0.0 {
            std::thread::sleep(Duration::from_secs_f64(self.pause_before_action_ms / 1000.0));
        }
    }

    /// Starts a thread that exits the process when its standard input is closed, if the hook is set.
    ///
    /// Closed standard input means that the parent process has ended, so that no test leaves processes behind.
    pub fn watch_stdin(&self) {
        if !self.exit_on_stdin_close {
            return;
        }
        std::thread::spawn(|| {
            // The parent process has ended, whether the copy stops at the end of file or with an error.
            let _ = std::io::copy(&mut std::io::stdin(), &mut std::io::sink());
            std::process::exit(1);
        });
    }

    /// Returns the bugs to inject into the consensus.
    pub fn consensus_bugs(&self) -> InjectedBugs {
        InjectedBugs {
            unconfirmed_leader: self.policy_bug == PolicyBug::UnconfirmedLeader,
            unsynced_writes: self.policy_bug == PolicyBug::VoteBeforeSync,
        }
    }
}
