//! Budgets as a state machine: members have shares of a rate and of a concurrency limit, and a newly elected leader starts
//! without knowing which shares its predecessor assigned.
//!
//! The model runs the production code ([`BudgetLeader`] and [`BudgetMember`] of `crates/budgets`). Messages are lost
//! (never delivered), delayed and duplicated; leaders change; members crash and restart, while the requests that they had
//! admitted keep running on the engines. A paused member is a member for which the search chooses no steps. Member 0's
//! clock is as slow and the leaders' clocks are as fast as the drift bound allows, the worst pair for expiring shares. The
//! last member's clock is as fast as the bound allows, the worst case for a rate limit.
//!
//! The model leaves out the consensus protocol, rollouts of a new policy, durations below a tick, more than one poll of a
//! member in flight, and clocks whose rate changes.

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

/// The two kinds of budget in the model.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Budget {
    /// A rate limit with a burst, in requests.
    Rate,
    /// A limit on the units in use at the same time.
    Concurrency,
}

/// Parameters of the model: the injected bug, the size of the fleet and the limits of the search.
#[derive(Clone, Copy, Debug)]
pub struct BudgetModel {
    /// The bug injected into the leader and the members.
    pub injected_bug: InjectedBug,
    /// Number of members.
    pub members: usize,
    /// Whether the policy has a rate budget in addition to the concurrency budget.
    pub has_rate: bool,
    /// Number of ticks after which time no longer passes.
    pub max_ticks: u64,
    /// Largest number of polls by one member.
    pub max_polls: u64,
    /// Largest number of elections of a new leader.
    pub max_elections: u8,
    /// Largest number of member restarts, over all members.
    pub max_restarts: u8,
    /// Whether a message may be delivered more than once.
    pub duplicates: bool,
    /// Whether a complete poll may be a single step, which lets random walks of limited length cover more polls.
    pub single_step_polls: bool,
}

/// A step of the model.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Step {
    /// Time advances by one tick.
    Tick,
    /// A member sends a poll to the leader.
    SendPoll(usize),
    /// The leader answers the poll of a member.
    AnswerPoll(usize),
    /// A member handles the leader's response to its poll.
    HandleResponse(usize),
    /// A poll, the leader's response and the member's handling of the response in one step.
    CompletePoll(usize),
    /// A client request arrives at a member, which admits the request if the member's share of the budget is sufficient.
    Request(usize, Budget),
    /// A unit of the concurrency budget is released; the index refers to the units in use.
    ReleaseUnit(usize),
    /// A new leader is elected; it starts without knowledge of the assigned shares.
    Elect,
    /// A member crashes and restarts with a new incarnation.
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

    /// The index of a budget in the list of budgets that members and leaders use.
    fn budget_index(&self, budget: Budget) -> usize {
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
        let concurrency = self.budget_index(Budget::Concurrency);
        let own = &mut state.members[member];
        own.polls += 1;
        let in_use = |number| if number == concurrency { units } else { 0 };
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

    /// The leader answers a member's poll; returns `None` if no poll is in flight.
    fn answer_poll(&self, state: &mut FleetState, member: usize) -> Option<()> {
        let request = self.take_message(&mut state.members[member].request)?;
        let response = self.response(state, &request);
        state.members[member].response = Some(response);
        Some(())
    }

    /// Delivers the leader's response to a member; returns `None` if no response is in flight.
    fn deliver_response(&self, state: &mut FleetState, member: usize) -> Option<()> {
        let response = self.take_message(&mut state.members[member].response)?;
        self.handle_response(state, member, response);
        Some(())
    }

    /// Returns the message to deliver. With duplication the message stays in flight and can be delivered again.
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
        let numbers = [self.budget_index(budget)];
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

    /// Applies a step to the state; returns `None` if the step is impossible in this state.
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

    /// Adds the candidate steps of one member.
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
        // Random walks choose a step by its index in this list. Steps that change nothing are removed, since each such
        // step would shift the indices of the others.
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
