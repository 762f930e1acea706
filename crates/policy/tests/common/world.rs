//! The recorded simulation: a leader, members that fail, a log that loses commands, and operators.

mod disturbances;

use super::encoding::Encoding;
use super::random::Random;
use beamgap_fleet_types::MemberId;
use beamgap_policy::document::parse;
use beamgap_policy::rollout::{
    ChangeOutcome, Command, InjectedBug, MemberAction, PolicyLeader, PolicyMember, PolicyTimings,
    PollRequest, PollResponse, RolloutState, ValidationError,
};
use beamgap_policy::rules::{AdmissionMeter, CompiledPolicy};

/// Number of simulated members.
const MEMBERS: usize = 5;
const CLASSES: [&str; 3] = ["lookup", "report", "batch"];
const ACCOUNTS: [&str; 3] = ["leinster", "munster", "ulster"];
const POLICY_TEXT: &str = "form = 1\nadmission {\n  open_most = 40\n}\nclass \"lookup\" {\n  rate = 30\n  attempts = 2\n}\n\
    class \"batch\" {\n  refused = true\n}\naccount \"leinster\" {\n  share = \"30%\"\n}\nzone \"a\" {\n  weight = \"60%\"\n}\n\
    engine \"e-3\" {\n  left_out = true\n}\n";

/// Number of occurrences of each event in a run, by which tests check that a run covers it.
#[derive(Default)]
pub struct Counts {
    pub activated_changes: usize,
    pub rejected_changes: usize,
    pub withdrawn_changes: usize,
    pub leaderships: usize,
    pub restarts: usize,
    pub removals: usize,
    pub failed_activations: usize,
    pub admitted_requests: usize,
    pub rejected_requests: usize,
    pub last_version: u64,
}

/// A simulated front end with its network queue and its clock.
struct Member {
    machine: PolicyMember,
    incarnation: u64,
    /// Speed of the member's clock relative to the simulated time.
    clock_rate: f64,
    /// Time until which the member sends no polls, in milliseconds.
    silent_until: f64,
    /// Responses in transit to the member.
    responses: Vec<PollResponse>,
    /// Actions that the member has not carried out yet.
    pending_actions: Vec<MemberAction>,
}

/// State of the simulation. Times are in milliseconds.
pub struct World {
    random: Random,
    now: f64,
    state: RolloutState,
    leader: PolicyLeader,
    injected_bug: InjectedBug,
    /// Whether failures are rare and changes frequent, so that the number of versions exceeds the number stored.
    few_failures: bool,
    members: Vec<Member>,
    /// Polls in transit to the leader, each with the index of the sending member.
    polls_in_transit: Vec<(usize, PollRequest)>,
    /// Commands that have been proposed but not applied to the replicated state.
    uncommitted: Vec<Command>,
    proposed: usize,
    steps: usize,
    meter: AdmissionMeter,
    policy: CompiledPolicy,
    pub counts: Counts,
}

impl World {
    pub fn new(seed: u64) -> World {
        // The last three seeds inject bugs, so that the recordings cover the code paths of injected bugs too.
        let injected_bug = match seed {
            6 => InjectedBug::EarlyActivation,
            7 => InjectedBug::NoCatchUp,
            8 => InjectedBug::NoWait,
            _ => InjectedBug::None,
        };
        let mut random = Random::new(seed);
        let members = (0..MEMBERS).map(|m| Member {
            machine: PolicyMember::new(MemberId::new(format!("m{m}"), 0), 1, injected_bug),
            incarnation: 0,
            clock_rate: 0.96 + 0.01 * random.below(9) as f64,
            silent_until: 0.0,
            responses: Vec::new(),
            pending_actions: Vec::new(),
        });
        let members = members.collect();
        let classes: Vec<String> = CLASSES.iter().map(|class| (*class).to_owned()).collect();
        let policy = CompiledPolicy::new(
            parse("policy", POLICY_TEXT).expect("a policy").policy,
            &classes,
        );
        World {
            random,
            now: 0.0,
            state: RolloutState::default(),
            leader: PolicyLeader::with_injected_bug(injected_bug),
            injected_bug,
            few_failures: matches!(seed, 4 | 5),
            members,
            polls_in_transit: Vec::new(),
            uncommitted: Vec::new(),
            proposed: 0,
            steps: 0,
            meter: AdmissionMeter::default(),
            policy,
            counts: Counts::default(),
        }
    }

