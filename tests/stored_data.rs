//! Compatibility tests: a data folder written by an earlier version of the program must open and give the same state.
//!
//! The folder contains a snapshot and the log entries after it. The tests open the folder as the program does at its
//! start, with the consensus node and the fleet's state machine. Commands that a leader creates by itself are
//! discarded, because they would change the stored state.

use beamgap::fleet::document;
use beamgap::fleet::message::{
    decode, encode, FleetRequest, FleetResponse, FleetStatus, OutcomeReport, PendingSummary, PolicyText,
    TaskStatus,
};
use beamgap::fleet::state_machine::FleetStateMachine;
use beamgap::fleet::test_hooks::TestHooks;
use beamgap_consensus::disk::{FileDisk, SharedDisk};
use beamgap_consensus::store::{Store, VoterIdentity};
use beamgap_consensus::{ConsensusNode, HandledRequest, InjectedBugs, RestoreError, Settings, StateMachine};
use beamgap_fleet_types::MemberId;
use beamgap_leases::{FencingToken, Lease, Outcome as StepOutcome, Run, StepRecord, Task};
use beamgap_policy::rollout::{ChangeOutcome, ChangeRecord, PolicyTimings, ValidationError};
use flate2::read::GzDecoder;
use std::io::Read;
use std::net::TcpListener;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tempfile::TempDir;

const STORE_FILE: &str = "council.redb";
const STORED_STATE: &[u8] = include_bytes!("stored_data/state.bin");
const CLUSTER_ID: u64 = 4_642_531_242_081_026_659;
const ENTRIES_IN_LOG: usize = 269;
const LAST_ENTRY: u64 = 568;
const FRONT_1: (&str, u64) = ("front-1", 0x11);
const FRONT_2: (&str, u64) = ("front-2", 0x23);
const POLICY: &str = r#"form = 1

budget "all" {
  limits = "requests"
  rate   = 300
  burst  = 60
}

budget "munster" {
  limits  = "open"
  account = "munster"
  most    = 12
  longest = "26 s"
}
"#;

/// The fleet's state machine, which counts restored snapshots and applied entries and discards its own commands.
struct Observed {
    machine: FleetStateMachine,
    restored: usize,
    applied: usize,
}

impl StateMachine for Observed {
    fn reset(&mut self) {
        self.machine.reset();
    }
    fn apply(&mut self, command: &[u8]) {
        self.applied += 1;
        self.machine.apply(command);
    }
    fn snapshot(&self) -> Vec<u8> {
        self.machine.snapshot()
    }
    fn restore(&mut self, snapshot: &[u8]) -> Result<(), RestoreError> {
        self.restored += 1;
        self.machine.restore(snapshot)
    }
    fn set_leadership(&mut self, now: f64, leads: bool) {
        self.machine.set_leadership(now, leads);
    }
    fn handle_request(&mut self, now: f64, request: &[u8]) -> HandledRequest {
        // The first tick would report the leadership, but a request may arrive before the first tick.
        self.machine.set_leadership(now, true);
        HandledRequest { commands: Vec::new(), ..self.machine.handle_request(now, request) }
    }
    fn tick(&mut self, _: f64) -> Vec<Vec<u8>> {
        Vec::new()
    }
}

/// Unpacks the stored data folder into a temporary directory.
fn stored_folder() -> TempDir {
    let folder = tempfile::tempdir().unwrap();
    let compressed = include_bytes!("stored_data/council.redb.gz");
    let mut bytes = Vec::new();
    GzDecoder::new(&compressed[..]).read_to_end(&mut bytes).unwrap();
    std::fs::write(folder.path().join(STORE_FILE), bytes).unwrap();
    folder
}

/// A voter that was started with the stored data folder.
struct StartedVoter {
    consensus: ConsensusNode,
    machine: Arc<Mutex<Observed>>,
}

