//! Tasks of the fleet in this member: joins the leases (`crates/leases`) to the serving loop and to what is acted on.
//!
//! - [`read`]: the `task` blocks of the operator's file.
//! - [`call`]: an act: a POST to the task's target, on a thread of its own.

pub mod call;
pub mod read;

use super::test_hooks::TestHooks;
use beamgap_consensus::Clock;
use beamgap_leases::leader::{Ask, Reply};
use beamgap_leases::member::{Holder, No};
use beamgap_leases::state::{Command, Outcome};
use call::Runner;
use std::sync::Arc;

/// With more requests than this open at the front end, no further step begins: clients' work goes first.
const OPEN_MOST: usize = 64;

/// This member's part in the fleet's tasks.
pub struct Keeper {
    holder: Holder,
    runner: Runner,
}

impl Keeper {
    /// A member that has just started.
    pub fn new(
        member: &str,
        life: u64,
        zone: &str,
        hooks: TestHooks,
        wake: Arc<dyn Fn() + Send + Sync>,
    ) -> Keeper {
        let clock: Clock = hooks.clock();
        let holder = Holder::new((member.to_owned(), life), zone, hooks.lease_bug);
        Keeper { holder, runner: Runner::new(clock, hooks, wake) }
    }

    /// What is asked of the leader.
    pub fn ask(&self) -> Ask {
        self.holder.ask()
    }

    /// The answer to what was asked at `asked`.
    pub fn reply(&mut self, asked: f64, reply: Reply) {
        self.holder.reply(asked, reply);
    }

    /// It is about to end: it takes nothing more, and gives up what it holds.
    pub fn drain(&mut self) {
        self.holder.drain();
    }

    /// Takes in what acts have come to, and acts on what may be acted on.
    pub fn work(&mut self, now: f64) {
        for outcome in self.runner.outcomes() {
            self.holder.owe(Some(outcome));
        }
        for (task, takes) in self.holder.begun() {
            if !self.runner.has_room() {
                break;
            }
            match self.holder.pass(&task, now, takes) {
                Ok(pass) => {
                    let told = self.holder.told(&task);
                    let work = told.map(|told| told.work.clone()).unwrap_or_default();
                    let run = told.and_then(|told| told.run.as_ref()).map_or(0, |run| run.no);
                    self.runner.act(pass, work, run, takes);
                }
                Err(no @ No::RanOut) => self.holder.never_ran(&task, Outcome::NeverRan(no.to_string())),
                Err(_) => {}
            }
        }
    }

    /// What is to be agreed on, with so many requests open at this front end.
    pub fn wants(&mut self, now: f64, open: usize) -> Vec<Command> {
        self.holder.wants(now, open > OPEN_MOST)
    }

    /// Whether the next answer is waited for: a step is to begin, or to be recorded.
    pub fn hurries(&self, now: f64) -> bool {
        self.holder.hurries(now)
    }
}