    /// Runs one step, which advances the time by less than 25 ms except for rare jumps. Returns the hash of its output.
    pub fn step(&mut self) -> String {
        let mut out = Encoding::default();
        self.steps += 1;
        self.now += self.random.below(25) as f64 + 0.125;
        if !self.few_failures && self.random.one_in(400) {
            self.now += self.random.below(3000) as f64;
        }
        self.submit_operator_commands();
        self.inject_failures();
        self.exceed_member_limit(&mut out);
        self.tick(&mut out);
        self.poll(&mut out);
        self.respond(&mut out);
        self.receive(&mut out);
        self.perform_actions(&mut out);
        self.commit(&mut out);
        self.admit(&mut out);
        self.observe(&mut out);
        out.line()
    }

    fn timings(&self) -> PolicyTimings {
        PolicyTimings {
            switch_bound_ms: 300.0,
            lease_ms: 900.0,
            validation_ms: 400.0,
            max_drift: 0.05,
        }
    }

    /// Lets the leader propose commands, in a third of the steps on average.
    fn tick(&mut self, out: &mut Encoding) {
        if self.random.one_in(3) {
            let commands = self.leader.tick(self.now, &self.state);
            self.submit(out, commands);
        }
    }

    fn submit(&mut self, out: &mut Encoding, commands: Vec<Command>) {
        for command in commands {
            out.put(0x40, &command);
            self.uncommitted.push(command);
        }
    }

    /// Lets members send their due polls, some of which are lost, failed or duplicated. Also adds polls from processes
    /// that are not members.
    fn poll(&mut self, out: &mut Encoding) {
        for m in 0..MEMBERS {
            let member = &mut self.members[m];
            if self.now < member.silent_until {
                continue;
            }
            let local_now = self.now * member.clock_rate;
            let note = format!("admitted={}", self.counts.admitted_requests);
            let Some(request) = member.machine.poll_request(local_now, &note) else {
                continue;
            };
            out.put(0x50, &request);
            match self.random.below(if self.few_failures { 200 } else { 20 }) {
                0 => {}
                1 => {
                    member.machine.poll_failed(local_now, request.sequence);
                    member.machine.poll_failed(local_now, request.sequence);
                }
                2 => {
                    self.polls_in_transit.push((m, request.clone()));
                    self.polls_in_transit.push((m, request));
                }
                _ => self.polls_in_transit.push((m, request)),
            }
        }
        if self.random.one_in(150) {
            let name = if self.random.one_in(2) {
                "a name that is none"
            } else {
                "stranger"
            };
            let request = PolicyMember::new(MemberId::new(name, 9), 1, self.injected_bug)
                .poll_request(self.now, "");
            self.polls_in_transit
                .extend(request.map(|request| (0, request)));
        }
    }

    /// Lets the leader answer polls in random order. Some responses are lost or duplicated.
    fn respond(&mut self, out: &mut Encoding) {
        while !self.polls_in_transit.is_empty() && !self.random.one_in(4) {
            let i = self.random.below(self.polls_in_transit.len());
            let (m, request) = self.polls_in_transit.remove(i);
            if !self.leader.is_leader() {
                let local_now = self.now * self.members[m].clock_rate;
                self.members[m]
                    .machine
                    .poll_failed(local_now, request.sequence);
                continue;
            }
            let (response, commands) = self.leader.handle_poll(self.now, &self.state, &request);
            out.put(0x51, &response);
            self.submit(out, commands);
            let copies = match self.random.below(if self.few_failures { 200 } else { 20 }) {
                0 => 0,
                1 => 2,
                _ => 1,
            };
            for _ in 0..copies {
                self.members[m].responses.push(response.clone());
            }
        }
    }

