//! The leader's part: it renews leases, ends those that were not renewed, grants free ones, and
//! starts runs.
//!
//! Its knowledge is volatile: another leader begins with none of it. Times are of the leader's own
//! monotonic clock, in milliseconds.

use crate::clock_bounds::ClockBounds;
use crate::command::Command;
use crate::injected_bug::InjectedBug;
use crate::message::{LeaseView, PollRequest, PollResponse};
use crate::placement::{choose_holder, MemberStatus};
use crate::spec::{Schedule, MINUTES_PER_DAY};
use crate::state::State;
use crate::task::Task;
use crate::token::FencingToken;
use beamgap_fleet_types::MemberId;
use std::collections::BTreeMap;

/// A new leader hears of all members for this time before it grants leases, in milliseconds.
const GRANT_DELAY_MS: f64 = 1000.0;
/// A lease whose holder was not notified of it may be ended after this time, in milliseconds.
const UNANNOUNCED_LEASE_TIMEOUT_MS: f64 = 1000.0;
/// A command that has not taken effect is proposed again after this time, in milliseconds.
const RETRY_INTERVAL_MS: f64 = 300.0;
/// A member that was not heard of for this time is forgotten, in milliseconds.
const FORGET_MEMBER_AFTER_MS: f64 = 60_000.0;
/// Largest number of leases in one response.
const MAX_LEASES_PER_RESPONSE: usize = 1024;

/// When a lease was last renewed.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Renewal {
    /// Or when it was first seen.
    at: f64,
    /// Whether its holder may have been notified of the lease.
    announced: bool,
}

/// What was last proposed for a task, and the state of the task at that time.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Proposal {
    lease: Option<FencingToken>,
    runs: u64,
    at: f64,
}

/// The leader's part.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LeaseLeader {
    leading_since: Option<f64>,
    members: BTreeMap<MemberId, MemberStatus>,
    renewals: BTreeMap<FencingToken, Renewal>,
    /// Whether a majority has confirmed this leader: from then on, all that earlier leaders
    /// committed is applied.
    confirmed: bool,
    /// Leases whose end was proposed, and when. They are not renewed, as the end may be committed
    /// at any moment.
    ending: BTreeMap<FencingToken, f64>,
    proposals: BTreeMap<String, Proposal>,
    /// When runs were started, as far as this leader knows.
    run_started_at: BTreeMap<String, f64>,
    clock_bounds: ClockBounds,
    injected_bug: InjectedBug,
}

impl LeaseLeader {
    /// One that does not lead yet.
    pub fn new(clock_bounds: ClockBounds, injected_bug: InjectedBug) -> LeaseLeader {
        LeaseLeader {
            clock_bounds,
            injected_bug,
            ..LeaseLeader::default()
        }
    }

    /// Tells whether this process leads from now on. With a change of that, everything is
    /// forgotten.
    pub fn set_leadership(&mut self, now: f64, is_leader: bool) {
        if is_leader == self.leading_since.is_some() {
            return;
        }
        *self = LeaseLeader::new(self.clock_bounds, self.injected_bug);
        if is_leader {
            self.leading_since = Some(now);
        }
    }

    /// The milliseconds since a lease was renewed, if this leader knows of it.
    pub fn since_renewal(&self, now: f64, token: FencingToken) -> Option<f64> {
        self.renewals.get(&token).map(|renewal| now - renewal.at)
    }

    /// Renews a lease no more, so that it ends and the task moves to another member.
    pub fn release(&mut self, now: f64, token: FencingToken) {
        self.ending.insert(token, now);
    }

    /// Answers a member and renews its leases. Must be called only after a majority has confirmed
    /// this leader, later than the request came in.
    pub fn handle_request(
        &mut self,
        now: f64,
        state: &State,
        request: &PollRequest,
    ) -> PollResponse {
        self.track_new_leases(now, state);
        self.confirmed = true;
        self.note_member(now, request);
        let mut leases = Vec::new();
        let mut ending = Vec::new();
        let held = state.tasks.values().filter_map(|task| {
            let lease = task
                .lease
                .as_ref()
                .filter(|lease| lease.holder == request.member)?;
            Some((task, lease.token))
        });
        for (task, token) in held.take(MAX_LEASES_PER_RESPONSE) {
            if self.ending.contains_key(&token) {
                ending.push(token);
                continue;
            }
            self.renewals.insert(
                token,
                Renewal {
                    at: now,
                    announced: true,
                },
            );
            leases.push(LeaseView::new(task, token));
        }
        let is_up_to_date = request.known_change_count == Some(state.change_count);
        PollResponse {
            change_count: state.change_count,
            clock_bounds: self.clock_bounds,
            leases: if is_up_to_date { None } else { Some(leases) },
            ending,
        }
    }

    /// Gives the commands to propose as time passes.
    ///
    /// `minute` is the wall clock's count of minutes since 1970, if it is known. It decides when
    /// daily runs are due, and nothing else.
    pub fn tick(&mut self, now: f64, minute: Option<u64>, state: &State) -> Vec<Command> {
        let Some(leading_since) = self.leading_since else {
            return Vec::new();
        };
        self.track_new_leases(now, state);
        self.forget_what_is_over(now, state);
        let may_grant = now - leading_since >= GRANT_DELAY_MS;
        let mut lease_counts = count_leases(state);
        let mut commands = Vec::new();
        for task in state.tasks.values() {
            if self.is_proposal_pending(now, task) {
                continue;
            }
            let command = match &task.lease {
                Some(lease) => self.end_if_expired(now, task, lease.token),
                None if task.runnable() && may_grant => self.grant(now, task, &mut lease_counts),
                None if task.runnable() => None,
                None => self.start_due_run(now, minute, task),
            };
            if let Some(command) = command {
                self.note_proposal(now, task);
                commands.push(command);
            }
        }
        commands
    }

