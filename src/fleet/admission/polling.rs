//! Polls to the leader, which renew a front end's admission lease, its task leases and its shares of budgets.

use super::{history, AdmissionControl};
use crate::fleet::document::parse_and_validate;
use crate::fleet::message::{decode, encode, FleetRequest, FleetResponse};
use crate::EngineEntry;
use beamgap_config::Problem;
use beamgap_consensus::node::TaggedResponse;
use beamgap_policy::rollout::{
    MemberAction, PollRequest, PollResponse, ProposedChange, ValidationError, Version,
};
use beamgap_policy::rules::CompiledPolicy;
use std::rc::Rc;

/// How long polls contain only the policy part after the leader could not decode a full poll, in milliseconds.
///
/// Such a leader runs an older program version. The time is limited because a voter with a newer one may take over.
const POLICY_ONLY_MS: f64 = 5000.0;
/// Interval between polls while a command for a task waits to be committed, in milliseconds.
const TASK_POLL_INTERVAL_MS: f64 = 30.0;
/// File name in problem reports about a policy text that came from the leader rather than from a file.
const POLICY_FILE: &str = "policy";

/// The state of polling: the last poll sent, and which parts polls contain.
#[derive(Clone, Copy, Debug)]
pub(super) struct PollState {
    sequence: u64,
    sent_at: f64,
    /// Until this time polls contain only the policy part, because the leader runs an older program version.
    policy_only_until: f64,
}

impl Default for PollState {
    fn default() -> PollState {
        PollState { sequence: 0, sent_at: 0.0, policy_only_until: f64::NEG_INFINITY }
    }
}

impl AdmissionControl {
    /// Handles the leader's responses, starts actions of tasks, and sends the next poll if it is due.
    ///
    /// Returns the engines whose state was changed by the activation of a policy. `in_flight` is the number of requests
    /// in flight at this front end.
    pub fn process(&mut self, in_flight: usize) -> Vec<EngineEntry> {
        self.iteration_started_at = self.now();
        let responses: Vec<_> = self.consensus.responses().collect();
        let mut changed_engines = Vec::new();
        for TaggedResponse { tag: sequence, body } in responses {
            let response = body.as_deref().and_then(decode::<FleetResponse>);
            changed_engines.extend(self.handle_fleet_response(sequence, response));
        }
        let now = self.now();
        self.tasks.advance(now);
        self.advance_next_poll(now);
        self.send_poll(now, in_flight);
        self.log.report_budget_rejections(now);
        let blocked_reason = self.blocked_reason();
        let version = self.member.lease().map_or(0, |lease| lease.version);
        self.log.report_state(blocked_reason.as_deref(), version);
        changed_engines
    }

    /// Returns the time until the next poll is due, in milliseconds; 0 if it is overdue.
    pub fn next_poll_in(&self) -> f64 {
        (self.member.next_poll_at() - self.now()).max(0.0)
    }

    fn handle_fleet_response(&mut self, sequence: u64, response: Option<FleetResponse>) -> Vec<EngineEntry> {
        let now = self.now();
        let is_last_poll = sequence == self.poll.sequence;
        let policy_response = match response {
            Some(FleetResponse::Policy(policy)) => policy,
            Some(FleetResponse::PolicyAndTasks(policy, leases)) => {
                if is_last_poll {
                    self.tasks.handle_response(self.poll.sent_at, leases);
                }
                policy
            }
            Some(FleetResponse::All(policy, leases, shares)) => {
                if is_last_poll {
                    self.tasks.handle_response(self.poll.sent_at, leases);
                    self.budgets.borrow_mut().handle_response(now, shares);
                }
                policy
            }
            Some(FleetResponse::Unreadable) => {
                self.poll.policy_only_until = now + POLICY_ONLY_MS;
                self.member.poll_failed(now, sequence);
                return Vec::new();
            }
            _ => {
                self.member.poll_failed(now, sequence);
                return Vec::new();
            }
        };
        self.handle_policy_response(now, policy_response)
    }

