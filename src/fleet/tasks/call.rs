//! An act: a POST to the task's target with the lease's token, on a thread of its own, bounded in number and time.
//!
//! The target is told `{"task", "run", "step", "token"}` and the header `Lease-Token`. It answers 2xx for done; 409 if it has seen a
//! newer token, and any other 4xx if it did nothing; all else leaves open whether the step ran.

use crate::fleet::test_hooks::{machine_clock, TestHooks};
use beamgap_consensus::Clock;
use beamgap_leases::member::Pass;
use beamgap_leases::state::{Command, Outcome};
use serde_json::{json, Value};
use std::sync::mpsc::{sync_channel, Receiver, SyncSender};
use std::sync::Arc;
use std::time::Duration;

/// Acts of a member under way at once.
const ACTS_MOST: usize = 8;

/// Does acts.
pub struct Runner {
    clock: Clock,
    hooks: TestHooks,
    wake: Arc<dyn Fn() + Send + Sync>,
    told: SyncSender<Option<Command>>,
    over: Receiver<Option<Command>>,
    out: usize,
}

impl Runner {
    /// One with nothing to do; `wake` is called when an act is over.
    pub fn new(clock: Clock, hooks: TestHooks, wake: Arc<dyn Fn() + Send + Sync>) -> Runner {
        let (told, over) = sync_channel(ACTS_MOST);
        Runner { clock, hooks, wake, told, over, out: 0 }
    }

    /// Whether another act may be under way.
    pub fn has_room(&self) -> bool {
        self.out < ACTS_MOST
    }

    /// What acts that are over owe to the record.
    pub fn outcomes(&mut self) -> Vec<Command> {
        let all: Vec<_> = self.over.try_iter().collect();
        self.out -= all.len();
        all.into_iter().flatten().collect()
    }

    /// Begins an act that lasts so many milliseconds at most.
    pub fn act(&mut self, pass: Pass, work: String, run: u64, takes: f64) {
        let (clock, hooks, told, wake) =
            (self.clock.clone(), self.hooks, self.told.clone(), self.wake.clone());
        let work = move || {
            // The look at the clock comes last: what follows is the act.
            let (task, step) = (pass.task().to_owned(), pass.step().unwrap_or(0));
            let owed = match pass.act(clock()) {
                Err(late) => late.over(),
                Ok(acted) => {
                    let token = acted.token();
                    hooks.between_look_and_action(&format!(
                        "t={:.3} task={task} step={step} token={token}",
                        machine_clock()
                    ));
                    let outcome = post(
                        &work,
                        takes,
                        &json!({"task": task, "run": run, "step": step, "token": token}),
                        token,
                    );
                    acted.over(outcome)
                }
            };
            let _ = told.send(owed); // The loop may have ended.
            wake();
        };
        if std::thread::Builder::new().name("task".into()).spawn(work).is_ok() {
            self.out += 1;
        }
    }
}

fn post(url: &str, takes: f64, body: &Value, token: u64) -> Outcome {
    let config = ureq::Agent::config_builder()
        .timeout_global(Some(Duration::from_secs_f64(takes / 1000.0)))
        .http_status_as_error(false)
        .max_redirects(0)
        .build();
    let sent = ureq::Agent::from(config)
        .post(url)
        .header("Content-Type", "application/json")
        .header("Lease-Token", token.to_string())
        .send(body.to_string());
    match sent {
        Ok(answer) => match answer.status().as_u16() {
            200..=299 => Outcome::Done,
            409 => Outcome::NeverRan("the target has seen a newer token".to_owned()),
            code @ 400..=499 => Outcome::NeverRan(format!("the target refused it with {code}")),
            code => Outcome::Unknown(format!("the target answered {code}")),
        },
        Err(ureq::Error::Io(e)) if e.kind() == std::io::ErrorKind::ConnectionRefused => {
            Outcome::NeverRan("the target refuses connections".to_owned())
        }
        Err(e @ (ureq::Error::BadUri(_) | ureq::Error::HostNotFound)) => Outcome::NeverRan(e.to_string()),
        Err(e) => Outcome::Unknown(e.to_string()),
    }
}
