//! Budgets as a state machine: members that hold shares of a rate and of a concurrency limit, and leaders that know nothing
//! at first.
//!
//! The acting parts are the program's own ([`BudgetLeader`], [`BudgetMember`] of `crates/budgets`). Messages are lost (never
//! delivered), late and duplicated; leaders change; members die and come back, and the units that they had in use go on
//! without them. A member that stands still is one of which no step is taken. Member 0's clock is as slow as the bound
//! allows and the leaders' as fast: the worst pair for expiry. The last member's is fast, the worst for a rate.
//!
//! Left out: how consensus comes about, that a change of the policy is under way, what takes less than a tick, more than
//! one poll of a member on its way, and clocks whose rate changes.

mod figures;
mod state;

pub use state::{FleetState, UnitInUse};

use beamgap_budgets::leader::{AgreedState, BudgetLeader};
use beamgap_budgets::member::BudgetMember;
use beamgap_budgets::message::{PollRequest, PollResponse};
use beamgap_budgets::{InjectedBug, FULL_SHARE};
use figures::{member_id, specs, timings, BURST, MAX_DRIFT, MAX_IN_USE, TICK_MS, VERSION};
use state::MemberState;
use stateright::{Model, Property};

/// One of the two budgets.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Budget {
    /// The rate.
    Rate,
    /// The concurrency limit.
    Concurrency,
}

/// What is explored.
#[derive(Clone, Copy, Debug)]
pub struct BudgetModel {
    /// A bug in the acting parts.
    pub injected_bug: InjectedBug,
    /// Members.
    pub members: usize,
    /// Whether there is a rate beside the concurrency limit.
    pub has_rate: bool,
    /// Most ticks.
    pub max_ticks: u64,
    /// Most polls of one member.
    pub max_polls: u64,
    /// Most changes of the leader.
    pub max_elections: u8,
    /// Most restarts of members.
    pub max_restarts: u8,
    /// Whether messages are duplicated.
    pub duplicates: bool,
    /// Whether a poll, its response and its handling may be one step: random walks reach deeper by it.
    pub single_step_polls: bool,
}

/// A step of the model.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Step {
    /// Time passes.
    Tick,
    /// A member sends a poll.
    SendPoll(usize),
    /// The leader answers it.
    AnswerPoll(usize),
    /// The member handles the response.
    HandleResponse(usize),
    /// All three with nothing between.
    CompletePoll(usize),
    /// A request arrives at a member.
    Request(usize, Budget),
    /// A unit in use is released.
    ReleaseUnit(usize),
    /// Another leader is elected, which knows nothing.
    Elect,
    /// A member dies and comes back.
    Restart(usize),
}

impl BudgetModel {
    fn member_clock(&self, state: &FleetState, member: usize) -> f64 {
        let rate = match member {
            0 => 1.0 - MAX_DRIFT,
            _ if member + 1 == self.members => 1.0 + MAX_DRIFT,
            _ => 1.0,
        };
        state.now as f64 * TICK_MS * rate
    }

    /// The number of a budget at a member.
    fn number(&self, budget: Budget) -> usize {
        match budget {
            Budget::Rate => 0,
            Budget::Concurrency => usize::from(self.has_rate),
        }
    }

    fn new_member(&self, member: usize, incarnation: u64, now: f64) -> BudgetMember {
        let mut budgets = BudgetMember::new(member_id(member, incarnation), "", self.injected_bug);
        budgets.activate(now, VERSION, specs(self.has_rate));
        budgets
    }

    fn tick(&self, state: &mut FleetState) {
        state.now += 1;
        let now = state.now;
        state.in_use.retain(|unit| now < unit.until);
        let leader_now = state.leader_clock();
        let agreed =
            AgreedState { version: VERSION, specs: &specs(self.has_rate), members: &state.agreed_members };
        state.leader.tick(leader_now, &agreed);
    }

