//! Simulated rollouts with up to 300 members and a simulated clock.
//!
//! The tests guard against rollouts that take too long, against two versions that admit requests for longer than the
//! switch bound, and against lost changes when members or the leader fail. They run the state machines of the program
//! on a log that commits each command immediately.

use beamgap_fleet_types::MemberId;
use beamgap_policy::rollout::{
    ChangeOutcome, ChangeRequest, Command, InjectedBug, MemberAction, PolicyLeader, PolicyMember,
    PolicyTimings, RolloutState,
};

/// A simulated fleet. Times are in milliseconds.
struct Fleet {
    now: f64,
    state: RolloutState,
    leader: PolicyLeader,
    members: Vec<PolicyMember>,
    /// For each member, whether it is cut off from the leader.
    disconnected: Vec<bool>,
    /// For each member, the speed of its clock relative to the simulated time.
    clock_rate: Vec<f64>,
    /// For each version, the time of the first admission under it.
    first_admission: Vec<f64>,
    /// For each version, the time of the last admission under it.
    last_admission: Vec<f64>,
    /// Number of polls that the leader has received.
    polls: usize,
    /// Total time during which no member admitted requests.
    ms_without_admission: f64,
}

/// Time that passes in each simulation step, in milliseconds.
const STEP_MS: f64 = 5.0;

impl Fleet {
    fn new(members: usize) -> Fleet {
        let mut state = RolloutState::default();
        state.apply(&Command::Bootstrap(PolicyTimings::default()));
        let mut leader = PolicyLeader::default();
        leader.set_leadership(0.0, true);
        let member = |m: usize| {
            PolicyMember::new(
                MemberId::new(format!("m{m}"), m as u64),
                1,
                InjectedBug::None,
            )
        };
        Fleet {
            now: 0.0,
            state,
            leader,
            members: (0..members).map(member).collect(),
            disconnected: vec![false; members],
            clock_rate: vec![1.0; members],
            first_admission: vec![f64::INFINITY; 8],
            last_admission: vec![0.0; 8],
            polls: 0,
            ms_without_admission: 0.0,
        }
    }

    fn commit(&mut self, commands: Vec<Command>) {
        commands
            .iter()
            .for_each(|command| self.state.apply(command));
    }

    /// Runs the simulation for a duration in milliseconds.
    fn run(&mut self, ms: f64) {
        let until = self.now + ms;
        while self.now < until {
            self.now += STEP_MS;
            let commands = self.leader.tick(self.now, &self.state);
            self.commit(commands);
            let mut any_admits = false;
            for m in 0..self.members.len() {
                let local_now = self.now * self.clock_rate[m];
                if let Some(version) = self.members[m].admits(local_now) {
                    any_admits = true;
                    let v = version as usize;
                    (self.first_admission[v], self.last_admission[v]) =
                        (self.first_admission[v].min(self.now), self.now);
                }
                let Some(request) = self.members[m].poll_request(local_now, "") else {
                    continue;
                };
                let sequence = request.sequence;
                if self.disconnected[m] || !self.leader.is_leader() {
                    self.members[m].poll_failed(local_now + 400.0, sequence);
                    continue;
                }
                self.polls += 1;
                let (response, commands) = self.leader.handle_poll(self.now, &self.state, &request);
                self.commit(commands);
                for action in self.members[m].handle_response(local_now, response) {
                    match action {
                        MemberAction::Activate { version, .. } => {
                            self.members[m].activated(version);
                        }
                        MemberAction::Validate(change) => {
                            self.members[m].validated(local_now, &change.id, Vec::new());
                        }
                    }
                }
            }
            self.ms_without_admission += if any_admits { 0.0 } else { STEP_MS };
        }
    }

    /// Proposes a change. Returns the current time.
    fn propose(&mut self, id: &str) -> f64 {
        let policy_text = Some(format!("form = 1 # {id}\n"));
        self.commit(vec![Command::Propose(ChangeRequest {
            id: id.to_owned(),
            requested_by: "o".to_owned(),
            policy_text,
            base_version: None,
        })]);
        self.now
    }

    /// Runs the simulation until all connected members admit requests under a version. Returns the elapsed time
    /// in milliseconds.
    fn run_until_all_admit(&mut self, version: u64) -> f64 {
        let start = self.now;
        for _ in 0..4000 {
            let connected = (0..self.members.len()).filter(|m| !self.disconnected[*m]);
            let now = self.now;
            if connected
                .into_iter()
                .all(|m| self.members[m].admits(now * self.clock_rate[m]) == Some(version))
            {
                return self.now - start;
            }
            self.run(STEP_MS);
        }
        panic!("not all connected members admit requests under version {version} after 20 s");
    }
}

