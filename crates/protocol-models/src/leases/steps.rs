//! The effect of each action of the lease model on the model's state.

use super::world::{PendingAction, SentRequest, SentResponse, StepKey, World};
use super::{task_name, Fault, LeaseAction, LeaseModel, LEASE_MS, SHORT_LEASE_MS};
use beamgap_leases::{Command, FencingToken, Outcome};

impl LeaseModel {
    /// Applies an action to the model's state; returns `None` if the action is impossible in this state.
    pub(super) fn perform(&self, world: &mut World, action: LeaseAction) -> Option<()> {
        match action {
            LeaseAction::Tick => world.now += 1,
            LeaseAction::SendRequest(member) => self.send_request(world, member),
            LeaseAction::Answer(member) => self.answer(world, member)?,
            LeaseAction::ReceiveResponse(member) => self.receive_response(world, member)?,
            LeaseAction::Renew(member) => self.renew(world, member),
            LeaseAction::ProposeCommands(member) => self.propose_commands(world, member),
            LeaseAction::CheckPermit { member, task } => self.check_permit(world, member, task)?,
            LeaseAction::ReachTarget(index) => self.reach_target(world, index),
            LeaseAction::Commit(index) => commit(world, index),
            LeaseAction::LeaderTick => leader_tick(world),
            LeaseAction::Elect => self.elect(world),
            LeaseAction::Drain(member) => drain(world, member),
            LeaseAction::Redefine => self.redefine(world),
            LeaseAction::Restart(member) => self.restart(world, member),
        }
        Some(())
    }

    fn send_request(&self, world: &mut World, member: usize) {
        let sent_at = self.member_clock(world, member);
        let request = world.members[member].poll_request();
        world.requests[member] = Some(SentRequest { sent_at, request });
    }

    fn answer(&self, world: &mut World, member: usize) -> Option<()> {
        let SentRequest { sent_at, request } = world.requests[member].clone()?;
        if !self.duplicates_messages {
            world.requests[member] = None;
        }
        let now = Self::leader_clock(world);
        let response = world.leader.handle_request(now, &world.state, &request);
        world.responses[member] = Some(SentResponse { sent_at, response });
        Some(())
    }

    fn receive_response(&self, world: &mut World, member: usize) -> Option<()> {
        let SentResponse { sent_at, response } = world.responses[member].clone()?;
        if !self.duplicates_messages {
            world.responses[member] = None;
        }
        world.members[member].handle_response(sent_at, response);
        Some(())
    }

    fn renew(&self, world: &mut World, member: usize) {
        let sent_at = self.member_clock(world, member);
        let request = world.members[member].poll_request();
        let now = Self::leader_clock(world);
        let response = world.leader.handle_request(now, &world.state, &request);
        world.members[member].handle_response(sent_at, response);
    }

    fn propose_commands(&self, world: &mut World, member: usize) {
        let now = self.member_clock(world, member);
        let commands = world.members[member].pending_commands(now, false);
        world.propose(commands);
    }

    fn check_permit(&self, world: &mut World, member: usize, task: usize) -> Option<()> {
        let now = self.member_clock(world, member);
        let task = task_name(task);
        let permit = world.members[member].permit(&task, now, 0.0).ok()?;
        let permitted = permit.start(now).ok()?;
        let token = permitted.token();
        let Some(Command::RecordOutcome { step, .. }) = permitted.record(Outcome::Done) else { return None };
        let run = world.state.tasks[&task].runs;
        let key = StepKey { task, run, step };
        world.pending_actions.push(PendingAction { member, key, token, checked_at: world.now });
        Some(())
    }

    fn reach_target(&self, world: &mut World, index: usize) {
        let PendingAction { member, key, token, .. } = world.pending_actions.remove(index);
        let highest_token = world.highest_tokens.entry(key.task.clone()).or_default();
        if token < *highest_token {
            if self.fault != Fault::TargetIgnoresTokens {
                // The target rejects the older token. The member learns of the rejection and records no outcome.
                return;
            }
            world.target_saw_older_token = true;
        }
        *highest_token = (*highest_token).max(token);
        let record =
            Command::RecordOutcome { task: key.task.clone(), token, step: key.step, outcome: Outcome::Done };
        *world.executions.entry(key).or_default() += 1;
        world.members[member].queue_outcome(Some(record));
    }

    fn elect(&self, world: &mut World) {
        world.elections += 1;
        world.proposed.clear();
        let now = Self::leader_clock(world);
        world.leader.set_leadership(now, false);
        world.leader.set_leadership(now, true);
        if self.fault == Fault::TokensRestart {
            world.state.last_token = FencingToken::default();
        }
    }

    fn redefine(&self, world: &mut World) {
        let lease_ms = if world.redefinitions.is_multiple_of(2) { SHORT_LEASE_MS } else { LEASE_MS };
        world.redefinitions += 1;
        world.state.apply(&self.define_tasks(lease_ms));
    }

    fn restart(&self, world: &mut World, member: usize) {
        world.restarts += 1;
        world.incarnations[member] += 1;
        world.members[member] = self.new_member(member, world.incarnations[member]);
        world.requests[member] = None;
        world.responses[member] = None;
        world.pending_actions.retain(|action| action.member != member);
    }
}

fn commit(world: &mut World, index: usize) {
    let command = world.proposed.remove(index);
    world.state.apply(&command);
    world.record_token_owners();
}

fn leader_tick(world: &mut World) {
    let now = LeaseModel::leader_clock(world);
    let commands = world.leader.tick(now, None, &world.state);
    world.propose(commands);
}

fn drain(world: &mut World, member: usize) {
    world.drains += 1;
    world.members[member].start_draining();
}
