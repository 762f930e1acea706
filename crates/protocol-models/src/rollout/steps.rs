//! The effect of each step of the rollout model on the model's state.

use super::{AdmissionSpan, ReplacedLeader, RolloutModel, World, MAX_IN_FLIGHT, MAX_UNCOMMITTED, VOTERS};
use beamgap_policy::rollout::{
    ChangeRequest, Command, InjectedBug, MemberAction, PollRequest, PollResponse, ValidationError,
};

impl World {
    /// Sends a follower's poll; returns `None` if no poll is due.
    pub(super) fn poll(&mut self, f: usize) -> Option<()> {
        let now = self.now_ms();
        let follower = &mut self.followers[f];
        let request = follower.member.poll_request(now, "")?;
        follower.requests.push(request);
        if follower.requests.len() > MAX_IN_FLIGHT {
            follower.requests.remove(0);
        }
        Some(())
    }

    pub(super) fn commit(&mut self, i: usize) {
        let command = self.uncommitted.remove(i);
        self.state_before = self.state.clone();
        self.state.apply(&command);
    }

    pub(super) fn leader_tick(&mut self) {
        let commands = self.leader.tick(self.now_ms(), &self.state);
        self.submit(commands);
    }

    pub(super) fn propose(&mut self) {
        let request = ChangeRequest {
            id: format!("c{}", self.proposed),
            requested_by: "o".to_owned(),
            policy_text: Some(format!("form = 1 # {}\n", self.proposed)),
            base_version: None,
        };
        self.proposed += 1;
        self.submit(vec![Command::Propose(request)]);
    }

    /// Records an admission for every follower that could admit a request now, so that the properties are checked against
    /// the worst case of traffic.
    pub(super) fn record_admissions(&mut self) {
        let now_ms = self.now_ms();
        for follower in &self.followers {
            let Some(version) = follower.member.admits(now_ms) else { continue };
            self.admitted_early |= version > self.state.version();
            let started = AdmissionSpan { first: self.now, last: self.now };
            self.admitted.entry(version).or_insert(started).last = self.now;
        }
    }

    fn submit(&mut self, commands: Vec<Command>) {
        for command in commands {
            if self.uncommitted.len() < MAX_UNCOMMITTED && !self.uncommitted.contains(&command) {
                self.uncommitted.push(command);
            }
        }
    }
}

impl RolloutModel {
    pub(super) fn respond(&self, world: &mut World, f: usize, i: usize) {
        let request = self.take_request(world, f, i);
        let (response, commands) = world.leader.handle_poll(world.now_ms(), &world.state, &request);
        world.submit(commands);
        self.send_response(world, f, response);
    }

    /// The replaced leader answers a poll from its outdated state; the commands that it proposes are lost.
    pub(super) fn respond_as_replaced(&self, world: &mut World, f: usize, i: usize) {
        let request = self.take_request(world, f, i);
        let now = world.now_ms();
        let (response, _) = match &mut world.replaced {
            Some(replaced) => replaced.leader.handle_poll(now, &replaced.state, &request),
            None => world.leader.handle_poll(now, &world.state, &request),
        };
        self.send_response(world, f, response);
    }

    fn take_request(&self, world: &mut World, f: usize, i: usize) -> PollRequest {
        let requests = &mut world.followers[f].requests;
        if self.duplicates {
            requests[i].clone()
        } else {
            requests.remove(i)
        }
    }

    fn send_response(&self, world: &mut World, f: usize, response: PollResponse) {
        let responses = &mut world.followers[f].responses;
        if !responses.contains(&response) {
            responses.push(response);
        }
        if responses.len() > MAX_IN_FLIGHT + usize::from(self.duplicates) {
            responses.remove(0);
        }
    }

    pub(super) fn receive(&self, world: &mut World, f: usize, i: usize, finds_error: bool) {
        let now = world.now_ms();
        let follower = &mut world.followers[f];
        let response =
            if self.duplicates { follower.responses[i].clone() } else { follower.responses.remove(i) };
        for action in follower.member.handle_response(now, response) {
            match action {
                MemberAction::Activate { version, .. } => follower.member.activated(version),
                MemberAction::Validate(change) => {
                    let mut errors = Vec::new();
                    if finds_error && change.id == "c0" {
                        let message = "a class that is not known".to_owned();
                        errors.push(ValidationError { member: format!("f{f}"), message });
                    }
                    follower.member.validated(now, &change.id, errors);
                }
            }
        }
    }

    pub(super) fn elect(&self, world: &mut World) {
        world.elections += 1;
        if self.injected_bug == InjectedBug::VoteBeforeSync {
            // With this bug a voter acknowledged the last command before writing it to disk, and the election loses it.
            world.state = world.state_before.clone();
        }
        if self.injected_bug == InjectedBug::UnconfirmedLeader {
            let (state, leader) = (world.state.clone(), world.leader.clone());
            world.replaced = Some(ReplacedLeader { state, leader });
        }
        world.leading_voter = (world.leading_voter + 1) % VOTERS;
        world.uncommitted.clear();
        let now = world.now_ms();
        world.leader.set_leadership(now, false);
        world.leader.set_leadership(now, true);
    }

    pub(super) fn restart(&self, world: &mut World, f: usize) {
        world.restarts += 1;
        let follower = &mut world.followers[f];
        follower.incarnation += 1;
        // With this bug the follower keeps its policy state from before the restart instead of requesting the state anew.
        if self.injected_bug != InjectedBug::NoCatchUp {
            follower.member = self.new_member(f, follower.incarnation);
        }
        follower.requests.clear();
        follower.responses.clear();
    }
}
