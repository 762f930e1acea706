//! Applies random sequences of commands to the replicated state and checks guarantees 1 and 4 of
//! `docs/leases.md` after each command. Guards against commands that arrive late, twice or out of
//! order and then grant a second lease or run a step again.

use beamgap_fleet_types::MemberId;
use beamgap_leases::{
    Command, FencingToken, OnUnknownOutcome, Outcome, Run, Schedule, State, StepRecord, Task,
    TaskSpec,
};
use proptest::prelude::*;

fn any_task() -> impl Strategy<Value = String> {
    prop_oneof![
        Just("a".to_owned()),
        Just("b".to_owned()),
        Just("none".to_owned())
    ]
}

fn any_token() -> impl Strategy<Value = FencingToken> {
    (0..8u64).prop_map(FencingToken::new)
}

fn any_outcome() -> impl Strategy<Value = Outcome> {
    prop_oneof![
        Just(Outcome::Done),
        Just(Outcome::NotRun("x".to_owned())),
        Just(Outcome::Unknown("y".to_owned()))
    ]
}

fn any_command() -> impl Strategy<Value = Command> {
    prop_oneof![
        (any_task(), 0..3u64).prop_map(|(task, incarnation)| {
            Command::GrantLease {
                task,
                holder: MemberId::new("m", incarnation),
            }
        }),
        (any_task(), any_token()).prop_map(|(task, token)| Command::EndLease { task, token }),
        (any_task(), 0..4u64).prop_map(|(task, run)| Command::StartRun { task, run, day: 0 }),
        (any_task(), any_token(), 0..4u64, 0..3u32).prop_map(|(task, token, run, step)| {
            Command::BeginStep {
                task,
                token,
                run,
                step,
            }
        }),
        (any_task(), any_token(), 0..3u32, any_outcome()).prop_map(
            |(task, token, step, outcome)| {
                Command::RecordOutcome {
                    task,
                    token,
                    step,
                    outcome,
                }
            }
        ),
        (any_task(), any::<bool>()).prop_map(|(task, paused)| Command::SetPaused { task, paused }),
        any::<bool>().prop_map(|forbids| {
            let names = if forbids {
                vec!["a".to_owned()]
            } else {
                Vec::new()
            };
            Command::SetForbidden(names)
        }),
    ]
}

/// Guarantee 1: a lease is granted only if the task has none, and its token is new. An open step
/// always belongs to the current lease.
fn check_lease(before: &Task, now: &Task, last_token: FencingToken) -> Result<(), TestCaseError> {
    let Some(lease) = &now.lease else {
        return Ok(());
    };
    if now.lease != before.lease {
        prop_assert!(
            before.lease.is_none(),
            "a lease was replaced before it ended"
        );
        prop_assert_eq!(lease.token, last_token);
    }
    let open_token = now.run.as_ref().and_then(|run| run.open_token);
    prop_assert!(open_token.is_none_or(|open| open == lease.token));
    Ok(())
}

/// Guarantee 4: a run never goes back to an earlier step, and a step is begun again only if its
/// last record says that it did not run.
fn check_run(before: &Run, now: &Run, task: &Task) -> Result<(), TestCaseError> {
    prop_assert!(now.number != before.number || now.next_step >= before.next_step);
    let was_begun = now.open_token.is_some() && before.open_token.is_none();
    let of_this_step =
        |record: &&StepRecord| record.run == now.number && record.step == now.next_step;
    let last = task.history.iter().rev().find(of_this_step);
    prop_assert!(
        !was_begun || last.is_none_or(|record| matches!(record.outcome, Outcome::NotRun(_)))
    );
    Ok(())
}

proptest! {
    /// Guarantees 1 and 4: tokens never decrease, no lease is replaced before its end, and runs
    /// don't go back.
    #[test]
    fn any_sequence_of_commands_keeps_tokens_growing_and_runs_going_forward(
        commands in prop::collection::vec(any_command(), 1..120),
        on_unknown in prop_oneof![Just(OnUnknownOutcome::Halt), Just(OnUnknownOutcome::Skip)],
    ) {
        let mut state = State::default();
        let spec = |name| {
            let defaults = TaskSpec::new(name, Schedule::OnDemand, "");
            TaskSpec { step_count: 3, on_unknown, ..defaults }
        };
        state.apply(&Command::DefineTasks(vec![spec("a"), spec("b")]));
        let mut before = state.clone();
        for command in commands {
            state.apply(&command);
            prop_assert!(state.last_token >= before.last_token);
            prop_assert!(state.change_count >= before.change_count);
            for (name, task) in &state.tasks {
                let task_before = &before.tasks[name];
                check_lease(task_before, task, state.last_token)?;
                if let (Some(run_before), Some(run)) = (&task_before.run, &task.run) {
                    check_run(run_before, run, task)?;
                }
            }
            before = state.clone();
        }
    }
}
