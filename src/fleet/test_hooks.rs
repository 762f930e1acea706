//! Hooks for the fault harness, set by the environment variable `BEAMGAP_TRIAL`: a clock that drifts or leaps, a history
//! of what was admitted, a disk whose power can be cut, injected bugs. Nothing is set in service.
//!
//! The variable holds words with commas between: `history`, `rate=1.05`, `offset=5000`, `jump=2000:5000`, `power`,
//! `leash`, `look=300`, `plant=NAME`.

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

/// The environment variable.
pub const TEST_HOOKS_VARIABLE: &str = "BEAMGAP_TRIAL";

/// A word of the variable that can't be used.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum TestHooksError {
    /// A word needs a number.
    #[error("{TEST_HOOKS_VARIABLE}: `{0}` has no number")]
    NoNumber(String),
    /// A word is not known.
    #[error("{TEST_HOOKS_VARIABLE}: `{0}` is not known")]
    UnknownWord(String),
}

/// A leap of the clock.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ClockJump {
    /// At this reading of the machine's clock, in milliseconds.
    pub at_ms: f64,
    /// By this much, in milliseconds.
    pub by_ms: f64,
}

/// What a test has set; the default is service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TestHooks {
    /// Speed of the member's clock, as a multiple of the machine's.
    pub clock_rate: f64,
    /// How far the member's clock is ahead, in milliseconds.
    pub clock_offset_ms: f64,
    /// A leap of the member's clock.
    pub clock_jump: Option<ClockJump>,
    /// Whether what was not synced is lost with the process.
    pub power_cut_disk: bool,
    /// Whether the process ends when its standard input does.
    pub exit_with_stdin: bool,
    /// Pause between a task's look at the clock and its action, in milliseconds.
    pub pause_before_action_ms: f64,
    /// Whether a history is written to standard error.
    pub write_history: bool,
    /// A bug in the policy's part.
    pub policy_bug: PolicyBug,
    /// A bug in the leases.
    pub lease_bug: LeaseBug,
    /// A bug in the budgets.
    pub budget_bug: BudgetBug,
}

impl Default for TestHooks {
    fn default() -> TestHooks {
        TestHooks {
            clock_rate: 1.0,
            clock_offset_ms: 0.0,
            clock_jump: None,
            power_cut_disk: false,
            exit_with_stdin: false,
            pause_before_action_ms: 0.0,
            write_history: false,
            policy_bug: PolicyBug::None,
            lease_bug: LeaseBug::None,
            budget_bug: BudgetBug::None,
        }
    }
}

/// The machine's monotonic clock that counts suspension, in milliseconds. All processes of a machine share it.
pub fn machine_clock() -> f64 {
    let time = clock_gettime(ClockId::Boottime);
    time.tv_sec as f64 * 1000.0 + time.tv_nsec as f64 / 1e6
}

impl TestHooks {
    /// Parses the variable's text.
    ///
    /// # Errors
    /// If a word is not known, or lacks its number.
    pub fn parse(text: &str) -> Result<TestHooks, TestHooksError> {
        let mut hooks = TestHooks::default();
        for word in text.split(',').filter(|word| !word.is_empty()) {
            hooks.set(word)?;
        }
        Ok(hooks)
    }

    /// Reads the variable from an environment.
    ///
    /// # Errors
    /// As [`TestHooks::parse`].
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
            None if word == "leash" => self.exit_with_stdin = true,
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

    /// Injects the bug of this name. Returns whether there is one.
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

    /// The member's clock at a reading of the machine's, both in milliseconds.
    pub fn member_time(&self, machine_ms: f64) -> f64 {
        let jumped = self.clock_jump.filter(|jump| machine_ms >= jump.at_ms);
        let leap = jumped.map_or(0.0, |jump| jump.by_ms);
        machine_ms * self.clock_rate + self.clock_offset_ms + leap
    }

    /// The member's clock.
    pub fn clock(&self) -> Clock {
        let hooks = *self;
        Arc::new(move || hooks.member_time(machine_clock()))
    }

    /// The voter's disk.
    pub fn disk(&self) -> SharedDisk {
        if self.power_cut_disk {
            Arc::new(PowerCutDisk)
        } else {
            Arc::new(FileDisk)
        }
    }

    /// Called between a look at the clock and the action that rests on it, where a process may be suspended.
    pub fn between_look_and_action(&self, what: &str) {
        if self.write_history {
            eprintln!("history look {what}");
        }
        if self.pause_before_action_ms > 0.0 {
            std::thread::sleep(Duration::from_secs_f64(self.pause_before_action_ms / 1000.0));
        }
    }

    /// Has the process end with its standard input, if that is set: when whoever started it is gone.
    pub fn watch_stdin(&self) {
        if !self.exit_with_stdin {
            return;
        }
        std::thread::spawn(|| {
            // Whether by end of file or by an error, whoever started the process is gone.
            let _ = std::io::copy(&mut std::io::stdin(), &mut std::io::sink());
            std::process::exit(1);
        });
    }

    /// The injected bugs of the consensus.
    pub fn consensus_bugs(&self) -> InjectedBugs {
        InjectedBugs {
            unconfirmed_leader: self.policy_bug == PolicyBug::UnconfirmedLeader,
            unsynced_writes: self.policy_bug == PolicyBug::VoteBeforeSync,
        }
    }
}
