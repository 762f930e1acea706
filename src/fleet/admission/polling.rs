//! The polls by which a front end renews its lease to admit requests, its leases of tasks and its shares of budgets.

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

/// How long only the policy is asked for after a leader could not read the whole poll, in milliseconds. The leader runs
/// an older program then; another may lead by the end of this time.
const POLICY_ONLY_MS: f64 = 5000.0;
/// Pause between polls while a step of a task waits for the leader, in milliseconds.
const TASK_POLL_INTERVAL_MS: f64 = 30.0;
/// Stands for the file's name where a policy is validated that came from the leader.
const POLICY_FILE: &str = "policy";

/// The poll that was sent last.
#[derive(Clone, Copy, Debug)]
pub(super) struct PollState {
    sequence: u64,
    sent_at: f64,
    /// Until then polls are about the policy alone.
    policy_only_until: f64,
}

impl Default for PollState {
    fn default() -> PollState {
        PollState { sequence: 0, sent_at: 0.0, policy_only_until: f64::NEG_INFINITY }
    }
}

impl AdmissionControl {
    /// Takes in the leader's responses and sends the next poll if it is due. Gives the engines that the decision module
    /// is to be offered in another state. `in_flight` requests are in flight at this front end.
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

    /// How long until the leader is to be polled again, in milliseconds.
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

    /// Has the next poll sent earlier where a task or a budget waits for it.
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
        // Operators see it in `beamgap fleet status`.
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

    /// The poll with as much as the leader can read and the policy makes needed.
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

    /// Validates a proposed change; the next poll tells the leader what was found.
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

    /// Takes a policy into use. Gives the engines that it offers in another state than the policy before.
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