impl StartedVoter {
    fn start(folder: &Path) -> StartedVoter {
        let hooks = TestHooks::default();
        let machine = FleetStateMachine::new(PolicyTimings::default(), 1, &hooks);
        let machine = Arc::new(Mutex::new(Observed { machine, restored: 0, applied: 0 }));
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let settings = Settings {
            fleet: "cedar".to_owned(),
            member: "front-1".to_owned(),
            voters: [(1, listener.local_addr().unwrap())].into(),
            slot: Some(1),
            data_dir: Some(folder.to_owned()),
            seed: 7,
            clock: hooks.clock(),
            injected_bugs: InjectedBugs::default(),
        };
        let disk: SharedDisk = Arc::new(FileDisk);
        let consensus = ConsensusNode::start(settings, Some(listener), disk, machine.clone(), || {}).unwrap();
        StartedVoter { consensus, machine }
    }

    /// Submits a request again and again until the leader responds, for at most 30 s.
    fn ask(&self, request: &FleetRequest) -> FleetResponse {
        let deadline = Instant::now() + Duration::from_secs(30);
        for tag in 0.. {
            assert!(Instant::now() < deadline, "no leader responded: {:?}", self.consensus.status());
            assert!(self.consensus.submit(tag, encode(request)));
            std::thread::sleep(Duration::from_millis(50));
            let responses: Vec<_> = self.consensus.responses().collect();
            if let Some(body) = responses.into_iter().find_map(|response| response.body) {
                return decode(&body).expect("a valid response");
            }
        }
        unreachable!()
    }

    fn tasks(&self) -> Vec<Task> {
        match self.ask(&FleetRequest::Tasks(None)) {
            FleetResponse::Tasks(tasks) => tasks.into_iter().map(|status: TaskStatus| status.task).collect(),
            other => panic!("{other:?}"),
        }
    }

    fn status(&self) -> FleetStatus {
        match self.ask(&FleetRequest::Status) {
            FleetResponse::Status(status) => *status,
            other => panic!("{other:?}"),
        }
    }
}

fn record(id: &str, outcome: ChangeOutcome) -> ChangeRecord {
    ChangeRecord { id: id.to_owned(), requested_by: "ada".to_owned(), outcome }
}

fn lease((name, incarnation): (&str, u64), token: u64) -> Option<Lease> {
    Some(Lease { holder: MemberId::new(name, incarnation), token: FencingToken::new(token) })
}

fn step(step: u32, token: u64, member: &str, outcome: StepOutcome) -> StepRecord {
    StepRecord { run: 1, step, token: FencingToken::new(token), member: member.to_owned(), outcome }
}

#[test]
fn a_stored_folder_opens_with_its_cluster_id_snapshot_and_log() {
    let folder = stored_folder();
    let disk: SharedDisk = Arc::new(FileDisk);
    let store = Store::open(folder.path(), &disk, true).unwrap();
    let identity = VoterIdentity { fleet: "cedar".to_owned(), cluster_id: CLUSTER_ID, node_id: 1 };
    assert_eq!(store.identity().unwrap(), Some(identity));
    assert_eq!(store.entries(..).unwrap().len(), ENTRIES_IN_LOG);
    for name in ["form", "vote", "purged", "snapshot"] {
        assert!(store.get(name).unwrap().is_some(), "{name}");
    }
}

#[test]
fn a_start_on_a_stored_folder_shows_the_same_policy_budgets_tasks_and_history() {
    let folder = stored_folder();
    let started = StartedVoter::start(folder.path());

    let status = started.status();
    assert_eq!(status.version, 1);
    let pending = PendingSummary { id: "c4".to_owned(), by: "ada".to_owned(), committed: false };
    assert_eq!(status.pending, Some(pending));
    assert_eq!(status.timings, Some(PolicyTimings { lease_ms: 600_000.0, ..PolicyTimings::default() }));
    let members: Vec<_> = status.members.iter().map(|m| (m.name.as_str(), m.incarnation)).collect();
    assert_eq!(members, [FRONT_1, FRONT_2]);

    let policy = PolicyText { version: 1, text: POLICY.to_owned() };
    assert_eq!(started.ask(&FleetRequest::PolicyText(None)), FleetResponse::PolicyText(Some(policy)));
    let budgets = document::parse("policy", POLICY).unwrap().budgets;
    let FleetResponse::Budgets(standings) = started.ask(&FleetRequest::Budgets) else {
        panic!("unexpected response")
    };
    let named: Vec<_> = budgets.iter().map(|budget| budget.name.as_str()).collect();
    let divided: Vec<_> = standings.iter().map(|budget| budget.name.as_str()).collect();
    assert_eq!((named, divided), (vec!["all", "munster"], vec!["all", "munster"]));

    let rejected =
        vec![ValidationError { member: "front-1".to_owned(), message: "policy:2:1: unknown key".to_owned() }];
    let history = vec![
        record("c1", ChangeOutcome::Active(1)),
        record("c2", ChangeOutcome::Rejected(rejected)),
        record("c3", ChangeOutcome::Withdrawn),
    ];
    assert_eq!(started.ask(&FleetRequest::History), FleetResponse::History(history));
    let checking = OutcomeReport { outcome: Some(ChangeOutcome::Validating), members_behind: 0 };
    assert_eq!(started.ask(&FleetRequest::Outcome("c4".to_owned())), FleetResponse::Outcome(checking));
}

