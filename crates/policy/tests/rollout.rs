//! A rollout on a set clock with 300 members: how long a change takes, how long versions overlap, and what each failure
//! does to it. The state machines are those of the program; what stands in for consensus is a log that commits at once.

use beamgap_fleet_types::MemberId;
use beamgap_policy::rollout::{
    ChangeOutcome, ChangeRequest, Command, InjectedBug, MemberAction, PolicyLeader, PolicyMember,
    PolicyTimings, RolloutState,
};

struct Fleet {
    now: f64,
    state: RolloutState,
    leader: PolicyLeader,
    members: Vec<PolicyMember>,
    /// Members that are cut off, and members whose clock runs at another rate.
    cut: Vec<bool>,
    rate: Vec<f64>,
    first: Vec<f64>,
    last: Vec<f64>,
    polls: usize,
    silent: f64,
}

const STEP: f64 = 5.0;

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
            cut: vec![false; members],
            rate: vec![1.0; members],
            first: vec![f64::INFINITY; 8],
            last: vec![0.0; 8],
            polls: 0,
            silent: 0.0,
        }
    }

    fn commit(&mut self, commands: Vec<Command>) {
        commands
            .iter()
            .for_each(|command| self.state.apply(command));
    }

    fn run(&mut self, ms: f64) {
        let until = self.now + ms;
        while self.now < until {
            self.now += STEP;
            let commands = self.leader.tick(self.now, &self.state);
            self.commit(commands);
            let mut any = false;
            for m in 0..self.members.len() {
                let own = self.now * self.rate[m];
                if let Some(version) = self.members[m].admits(own) {
                    any = true;
                    let v = version as usize;
                    (self.first[v], self.last[v]) = (self.first[v].min(self.now), self.now);
                }
                let Some(request) = self.members[m].poll_request(own, "") else {
                    continue;
                };
                let sequence = request.sequence;
                if self.cut[m] || !self.leader.is_leader() {
                    self.members[m].poll_failed(own + 400.0, sequence);
                    continue;
                }
                self.polls += 1;
                let (response, commands) = self.leader.handle_poll(self.now, &self.state, &request);
                self.commit(commands);
                for action in self.members[m].handle_response(own, response) {
                    match action {
                        MemberAction::Activate { version, .. } => {
                            self.members[m].activated(version);
                        }
                        MemberAction::Validate(change) => {
                            self.members[m].validated(own, &change.id, Vec::new());
                        }
                    }
                }
            }
            self.silent += if any { 0.0 } else { STEP };
        }
    }

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

    fn until_all_have(&mut self, version: u64) -> f64 {
        let from = self.now;
        for _ in 0..4000 {
            let all = (0..self.members.len()).filter(|m| !self.cut[*m]);
            let now = self.now;
            if all
                .into_iter()
                .all(|m| self.members[m].admits(now * self.rate[m]) == Some(version))
            {
                return self.now - from;
            }
            self.run(STEP);
        }
        panic!("version {version} is not everywhere after 20 s");
    }
}

#[test]
fn three_hundred_members_switch_within_the_bound_with_at_most_600_polls_a_second() {
    let mut fleet = Fleet::new(300);
    fleet.run(3000.0);
    (fleet.polls, fleet.silent) = (0, 0.0);
    fleet.run(10_000.0);
    let idle = fleet.polls as f64 / 10.0;
    fleet.propose("c1");
    let took = fleet.until_all_have(1);
    fleet.run(2000.0);
    let overlap = fleet.last[0] - fleet.first[1];
    assert!(overlap.is_finite(), "both versions were admitted under");
    println!("300 members: {idle:.0} polls a second at rest; in force everywhere after {took:.0} ms, overlap {overlap:.0} ms");
    assert!(idle <= 600.0, "{idle} polls a second at rest");
    assert!(
        took <= 3000.0 && overlap <= 1000.0,
        "{took} ms, overlap {overlap} ms"
    );
    assert_eq!(fleet.silent, 0.0, "somebody admits at any moment");
}

#[test]
fn unreachable_members_and_drifting_clocks_delay_a_change_no_longer_than_leases_last() {
    for rate in [0.95, 1.0, 1.05] {
        let mut fleet = Fleet::new(30);
        fleet.rate = vec![rate; 30];
        fleet.run(3000.0);
        (0..5).for_each(|m| fleet.cut[m] = true);
        fleet.propose("c1");
        let took = fleet.until_all_have(1);
        fleet.run(8000.0);
        let overlap = fleet.last[0] - fleet.first[1];
        assert!(overlap.is_finite(), "both versions were admitted under");
        assert!(overlap <= 1000.0, "overlap {overlap} ms at rate {rate}");
        assert!(
            (1000.0..=9000.0).contains(&took),
            "{took} ms: the check's time and the rights of those cut off"
        );
        (0..5).for_each(|m| fleet.cut[m] = false);
        fleet.run(2000.0);
        assert!(
            (0..30).all(|m| fleet.members[m].admits(fleet.now * rate) == Some(1)),
            "all are back"
        );
    }
}

#[test]
fn a_new_leader_waits_for_all_leases_and_finishes_the_committed_change() {
    let mut fleet = Fleet::new(9);
    fleet.run(3000.0);
    fleet.cut[8] = true;
    fleet.propose("c1");
    while !fleet.state.pending.as_ref().is_some_and(|p| p.committed) {
        fleet.run(STEP);
    }
    fleet.leader.set_leadership(fleet.now, false);
    fleet.run(1200.0);
    fleet.leader.set_leadership(fleet.now, true);
    let took = fleet.until_all_have(1);
    assert_eq!(fleet.state.outcome("c1"), Some(ChangeOutcome::Active(1)));
    assert!(took <= 7000.0, "{took} ms");
    fleet.run(2000.0);
    assert!(fleet.first[1].is_finite());
    assert!(fleet.last[0] - fleet.first[1] <= 1000.0);
    assert_eq!(
        fleet.state.members.len(),
        9,
        "who is cut off is not forgotten within its rights"
    );
    fleet.run(80_000.0);
    assert_eq!(
        fleet.state.members.len(),
        8,
        "and is after twelve times as long"
    );
    fleet.cut[8] = false;
    fleet.run(2000.0);
    assert_eq!(
        fleet.members[8].admits(fleet.now),
        Some(1),
        "it joins again"
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
        "made from another version"
    );
    assert_eq!((state.version(), state.pending), (1, None));
}
