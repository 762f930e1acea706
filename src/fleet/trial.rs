//! What tests set by the environment variable `BEAMGAP_TRIAL`, and nobody else: a clock that runs apart, a history of
//! what was admitted, a disk whose power can be cut, planted faults. Words with commas between: `history`, `rate=1.05`,
//! `offset=5000`, `jump=2000:5000`, `power`, `leash`, `look=300`, `plant=NAME`.

use super::trial_disk::PowerCut;
use beamgap_budgets::InjectedBug as BudgetBug;
use beamgap_council::disk::{Files, SharedDisk};
use beamgap_council::{Clock, Plants};
use beamgap_leases::Plant as LeasePlant;
use beamgap_policy::switch::Plant;
use rustix::time::{clock_gettime, ClockId};
use std::sync::Arc;

/// What a test has set; nothing as a rule.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Trial {
    /// How fast the member's clock runs.
    pub rate: f64,
    /// By how many milliseconds it is ahead.
    pub offset: f64,
    /// The clock leaps at this reading of the machine's, by so many milliseconds.
    pub jump: Option<(f64, f64)>,
    /// Whether what was not synced is lost with the process.
    pub power: bool,
    /// Whether the process ends when its standard input does.
    pub leash: bool,
    /// How long a task's act waits behind its look at the clock, in milliseconds.
    pub look: f64,
    /// Whether a history is written to standard error.
    pub history: bool,
    /// A fault on purpose.
    pub plant: Plant,
    /// One in the leases.
    pub leases: LeasePlant,
    /// One in the budgets.
    pub budgets: BudgetBug,
}

impl Default for Trial {
    fn default() -> Trial {
        Trial {
            rate: 1.0,
            offset: 0.0,
            jump: None,
            power: false,
            leash: false,
            look: 0.0,
            history: false,
            plant: Plant::None,
            leases: LeasePlant::None,
            budgets: BudgetBug::None,
        }
    }
}

/// The machine's monotonic clock that counts suspension, in milliseconds. All processes of a machine share it.
pub fn machine_clock() -> f64 {
    let time = clock_gettime(ClockId::Boottime);
    time.tv_sec as f64 * 1000.0 + time.tv_nsec as f64 / 1e6
}

impl Trial {
    /// Reads the variable's text.
    pub fn read(text: &str) -> Result<Trial, String> {
        let mut trial = Trial::default();
        for word in text.split(',').filter(|word| !word.is_empty()) {
            let number = |text: &str| {
                text.parse::<f64>().map_err(|_| format!("BEAMGAP_TRIAL: `{word}` has no number"))
            };
            match word.split_once('=') {
                None if word == "history" => trial.history = true,
                None if word == "power" => trial.power = true,
                None if word == "leash" => trial.leash = true,
                Some(("look", n)) => trial.look = number(n)?,
                Some(("rate", n)) => trial.rate = number(n)?,
                Some(("jump", text)) => {
                    let (after, by) = text.split_once(':').unwrap_or((text, ""));
                    trial.jump = Some((machine_clock() + number(after)?, number(by)?));
                }
                Some(("offset", n)) => trial.offset = number(n)?,
                Some(("plant", "no-margin")) => trial.leases = LeasePlant::NoMargin,
                Some(("plant", "no-lease-wait")) => trial.leases = LeasePlant::NoWait,
                Some(("plant", "holds-on")) => trial.leases = LeasePlant::HoldsOn,
                Some(("plant", "act-first")) => trial.leases = LeasePlant::ActFirst,
                Some(("plant", "new-leader-gives")) => trial.budgets = BudgetBug::NewLeaderDoesNotWait,
                Some(("plant", "given-twice")) => trial.budgets = BudgetBug::ReassignedBeforeConfirmed,
                Some(("plant", "full-bucket")) => trial.budgets = BudgetBug::FullBurstOnArrival,
                Some(("plant", "no-end")) => trial.budgets = BudgetBug::UsedAfterExpiry,
                Some(("plant", "dead-is-over")) => trial.budgets = BudgetBug::DeadMemberUsageForgotten,
                Some(("plant", name)) => {
                    trial.plant = match name {
                        "early-activation" => Plant::EarlyActivation,
                        "unconfirmed-leader" => Plant::UnconfirmedLeader,
                        "vote-before-sync" => Plant::VoteBeforeSync,
                        "no-catch-up" => Plant::NoCatchUp,
                        "no-wait" => Plant::NoWait,
                        "stale-clock" => Plant::StaleClock,
                        _ => return Err(format!("BEAMGAP_TRIAL: `{word}` is not known")),
                    }
                }
                _ => return Err(format!("BEAMGAP_TRIAL: `{word}` is not known")),
            }
        }
        Ok(trial)
    }

    /// From the environment.
    pub fn of(env: &dyn Fn(&str) -> Option<String>) -> Result<Trial, String> {
        env("BEAMGAP_TRIAL").map_or(Ok(Trial::default()), |text| Trial::read(&text))
    }

    /// A reading of the machine's clock as this member takes it.
    pub fn taken(&self, machine: f64) -> f64 {
        let leap = self.jump.filter(|(at, _)| machine >= *at).map_or(0.0, |(_, by)| by);
        machine * self.rate + self.offset + leap
    }

    /// The member's clock.
    pub fn clock(&self) -> Clock {
        let trial = *self;
        Arc::new(move || trial.taken(machine_clock()))
    }

    /// The decider's disk.
    pub fn disk(&self) -> SharedDisk {
        if self.power {
            Arc::new(PowerCut)
        } else {
            Arc::new(Files)
        }
    }

    /// Where a process may stand still: behind the look at the clock, before the act.
    pub fn between_look_and_act(&self, what: &str) {
        if self.history {
            eprintln!("history look {what}");
        }
        if self.look > 0.0 {
            std::thread::sleep(std::time::Duration::from_secs_f64(self.look / 1000.0));
        }
    }

    /// Ends the process when whoever started it is gone.
    pub fn hold_leash(&self) {
        if self.leash {
            std::thread::spawn(|| {
                let _ = std::io::copy(&mut std::io::stdin(), &mut std::io::sink()); // Its end is what is waited for.
                std::process::exit(1);
            });
        }
    }

    /// The council's part of what is planted.
    pub fn plants(&self) -> Plants {
        Plants {
            unconfirmed: self.plant == Plant::UnconfirmedLeader,
            unsynced: self.plant == Plant::VoteBeforeSync,
        }
    }
}