    /// Notes leases that are seen for the first time. An earlier leader can have renewed them only
    /// before this one led; a lease that was granted under this leader is unknown to its holder
    /// until it is notified from here.
    fn track_new_leases(&mut self, now: f64, state: &State) {
        let announced = !self.confirmed;
        let skips_wait = announced && self.injected_bug == InjectedBug::NoWait;
        let at = if skips_wait { f64::NEG_INFINITY } else { now };
        for lease in state.tasks.values().filter_map(|task| task.lease.as_ref()) {
            self.renewals
                .entry(lease.token)
                .or_insert(Renewal { at, announced });
        }
    }

    fn note_member(&mut self, now: f64, request: &PollRequest) {
        let status = self
            .members
            .entry(request.member.clone())
            .or_insert_with(|| MemberStatus {
                first_heard_at: now,
                last_heard_at: now,
                zone: String::new(),
                draining: false,
            });
        status.last_heard_at = now;
        status.draining = request.draining;
        status.zone.clone_from(&request.zone);
    }

    fn forget_what_is_over(&mut self, now: f64, state: &State) {
        let is_granted =
            |token: &FencingToken| state.tasks.values().any(|task| task.is_held_under(*token));
        self.renewals.retain(|token, _| is_granted(token));
        self.ending.retain(|token, _| is_granted(token));
        self.members
            .retain(|_, status| now - status.last_heard_at < FORGET_MEMBER_AFTER_MS);
        self.proposals
            .retain(|task, _| state.tasks.contains_key(task));
        self.run_started_at
            .retain(|task, _| state.tasks.contains_key(task));
    }

    /// Whether a command was proposed for the task a short time ago and the task is as it was then.
    fn is_proposal_pending(&self, now: f64, task: &Task) -> bool {
        let Some(proposal) = self.proposals.get(&task.spec.name) else {
            return false;
        };
        let lease = task.lease.as_ref().map(|lease| lease.token);
        let is_unchanged = proposal.lease == lease && proposal.runs == task.runs;
        is_unchanged && now - proposal.at < RETRY_INTERVAL_MS
    }

    fn note_proposal(&mut self, now: f64, task: &Task) {
        let lease = task.lease.as_ref().map(|lease| lease.token);
        let proposal = Proposal {
            lease,
            runs: task.runs,
            at: now,
        };
        self.proposals.insert(task.spec.name.clone(), proposal);
    }

    /// Ends a lease that has expired by its holder's clock, however that runs.
    fn end_if_expired(&mut self, now: f64, task: &Task, token: FencingToken) -> Option<Command> {
        let length_ms = task.spec.lease_ms;
        let renewal = self.renewals.get(&token).copied()?;
        let wait_ms = if !renewal.announced {
            UNANNOUNCED_LEASE_TIMEOUT_MS
        } else if self.injected_bug == InjectedBug::NoMargin {
            length_ms
        } else {
            self.clock_bounds.expired_everywhere_after(length_ms)
        };
        if now - renewal.at <= wait_ms {
            return None;
        }
        self.ending.insert(token, now);
        Some(Command::EndLease {
            task: task.spec.name.clone(),
            token,
        })
    }

    fn grant(
        &self,
        now: f64,
        task: &Task,
        lease_counts: &mut BTreeMap<MemberId, usize>,
    ) -> Option<Command> {
        let holder = choose_holder(now, task, &self.members, lease_counts)?;
        *lease_counts.entry(holder.clone()).or_default() += 1;
        Some(Command::GrantLease {
            task: task.spec.name.clone(),
            holder,
        })
    }

    /// Starts a run that is due. A leader that does not know when the last run was started counts
    /// from when it first saw the task without a run.
    fn start_due_run(&mut self, now: f64, minute: Option<u64>, task: &Task) -> Option<Command> {
        if task.run.is_some() || task.paused || task.forbidden || task.removed {
            return None;
        }
        let name = &task.spec.name;
        let last_started_at = *self.run_started_at.entry(name.clone()).or_insert(now);
        let day = match task.spec.schedule {
            Schedule::Every(interval_ms) if now - last_started_at >= interval_ms => 0,
            Schedule::Daily {
                minute: start,
                window,
            } => {
                day_of_due_run(minute?, start, window).filter(|day| *day > task.last_started_day)?
            }
            Schedule::Every(_) | Schedule::Always | Schedule::OnDemand => return None,
        };
        self.run_started_at.insert(name.clone(), now);
        Some(Command::StartRun {
            task: name.clone(),
            run: task.runs + 1,
            day,
        })
    }
}

/// The number of leases of each member.
fn count_leases(state: &State) -> BTreeMap<MemberId, usize> {
    let mut counts = BTreeMap::new();
    for lease in state.tasks.values().filter_map(|task| task.lease.as_ref()) {
        *counts.entry(lease.holder.clone()).or_default() += 1;
    }
    counts
}

/// The day, counted from 1970, whose daily run may be started in this minute; none outside of the
/// window.
fn day_of_due_run(minute: u64, start: u32, window: u32) -> Option<u64> {
    let since_first_start = minute.checked_sub(u64::from(start))?;
    let minutes_per_day = u64::from(MINUTES_PER_DAY);
    let is_in_window = since_first_start % minutes_per_day < u64::from(window);
    is_in_window.then_some(since_first_start / minutes_per_day)
}
