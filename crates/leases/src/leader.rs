//! The leader's side of the lease protocol: the leader renews leases, ends expired leases, grants
//! leases of tasks without a holder, and starts runs that are due.
//!
//! The leader's state in this module is volatile: a new leader starts with none of it. Times are in
//! milliseconds on the leader's own monotonic clock.

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

/// How long a new leader waits before it grants leases, in milliseconds. All members poll the new
/// leader during this time, so that it distributes leases among all of them.
const GRANT_DELAY_MS: f64 = 1000.0;
/// Time after which the leader ends a lease whose holder was never notified of it, in milliseconds.
/// The full lease length need not pass, because that holder can't have used the lease.
const UNANNOUNCED_LEASE_TIMEOUT_MS: f64 = 1000.0;
/// Interval after which the leader repeats a proposal that has not taken effect, in milliseconds.
const RETRY_INTERVAL_MS: f64 = 300.0;
/// Time since a member's last poll after which the leader drops what it knows of the member, in
/// milliseconds.
const MEMBER_STATUS_RETENTION_MS: f64 = 60_000.0;
/// Largest number of leases that the leader renews in one response to a poll.
const MAX_LEASES_PER_RESPONSE: usize = 1024;

/// The last renewal of a lease by this leader.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Renewal {
    /// When the lease was last renewed, or first seen by this leader if it was never renewed.
    at: f64,
    /// Whether the holder may have been notified of the lease, by this leader or an earlier one.
    announced: bool,
}

/// The last proposal of a command for a task. `lease` and `runs` are copied from the task at that
/// time; a later difference shows that the command has taken effect.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Proposal {
    lease: Option<FencingToken>,
    runs: u64,
    at: f64,
}

/// The leader's side of the lease protocol.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LeaseLeader {
    /// When this process became leader; `None` if it does not lead.
    leading_since: Option<f64>,
    members: BTreeMap<MemberId, MemberStatus>,
    renewals: BTreeMap<FencingToken, Renewal>,
    /// Whether a majority has confirmed this process as leader. From then on, all commands that
    /// earlier leaders committed are applied to the state.
    confirmed: bool,
    /// Leases whose end was proposed or requested, with the time of that. They are no longer
    /// renewed, because their end may be committed at any time.
    ending: BTreeMap<FencingToken, f64>,
    proposals: BTreeMap<String, Proposal>,
    /// When this leader last started a run of each task, or first saw the task without a run if it
    /// has started none.
    run_started_at: BTreeMap<String, f64>,
    clock_bounds: ClockBounds,
    injected_bug: InjectedBug,
}

impl LeaseLeader {
    /// Creates the state of a process that does not lead yet.
    pub fn new(clock_bounds: ClockBounds, injected_bug: InjectedBug) -> LeaseLeader {
        LeaseLeader {
            clock_bounds,
            injected_bug,
            ..LeaseLeader::default()
        }
    }

    /// Sets whether this process leads from now on. A change discards all renewals, proposals and
    /// other volatile state.
    pub fn set_leadership(&mut self, now: f64, is_leader: bool) {
        if is_leader == self.leading_since.is_some() {
            return;
        }
        *self = LeaseLeader::new(self.clock_bounds, self.injected_bug);
        if is_leader {
            self.leading_since = Some(now);
        }
    }

    /// Milliseconds since this leader renewed the lease, or first saw it if never renewed; `None`
    /// for a lease that this leader doesn't track.
    pub fn since_renewal(&self, now: f64, token: FencingToken) -> Option<f64> {
        self.renewals.get(&token).map(|renewal| now - renewal.at)
    }

    /// Stops renewing a lease, so that it ends and its task can move to another member.
    pub fn release(&mut self, now: f64, token: FencingToken) {
        self.ending.insert(token, now);
    }