#[test]
fn three_hundred_members_switch_within_the_bound_with_at_most_600_polls_a_second() {
    let mut fleet = Fleet::new(300);
    fleet.run(3000.0);
    (fleet.polls, fleet.ms_without_admission) = (0, 0.0);
    fleet.run(10_000.0);
    let idle_polls_per_s = fleet.polls as f64 / 10.0;
    fleet.propose("c1");
    let took_ms = fleet.run_until_all_admit(1);
    fleet.run(2000.0);
    let overlap_ms = fleet.last_admission[0] - fleet.first_admission[1];
    assert!(
        overlap_ms.is_finite(),
        "requests were admitted under both versions"
    );
    println!("300 members: {idle_polls_per_s:.0} polls per second when idle; version active at all members \
         after {took_ms:.0} ms, overlap {overlap_ms:.0} ms");
    assert!(
        idle_polls_per_s <= 600.0,
        "{idle_polls_per_s} polls per second when idle"
    );
    assert!(
        took_ms <= 3000.0 && overlap_ms <= 1000.0,
        "the rollout took {took_ms} ms, overlap {overlap_ms} ms"
    );
    assert_eq!(
        fleet.ms_without_admission, 0.0,
        "at least one member admits requests at any time"
    );
}

#[test]
fn unreachable_members_and_drifting_clocks_delay_a_change_no_longer_than_leases_last() {
    for rate in [0.95, 1.0, 1.05] {
        let mut fleet = Fleet::new(30);
        fleet.clock_rate = vec![rate; 30];
        fleet.run(3000.0);
        (0..5).for_each(|m| fleet.disconnected[m] = true);
        fleet.propose("c1");
        let took_ms = fleet.run_until_all_admit(1);
        fleet.run(8000.0);
        let overlap_ms = fleet.last_admission[0] - fleet.first_admission[1];
        assert!(
            overlap_ms.is_finite(),
            "requests were admitted under both versions"
        );
        assert!(
            overlap_ms <= 1000.0,
            "overlap {overlap_ms} ms at clock rate {rate}"
        );
        assert!(
            (1000.0..=9000.0).contains(&took_ms),
            "the rollout took {took_ms} ms; it waits for validation and for the leases of disconnected members"
        );
        (0..5).for_each(|m| fleet.disconnected[m] = false);
        fleet.run(2000.0);
        assert!(
            (0..30).all(|m| fleet.members[m].admits(fleet.now * rate) == Some(1)),
            "all members admit requests under the new version"
        );
    }
}

#[test]
fn a_new_leader_waits_for_all_leases_and_finishes_the_committed_change() {
    let mut fleet = Fleet::new(9);
    fleet.run(3000.0);
    fleet.disconnected[8] = true;
    fleet.propose("c1");
    while !fleet.state.pending.as_ref().is_some_and(|p| p.committed) {
        fleet.run(STEP_MS);
    }
    fleet.leader.set_leadership(fleet.now, false);
    fleet.run(1200.0);
    fleet.leader.set_leadership(fleet.now, true);
    let took_ms = fleet.run_until_all_admit(1);
    assert_eq!(fleet.state.outcome("c1"), Some(ChangeOutcome::Active(1)));
    assert!(took_ms <= 7000.0, "the rollout took {took_ms} ms");
    fleet.run(2000.0);
    assert!(fleet.first_admission[1].is_finite());
    assert!(fleet.last_admission[0] - fleet.first_admission[1] <= 1000.0);
    assert_eq!(
        fleet.state.members.len(),
        9,
        "a disconnected member is not removed before its leases expire"
    );
    fleet.run(80_000.0);
    assert_eq!(
        fleet.state.members.len(),
        8,
        "it is removed after twelve lease expiry times"
    );
    fleet.disconnected[8] = false;
    fleet.run(2000.0);
    assert_eq!(
        fleet.members[8].admits(fleet.now),
        Some(1),
        "it joins again after the connection is restored"
    );
}

fn propose(id: &str, base_version: Option<u64>) -> Command {
    Command::Propose(ChangeRequest {
        id: id.to_owned(),
        requested_by: "o".to_owned(),
        policy_text: Some("form = 1\n".to_owned()),
        base_version,
    })
}

#[test]
fn overtaken_commands_change_nothing() {
    let id = |id: &str| id.to_owned();
    let activate = || Command::Activate { id: id("a") };
    let commit = |change: &str| Command::Commit { id: id(change) };
    let withdraw = Command::Withdraw { id: id("a") };
    let reject = Command::Reject {
        id: id("a"),
        errors: Vec::new(),
    };
    let mut state = RolloutState::default();
    for (command, outcome) in [
        (activate(), None),
        (propose("a", Some(0)), Some(ChangeOutcome::Validating)),
        (activate(), Some(ChangeOutcome::Validating)),
        (commit("b"), Some(ChangeOutcome::Validating)),
        (commit("a"), Some(ChangeOutcome::Committed(1))),
        (withdraw, Some(ChangeOutcome::Committed(1))),
        (reject, Some(ChangeOutcome::Committed(1))),
        (propose("a", None), Some(ChangeOutcome::Committed(1))),
        (activate(), Some(ChangeOutcome::Active(1))),
        (propose("a", None), Some(ChangeOutcome::Active(1))),
        (activate(), Some(ChangeOutcome::Active(1))),
    ] {
        state.apply(&command);
        assert_eq!(state.outcome("a"), outcome, "after {command:?}");
    }
    state.apply(&propose("stale", Some(0)));
    assert!(
        matches!(state.outcome("stale"), Some(ChangeOutcome::Rejected(_))),
        "a change with an outdated base version is rejected"
    );
    assert_eq!((state.version(), state.pending), (1, None));
}
