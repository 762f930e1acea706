//! Limits of a fleet that end a request: a request that may have run is rejected only if running it again is harmless.

mod common;

use beamgap::fleet::admission::Admitted;
use beamgap::fleet::budgets::FleetBudgets;
use beamgap::fleet::test_hooks::TestHooks;
use beamgap::node::dispatcher::*;
use beamgap::node::slab::{Slab, SlotKey};
use beamgap::node::timer_queue::TimerQueue;
use beamgap::*;
use beamgap_budgets::spec::{Amount, BudgetSpec, Resource};
use beamgap_policy::document::Policy;
use beamgap_policy::rules::{CompiledPolicy, RequestLimits};
use common::{member, ms};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;

const CLASS: &str = "load";
const REJECTED: bool = true;
const FAILED: bool = false;

/// What a class allows, and whether a request of the class that may have run is rejected.
fn effects() -> [(Repeat, bool); 5] {
    let keyed = |group| Repeat::Keyed { group, window: ms(60_000) };
    [
        (Repeat::Safe, REJECTED),
        (keyed(RepeatGroup::All), REJECTED),
        (keyed(RepeatGroup::Zone), FAILED),
        (keyed(RepeatGroup::Cell), FAILED),
        (Repeat::Unsafe, FAILED),
    ]
}

/// A dispatcher with two engines of one zone and one class, whose fronts and backends are played by the test.
struct Fixture {
    dispatcher: RequestDispatcher,
    timers: TimerQueue,
    connections: Slab<()>,
    now: f64,
}

impl Fixture {
    fn new(repeat: Repeat) -> Fixture {
        let class = ClassSettings { repeat, ..ClassSettings::plain(CLASS, ms(3000), ms(20_000)) };
        let settings = Settings::plain(vec![class]);
        let dispatcher = RequestDispatcher::new(settings, 7, 100, 1 << 20).expect("the settings are valid");
        let (timers, connections) = (TimerQueue::default(), Slab::default());
        let mut fixture = Fixture { dispatcher, timers, connections, now: 1000.0 };
        let engines = vec![member("engine-0"), member("engine-1")];
        fixture.handle(DispatcherEvent::EngineList(ListKind::Cached, 1, engines));
        fixture
    }

    fn handle(&mut self, event: DispatcherEvent) -> Vec<DispatcherCommand> {
        self.dispatcher.handle(self.now, event, &mut self.timers);
        self.dispatcher.take_commands()
    }

    fn request(&mut self, name: &str, admitted: Option<Admitted>) -> ClientRequest {
        let conn: SlotKey = self.connections.insert(());
        ClientRequest {
            client: ClientHandle { front: Front::JsonRpc, conn, id: 1 },
            name: Arc::from(name),
            class: ClassId(0),
            sent_at: self.now,
            budget_ms: 20_000.0,
            waited_at_client: 0.0,
            table_group: 1,
            work_ms: Some(20.0),
            memory_mb: None,
            tenant: None,
            ordering_key: None,
            payload: Rc::new(Payload::default()),
            admitted,
        }
    }

    /// Ends the attempt that one of the commands starts, with an error of the engine: it may have run.
    fn fail_attempt(&mut self, commands: &[DispatcherCommand]) -> Vec<DispatcherCommand> {
        let start = |command: &DispatcherCommand| match command {
            DispatcherCommand::Start(start) => Some(start.attempt),
            _ => None,
        };
        let attempt = commands.iter().find_map(start).expect("an attempt is started");
        self.now += 10.0;
        self.handle(DispatcherEvent::AttemptEnded(FinishedAttempt::bare(attempt, Outcome::Error)))
    }
}

/// Whether the final response among the commands is a rejection.
fn is_rejected(commands: &[DispatcherCommand]) -> bool {
    let response = |command: &DispatcherCommand| match command {
        DispatcherCommand::Respond(_, response) => Some(response.clone()),
        _ => None,
    };
    match commands.iter().find_map(response).expect("a final response is sent") {
        FinalResponse::Rejected { .. } => REJECTED,
        FinalResponse::Failed => FAILED,
        other => panic!("unexpected response: {other:?}"),
    }
}

/// The admission of a request under a policy with these limits and budgets of which the member has no share.
fn admitted(limits: RequestLimits, budgets: Vec<BudgetSpec>) -> Admitted {
    let classes = [CLASS.to_owned()];
    let mut fleet_budgets = FleetBudgets::new("n1", 1, "a", &classes, TestHooks::default());
    fleet_budgets.activate(0.0, 1, budgets);
    let by_budgets = FleetBudgets::admit(&Rc::new(RefCell::new(fleet_budgets)), 0.0, 0, None);
    let by_budgets = by_budgets.expect("no budget limits the admission");
    Admitted {
        version: 1,
        limits,
        policy: Rc::new(CompiledPolicy::new(Policy::default(), &classes)),
        held_units: Rc::new(by_budgets.held_units),
        retry_budget: by_budgets.retry_budget,
    }
}

// Guards against a repeated load whose only attempt failed: its client was told "not run".
#[test]
fn a_request_without_attempts_left_is_rejected_only_if_a_repeat_is_harmless() {
    for (repeat, expected) in effects() {
        let mut fixture = Fixture::new(repeat);
        let limits = RequestLimits { max_attempts: Some(1), deadline_ms: None };
        let request = fixture.request("r1", Some(admitted(limits, Vec::new())));
        let commands = fixture.handle(DispatcherEvent::RequestReceived(request));
        let commands = fixture.fail_attempt(&commands);
        assert_eq!(is_rejected(&commands), expected, "{repeat:?}");
    }
}

// Guards against a repeated load whose retry the fleet's budget refused: its client was told "not run".
#[test]
fn a_request_whose_retry_is_refused_is_rejected_only_if_a_repeat_is_harmless() {
    let retries = BudgetSpec {
        name: "retries".to_owned(),
        resource: Resource::Retries,
        account: None,
        class: None,
        amount: Amount::Rate { per_second: 1.0, burst: 1 },
        floor: 0.0,
        max_members: 0,
        weights: BTreeMap::new(),
    };
    for (repeat, expected) in effects() {
        let mut fixture = Fixture::new(repeat);
        let request = fixture.request("r1", Some(admitted(RequestLimits::default(), vec![retries.clone()])));
        let commands = fixture.handle(DispatcherEvent::RequestReceived(request));
        let commands = fixture.fail_attempt(&commands);
        assert_eq!(is_rejected(&commands), expected, "{repeat:?}");
    }
}

// Guards against a repeated load that the fleet's policy refuses: an earlier request with its name may have run.
#[test]
fn a_repeated_name_that_the_policy_refuses_is_rejected_only_if_a_repeat_is_harmless() {
    for (repeat, expected) in effects() {
        let mut fixture = Fixture::new(repeat);
        let request = fixture.request("r1", None);
        fixture.handle(DispatcherEvent::RequestReceived(request));
        let repeated = fixture.request("r1", None);
        fixture.dispatcher.reject(fixture.now, &repeated, 500.0);
        assert_eq!(is_rejected(&fixture.dispatcher.take_commands()), expected, "{repeat:?}");
        let new = fixture.request("r2", None);
        fixture.dispatcher.reject(fixture.now, &new, 500.0);
        assert_eq!(is_rejected(&fixture.dispatcher.take_commands()), REJECTED, "{repeat:?}");
    }
}