    /// Answers a member's poll and renews its leases.
    ///
    /// The caller must first have a majority confirm this process as leader, and that confirmation
    /// must be later than the arrival of the request.
    pub fn handle_request(
        &mut self,
        now: f64,
        state: &State,
        request: &PollRequest,
    ) -> PollResponse {
        self.track_new_leases(now, state);
        self.confirmed = true;
        self.update_member_status(now, request);
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
            let length_ms = state.lease_length_ms(task, token);
            leases.push(LeaseView::new(task, token, length_ms));
        }
        let is_up_to_date = request.known_change_count == Some(state.change_count);
        PollResponse {
            change_count: state.change_count,
            clock_bounds: self.clock_bounds,
            leases: if is_up_to_date { None } else { Some(leases) },
            ending,
        }
    }

    /// Returns the commands to propose now. They end expired leases, grant new leases and start
    /// runs that are due.
    ///
    /// `minute` is the wall clock's count of minutes since 1970, if known. The leader uses `minute`
    /// only to decide whether daily runs are due.
    pub fn tick(&mut self, now: f64, minute: Option<u64>, state: &State) -> Vec<Command> {
        let Some(leading_since) = self.leading_since else {
            return Vec::new();
        };
        self.track_new_leases(now, state);
        self.remove_stale_entries(now, state);
        let may_grant = now - leading_since >= GRANT_DELAY_MS;
        let mut lease_counts = count_leases(state);
        let mut commands = Vec::new();
        for task in state.tasks.values() {
            if self.is_proposal_pending(now, task) {
                continue;
            }
            let command = match &task.lease {
                Some(lease) => {
                    let length_ms = state.lease_length_ms(task, lease.token);
                    self.end_if_expired(now, task, lease.token, length_ms)
                }
                None if task.runnable() && may_grant => self.grant(now, task, &mut lease_counts),
                None if task.runnable() => None,
                None => self.start_due_run(now, minute, task),
            };
            if let Some(command) = command {
                self.record_proposal(now, task);
                commands.push(command);
            }
        }
        commands
    }

    /// Starts to track leases that this leader sees for the first time.
    ///
    /// Until this leader is confirmed, such a lease may have been granted under an earlier leader,
    /// which may have notified the holder and renewed the lease until this leader was elected. Once
    /// this leader is confirmed, such a lease was granted under this leader, and its holder learns
    /// of the lease only from this leader.
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

    /// Records the member's latest poll, zone and draining flag for placement.
    fn update_member_status(&mut self, now: f64, request: &PollRequest) {
        let status = self
            .members
            .entry(request.member.clone())
            .or_insert_with(|| MemberStatus {
                first_polled_at: now,
                last_polled_at: now,
                zone: String::new(),
                draining: false,
            });
        status.last_polled_at = now;
        status.draining = request.draining;
        status.zone.clone_from(&request.zone);
    }

    /// Removes the state kept for ended leases, removed tasks and members that stopped polling.
    fn remove_stale_entries(&mut self, now: f64, state: &State) {
        let is_granted =
            |token: &FencingToken| state.tasks.values().any(|task| task.is_held_under(*token));
        self.renewals.retain(|token, _| is_granted(token));
        self.ending.retain(|token, _| is_granted(token));
        self.members
            .retain(|_, status| now - status.last_polled_at < MEMBER_STATUS_RETENTION_MS);
        self.proposals
            .retain(|task, _| state.tasks.contains_key(task));
        self.run_started_at
            .retain(|task, _| state.tasks.contains_key(task));
    }

    /// Whether a command for the task was proposed within the retry interval and has not taken
    /// effect yet.
    fn is_proposal_pending(&self, now: f64, task: &Task) -> bool {
        let Some(proposal) = self.proposals.get(&task.spec.name) else {
            return false;
        };
        let lease = task.lease.as_ref().map(|lease| lease.token);
        let is_unchanged = proposal.lease == lease && proposal.runs == task.runs;
        is_unchanged && now - proposal.at < RETRY_INTERVAL_MS
    }

    /// Records that a command for the task was proposed now.
    fn record_proposal(&mut self, now: f64, task: &Task) {
        let lease = task.lease.as_ref().map(|lease| lease.token);
        let proposal = Proposal {
            lease,
            runs: task.runs,
            at: now,
        };
        self.proposals.insert(task.spec.name.clone(), proposal);
    }

    /// Ends a lease that has certainly expired at its holder, whatever the drift of the holder's
    /// clock within the assumed bound.
    fn end_if_expired(
        &mut self,
        now: f64,
        task: &Task,
        token: FencingToken,
        length_ms: f64,
    ) -> Option<Command> {
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

    /// Returns the command that grants the task's lease to a member; `None` if no suitable member
    /// is present.
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

    /// Starts a run of the task if one is due. A leader that has started no run of the task itself
    /// counts the interval of a periodic task from when it first saw the task without a run.
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

/// Counts the leases that each member holds.
fn count_leases(state: &State) -> BTreeMap<MemberId, usize> {
    let mut counts = BTreeMap::new();
    for lease in state.tasks.values().filter_map(|task| task.lease.as_ref()) {
        *counts.entry(lease.holder.clone()).or_default() += 1;
    }
    counts
}

/// Returns the day, in days since 1970, of the daily run that may be started in this minute; `None`
/// outside of the daily start window.
fn day_of_due_run(minute: u64, start: u32, window: u32) -> Option<u64> {
    let since_first_start = minute.checked_sub(u64::from(start))?;
    let minutes_per_day = u64::from(MINUTES_PER_DAY);
    let is_in_window = since_first_start % minutes_per_day < u64::from(window);
    is_in_window.then_some(since_first_start / minutes_per_day)
}