    /// Delivers responses to members in random order.
    fn receive(&mut self, out: &mut Encoding) {
        for m in 0..MEMBERS {
            let local_now = self.now * self.members[m].clock_rate;
            while !self.members[m].responses.is_empty() && !self.random.one_in(3) {
                let i = self.random.below(self.members[m].responses.len());
                let response = self.members[m].responses.remove(i);
                let actions = self.members[m].machine.handle_response(local_now, response);
                for action in actions {
                    out.put_action(&action);
                    self.members[m].pending_actions.push(action);
                }
            }
        }
    }

    /// Lets members carry out pending actions. Some activations and validations fail.
    fn perform_actions(&mut self, out: &mut Encoding) {
        for m in 0..MEMBERS {
            let local_now = self.now * self.members[m].clock_rate;
            while !self.members[m].pending_actions.is_empty() && !self.random.one_in(4) {
                let member = &mut self.members[m];
                match member.pending_actions.remove(0) {
                    MemberAction::Activate { version, .. } => {
                        let unusable = self.random.one_in(25);
                        self.counts.failed_activations += usize::from(unusable);
                        if unusable {
                            member
                                .machine
                                .activation_failed(version, "class \"x\" is not known".to_owned());
                        } else {
                            member.machine.activated(version);
                        }
                    }
                    MemberAction::Validate(change) => {
                        let error = ValidationError {
                            member: format!("m{m}"),
                            message: "line 1".to_owned(),
                        };
                        let errors = if self.random.one_in(if self.few_failures { 100 } else { 15 })
                        {
                            vec![error]
                        } else {
                            Vec::new()
                        };
                        member.machine.validated(local_now, &change.id, errors);
                    }
                }
                out.put(0x60, &m);
            }
        }
    }

    /// Applies proposed commands in order, except for some that are lost, and counts the outcomes of changes.
    fn commit(&mut self, out: &mut Encoding) {
        while !self.uncommitted.is_empty() && !self.random.one_in(5) {
            let command = self.uncommitted.remove(0);
            if self.random.one_in(25) {
                continue;
            }
            self.counts.removals += usize::from(matches!(command, Command::Leave { .. }));
            let last = self.state.history.back().cloned();
            self.state.apply(&command);
            if self.state.history.back() != last.as_ref() {
                match self.state.history.back().map(|record| &record.outcome) {
                    Some(ChangeOutcome::Active(_)) => self.counts.activated_changes += 1,
                    Some(ChangeOutcome::Rejected(_)) => self.counts.rejected_changes += 1,
                    Some(ChangeOutcome::Withdrawn) => self.counts.withdrawn_changes += 1,
                    _ => {}
                }
            }
            out.put(0x61, &command);
        }
    }

    /// Passes up to two client requests to the admission meter and looks up one engine in the policy.
    fn admit(&mut self, out: &mut Encoding) {
        for _ in 0..self.random.below(3) {
            let class = self.random.below(CLASSES.len() + 1);
            let account = ACCOUNTS.get(self.random.below(ACCOUNTS.len() + 1)).copied();
            let in_flight = self.random.below(42);
            let admission = self
                .meter
                .admit(self.now, &self.policy, class, account, in_flight);
            self.counts.admitted_requests += usize::from(admission.is_ok());
            self.counts.rejected_requests += usize::from(admission.is_err());
            out.put_admission(&admission);
        }
        let engine = format!("e-{}", self.random.below(50));
        out.put(
            0x70,
            &(
                self.policy.excludes(&engine, "a"),
                self.policy.excludes(&engine, "b"),
            ),
        );
    }

    /// Adds the visible state of the simulation to the output.
    fn observe(&mut self, out: &mut Encoding) {
        self.counts.last_version = self.state.version();
        out.put(0x80, &self.state);
        out.put(0x81, &(self.state.version(), self.state.policy_text()));
        let id = format!("c{}", self.proposed.saturating_sub(self.random.below(4)));
        let outcome = self.state.outcome(&id);
        out.put(0x82, &outcome.as_ref().map(ChangeOutcome::is_final));
        out.put(0x83, &outcome);
        for member in &self.members {
            out.put_member(self.now * member.clock_rate, &member.machine);
        }
        out.put_leader(&self.leader);
    }
}