#[test]
fn a_start_on_a_stored_folder_shows_the_same_leases_tokens_and_runs() {
    let folder = stored_folder();
    let started = StartedVoter::start(folder.path());
    let tasks = started.tasks();
    let [compact, sweep, watch] = tasks.as_slice() else { panic!("{tasks:?}") };

    assert_eq!(compact.lease, lease(FRONT_2, 3));
    let run = Run {
        number: 1,
        next_step: 2,
        attempts: 1,
        open_token: Some(FencingToken::new(3)),
        halted_reason: None,
    };
    assert_eq!((compact.run.as_ref(), compact.runs), (Some(&run), 1));
    assert_eq!(
        (compact.spec.name.as_str(), compact.spec.lease_ms, compact.spec.step_count),
        ("compact", 30_000.0, 4)
    );

    assert_eq!(sweep.lease, None);
    assert_eq!(
        (sweep.run.as_ref(), sweep.last_started_day),
        (Some(&Run { number: 1, ..Run::default() }), 20_000)
    );
    assert!(sweep.paused && !compact.paused && !watch.paused);
    assert_eq!((sweep.spec.name.as_str(), sweep.spec.zones.as_slice()), ("sweep", &["z1".to_owned()][..]));

    assert_eq!((watch.spec.name.as_str(), &watch.lease), ("watch", &lease(FRONT_1, 2)));

    let FleetResponse::Tasks(one) = started.ask(&FleetRequest::Tasks(Some("compact".to_owned()))) else {
        panic!("unexpected response")
    };
    let history = [
        step(0, 1, "front-1", StepOutcome::Done),
        step(1, 1, "front-1", StepOutcome::Unknown("its lease ended".to_owned())),
        step(2, 3, "front-2", StepOutcome::NotRun("connection refused".to_owned())),
    ];
    assert_eq!(one[0].task.history, history);
}

#[test]
fn a_start_on_a_stored_folder_restores_the_snapshot_applies_the_entries_and_has_the_same_state() {
    let folder = stored_folder();
    let started = StartedVoter::start(folder.path());
    started.status();
    let observed = started.machine.lock().unwrap();
    assert_eq!(observed.restored, 1);
    assert!((1..ENTRIES_IN_LOG).contains(&observed.applied), "{} entries applied", observed.applied);
    assert!(started.consensus.status().log.applied >= LAST_ENTRY, "not all entries were applied");
    assert_eq!(observed.snapshot(), STORED_STATE, "the snapshot differs from the stored state");
}

/// A request and its response, each encoded as in messages between members.
#[derive(Debug, PartialEq, serde::Serialize, serde::Deserialize)]
struct Exchange {
    request: Vec<u8>,
    response: Vec<u8>,
}

#[test]
fn a_start_on_a_stored_folder_responds_to_stored_requests_with_the_same_bytes() {
    let folder = stored_folder();
    let started = StartedVoter::start(folder.path());
    started.status();
    let stored: Vec<Exchange> = decode(include_bytes!("stored_data/responses.bin")).unwrap();
    assert_eq!(stored.len(), 8);
    for exchange in stored {
        let handled = started.machine.lock().unwrap().handle_request(0.0, &exchange.request);
        assert_eq!(Exchange { request: exchange.request.clone(), response: handled.response }, exchange);
    }
}