    fn poll_request(&self, state: &mut FleetState, member: usize) -> PollRequest {
        let now = self.member_clock(state, member);
        let units = state.units_in_use_of(member);
        let limited = self.number(Budget::Concurrency);
        let own = &mut state.members[member];
        own.polls += 1;
        let in_use = |number| if number == limited { units } else { 0 };
        own.budgets.poll_request(now, own.polls, in_use)
    }

    fn response(&self, state: &mut FleetState, request: &PollRequest) -> PollResponse {
        let now = state.leader_clock();
        let agreed =
            AgreedState { version: VERSION, specs: &specs(self.has_rate), members: &state.agreed_members };
        state.leader.handle_poll(now, &agreed, request)
    }

    fn handle_response(&self, state: &mut FleetState, member: usize, response: PollResponse) {
        let now = self.member_clock(state, member);
        state.members[member].budgets.handle_response(now, response);
    }

    /// Answers a member's poll, if there is one on its way.
    fn answer_poll(&self, state: &mut FleetState, member: usize) -> Option<()> {
        let request = self.take_message(&mut state.members[member].request)?;
        let response = self.response(state, &request);
        state.members[member].response = Some(response);
        Some(())
    }

    /// Delivers a response, if there is one on its way.
    fn deliver_response(&self, state: &mut FleetState, member: usize) -> Option<()> {
        let response = self.take_message(&mut state.members[member].response)?;
        self.handle_response(state, member, response);
        Some(())
    }

    /// A message that is delivered; it stays on its way where messages are duplicated.
    fn take_message<T: Clone>(&self, message: &mut Option<T>) -> Option<T> {
        if self.duplicates {
            message.clone()
        } else {
            message.take()
        }
    }

    fn complete_poll(&self, state: &mut FleetState, member: usize) {
        let request = self.poll_request(state, member);
        let response = self.response(state, &request);
        self.handle_response(state, member, response);
    }

    fn request(&self, state: &mut FleetState, member: usize, budget: Budget) {
        let now = self.member_clock(state, member);
        let units = state.units_in_use_of(member);
        let numbers = [self.number(budget)];
        let result = state.members[member].budgets.try_acquire(now, &numbers, |_| units);
        if result.is_err() {
            return;
        }
        match budget {
            Budget::Rate => {
                state.add_to_level();
                state.admitted_by_rate += 1;
            }
            Budget::Concurrency => {
                state.add_unit(member);
                state.admitted_by_concurrency += 1;
            }
        }
    }

    fn elect(&self, state: &mut FleetState) {
        state.elections += 1;
        let now = state.leader_clock();
        state.leader = BudgetLeader::new(u64::from(state.elections), timings(), self.injected_bug);
        state.leader.set_leadership(now, true);
    }

    fn restart(&self, state: &mut FleetState, member: usize) {
        state.restarts += 1;
        let now = self.member_clock(state, member);
        let incarnation = state.members[member].incarnation + 1;
        state.agreed_members.insert(member_id(member, incarnation), 1);
        let own = &mut state.members[member];
        own.incarnation = incarnation;
        own.budgets = self.new_member(member, incarnation, now);
        own.request = None;
        own.response = None;
    }

    /// Applies a step; gives nothing if it can't be taken.
    fn apply(&self, state: &mut FleetState, step: Step) -> Option<()> {
        match step {
            Step::Tick => self.tick(state),
            Step::SendPoll(member) => {
                let request = self.poll_request(state, member);
                state.members[member].request = Some(request);
            }
            Step::AnswerPoll(member) => self.answer_poll(state, member)?,
            Step::HandleResponse(member) => self.deliver_response(state, member)?,
            Step::CompletePoll(member) => self.complete_poll(state, member),
            Step::Request(member, budget) => self.request(state, member, budget),
            Step::ReleaseUnit(unit) => {
                state.in_use.remove(unit);
            }
            Step::Elect => self.elect(state),
            Step::Restart(member) => self.restart(state, member),
        }
        Some(())
    }