    fn handle_policy_response(&mut self, now: f64, response: PollResponse) -> Vec<EngineEntry> {
        let mut changed_engines = Vec::new();
        for action in self.member.handle_response(now, response) {
            match action {
                MemberAction::Validate(change) => self.validate(&change),
                MemberAction::Activate { version, policy_text } => {
                    changed_engines.extend(self.activate(version, &policy_text));
                }
            }
        }
        changed_engines
    }

    /// Moves the next poll to an earlier time if a task or a budget waits for the leader.
    fn advance_next_poll(&mut self, now: f64) {
        if self.tasks.wants_early_poll(now) {
            self.member.poll_no_later_than(self.poll.sent_at + TASK_POLL_INTERVAL_MS);
        }
        if let Some(interval_ms) = self.budgets.borrow().wants_early_poll(now) {
            self.member.poll_no_later_than(self.poll.sent_at + interval_ms);
        }
    }

    fn send_poll(&mut self, now: f64, in_flight: usize) {
        if now < self.member.next_poll_at() {
            return;
        }
        // `beamgap fleet status` prints this note.
        let note = format!("admitted={} refused={}", self.counts.admitted, self.counts.rejected);
        let Some(request) = self.member.poll_request(now, &note) else { return };
        let sequence = request.sequence;
        self.poll.sequence = sequence;
        self.poll.sent_at = now;
        let poll = self.poll_message(now, in_flight, request);
        if !self.consensus.submit(sequence, encode(&poll)) {
            self.member.poll_failed(now, sequence);
        }
    }

    /// Builds the poll message. It omits parts that an older leader could not decode, and the budget part if the policy
    /// has no budgets.
    fn poll_message(&mut self, now: f64, in_flight: usize, policy: PollRequest) -> FleetRequest {
        if now < self.poll.policy_only_until {
            return FleetRequest::PollPolicy(policy);
        }
        if self.budgets.borrow().is_empty() {
            let commands = self.tasks.pending_commands(now, in_flight);
            return FleetRequest::PollPolicyAndTasks(policy, self.tasks.poll_request(), commands);
        }
        let budgets = self.budgets.borrow_mut().poll_request(now, policy.sequence);
        let commands = self.tasks.pending_commands(now, in_flight);
        FleetRequest::PollAll(policy, self.tasks.poll_request(), commands, budgets)
    }

    /// Validates a proposed policy change; the next poll reports the result to the leader.
    fn validate(&mut self, change: &ProposedChange) {
        let problems = match parse_and_validate(POLICY_FILE, &change.policy_text, &self.validation) {
            Ok(_) => Vec::new(),
            Err(problems) => problems,
        };
        let member = &self.member.id().name;
        let error =
            |problem: &Problem| ValidationError { member: member.clone(), message: problem.to_string() };
        let errors: Vec<ValidationError> = problems.iter().map(error).collect();
        self.log.change_validated(&change.id, errors.len());
        self.member.validated(self.now(), &change.id, errors);
    }

    /// Activates a policy version. Returns the engines whose state differs from that under the previous policy.
    fn activate(&mut self, version: Version, policy_text: &str) -> Vec<EngineEntry> {
        let policy = match parse_and_validate(POLICY_FILE, policy_text, &self.validation) {
            Ok(policy) => policy,
            Err(problems) => {
                let lines: Vec<String> = problems.iter().map(Problem::to_string).collect();
                let errors = lines.join("; ");
                self.log.policy_unusable(version, &errors);
                self.member.activation_failed(version, errors);
                return Vec::new();
            }
        };
        let classes = &self.validation.names.classes;
        let compiled = Rc::new(CompiledPolicy::new(policy.parsed.policy, classes));
        let previous = std::mem::replace(&mut self.policy, compiled);
        self.budgets.borrow_mut().activate(self.now(), version, policy.budgets);
        self.member.activated(version);
        self.log.policy_activated(version);
        if self.test_hooks.write_history {
            history::write_activation(version, policy_text);
        }
        self.engines.changed_between(&previous, &self.policy)
    }
}
