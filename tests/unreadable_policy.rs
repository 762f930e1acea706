//! The state machine of a voter whose program can't read the text of the active policy.

use beamgap::fleet::message::{decode, encode, FleetRequest, FleetResponse, LogCommand};
use beamgap::fleet::state_machine::FleetStateMachine;
use beamgap::fleet::test_hooks::TestHooks;
use beamgap_consensus::StateMachine;
use beamgap_leases::{Command as TaskCommand, Schedule, TaskSpec};
use beamgap_policy::rollout::{ChangeRequest, Command as PolicyCommand, PolicyTimings};

/// Proposes, commits and activates a policy text.
fn activate(machine: &mut FleetStateMachine, id: &str, text: &str) {
    let id = id.to_owned();
    let change = ChangeRequest {
        id: id.clone(),
        requested_by: "operator".to_owned(),
        policy_text: Some(text.to_owned()),
        base_version: None,
    };
    let commands = [
        PolicyCommand::Propose(change),
        PolicyCommand::Commit { id: id.clone() },
        PolicyCommand::Activate { id },
    ];
    for command in commands {
        machine.apply(&LogCommand::Policy(command).encode());
    }
}

/// Names of the forbidden tasks.
fn forbidden_tasks(machine: &mut FleetStateMachine) -> Vec<String> {
    let response = machine.handle_request(0.0, &encode(&FleetRequest::Tasks(None))).response;
    let Some(FleetResponse::Tasks(tasks)) = decode(&response) else { panic!("not a list of tasks") };
    let forbidden = tasks.into_iter().filter(|status| status.task.forbidden);
    forbidden.map(|status| status.task.spec.name).collect()
}

/// A policy text that can't be read counted as one that forbids no task, so that a forbidden task ran.
#[test]
fn a_forbidden_task_stays_forbidden_under_a_policy_that_cannot_be_read() {
    let mut machine = FleetStateMachine::new(PolicyTimings::default(), 1, &TestHooks::default());
    machine.apply(&LogCommand::Policy(PolicyCommand::Bootstrap(PolicyTimings::default())).encode());
    let tasks =
        ["feed", "count"].map(|name| TaskSpec::new(name, Schedule::OnDemand, "http://127.0.0.1:9/task"));
    machine.apply(&LogCommand::Task(TaskCommand::DefineTasks(tasks.to_vec())).encode());
    activate(&mut machine, "first", "form = 1\ntask \"feed\" {\n  forbidden = true\n}\n");
    assert_eq!(forbidden_tasks(&mut machine), ["feed"]);
    activate(&mut machine, "second", "form = 1\nunknown-block \"x\" {\n}\n");
    assert_eq!(forbidden_tasks(&mut machine), ["feed"]);
    activate(&mut machine, "third", "form = 1\n");
    assert!(forbidden_tasks(&mut machine).is_empty());
}