    /// The steps of one member that may be possible.
    fn member_steps(&self, state: &FleetState, member: usize, steps: &mut Vec<Step>) {
        let own = &state.members[member];
        if own.polls < self.max_polls {
            steps.push(Step::SendPoll(member));
            if self.single_step_polls {
                steps.push(Step::CompletePoll(member));
            }
        }
        if own.request.is_some() {
            steps.push(Step::AnswerPoll(member));
        }
        if own.response.is_some() {
            steps.push(Step::HandleResponse(member));
        }
        if self.has_rate {
            steps.push(Step::Request(member, Budget::Rate));
        }
        steps.push(Step::Request(member, Budget::Concurrency));
        if state.restarts < self.max_restarts {
            steps.push(Step::Restart(member));
        }
    }

    fn shares_sum_to_at_most_the_budget(&self, state: &FleetState) -> bool {
        let parts = |number: usize, member: usize| {
            let now = self.member_clock(state, member);
            u128::from(state.members[member].budgets.share(number, now).parts())
        };
        (0..specs(self.has_rate).len()).all(|number| {
            let sum: u128 = (0..self.members).map(|member| parts(number, member)).sum();
            sum <= u128::from(FULL_SHARE.parts())
        })
    }
}

impl Model for BudgetModel {
    type State = FleetState;
    type Action = Step;

    fn init_states(&self) -> Vec<FleetState> {
        let mut leader = BudgetLeader::new(0, timings(), self.injected_bug);
        leader.set_leadership(0.0, true);
        let member = |member| MemberState {
            incarnation: 0,
            budgets: self.new_member(member, 0, 0.0),
            polls: 0,
            request: None,
            response: None,
        };
        vec![FleetState {
            now: 0,
            leader,
            agreed_members: (0..self.members).map(|member| (member_id(member, 0), 1)).collect(),
            members: (0..self.members).map(member).collect(),
            in_use: Vec::new(),
            level: 0.0,
            level_updated_at: 0,
            admitted_by_rate: 0,
            admitted_by_concurrency: 0,
            elections: 0,
            restarts: 0,
        }]
    }

    fn actions(&self, state: &FleetState, steps: &mut Vec<Step>) {
        if state.now < self.max_ticks {
            steps.push(Step::Tick);
        }
        for member in 0..self.members {
            self.member_steps(state, member, steps);
        }
        steps.extend((0..state.in_use.len()).map(Step::ReleaseUnit));
        if state.elections < self.max_elections {
            steps.push(Step::Elect);
        }
        // Random walks choose a step by its position; one that changes nothing would shift the others.
        steps.retain(|step| self.next_state(state, *step).is_some());
    }

    fn next_state(&self, before: &FleetState, step: Step) -> Option<FleetState> {
        let mut state = before.clone();
        self.apply(&mut state, step)?;
        if state == *before {
            return None;
        }
        Some(state)
    }

    fn properties(&self) -> Vec<Property<BudgetModel>> {
        vec![
            Property::always(
                "A1: shares never sum to more than the budget",
                |model: &BudgetModel, state: &FleetState| model.shares_sum_to_at_most_the_budget(state),
            ),
            Property::always(
                "A1: no window has more than the rate and its burst",
                |_, state: &FleetState| state.level <= BURST as f64 + 1e-6,
            ),
            Property::always("A1: no more units are in use than the limit", |_, state: &FleetState| {
                state.in_use.len() as u64 <= MAX_IN_USE
            }),
            Property::sometimes(
                "both budgets admit at a member that held nothing",
                |model: &BudgetModel, state: &FleetState| {
                    let rate_admits = state.admitted_by_rate > 2 || !model.has_rate;
                    state.admitted_by_concurrency > 2 && rate_admits
                },
            ),
        ]
    }
}
