//! Tests the parsing of `BEAMGAP_TRIAL`, the environment variable that sets the hooks of the fault harness, and the
//! effect of the hooks on the member's clock.

use beamgap::fleet::test_hooks::{machine_clock, ClockJump, TestHooks, TestHooksError};
use beamgap_budgets::InjectedBug as BudgetBug;
use beamgap_leases::InjectedBug as LeaseBug;
use beamgap_policy::rollout::InjectedBug as PolicyBug;

#[test]
fn each_word_sets_its_hook() {
    let hooks = TestHooks::parse("history,power,fsync=200,leash,look=300,rate=1.05,offset=-50000").unwrap();
    let expected = TestHooks {
        clock_rate: 1.05,
        clock_offset_ms: -50_000.0,
        power_cut_disk: true,
        fsync_delay_ms: 200.0,
        exit_on_stdin_close: true,
        pause_before_action_ms: 300.0,
        write_history: true,
        ..TestHooks::default()
    };
    assert_eq!(hooks, expected);
    assert_eq!(hooks.member_time(100_000.0), 55_000.0);
    assert_eq!(TestHooks::from_env(&|_| None), Ok(TestHooks::default()));
}

#[test]
fn a_jump_moves_the_clock_from_its_moment_on() {
    let before = machine_clock();
    let ClockJump { at_ms, by_ms } = TestHooks::parse("jump=2000:5000").unwrap().clock_jump.unwrap();
    assert!((before + 2000.0..machine_clock() + 2000.0).contains(&at_ms) && by_ms == 5000.0);
    let hooks = TestHooks { clock_jump: Some(ClockJump { at_ms: 10.0, by_ms: 5.0 }), ..TestHooks::default() };
    assert_eq!((hooks.member_time(9.0), hooks.member_time(10.0)), (9.0, 15.0));
}

#[test]
fn each_bug_is_injected_by_its_name() {
    let hooks = |name: &str| TestHooks::parse(&format!("plant={name}")).unwrap();
    for (name, bug) in [
        ("early-activation", PolicyBug::EarlyActivation),
        ("unconfirmed-leader", PolicyBug::UnconfirmedLeader),
        ("vote-before-sync", PolicyBug::VoteBeforeSync),
        ("no-catch-up", PolicyBug::NoCatchUp),
        ("no-wait", PolicyBug::NoWait),
        ("stale-clock", PolicyBug::StaleClock),
    ] {
        assert_eq!(hooks(name), TestHooks { policy_bug: bug, ..TestHooks::default() });
    }
    for (name, bug) in [
        ("no-margin", LeaseBug::NoMargin),
        ("no-lease-wait", LeaseBug::NoWait),
        ("holds-on", LeaseBug::HoldsOn),
        ("act-first", LeaseBug::ActFirst),
    ] {
        assert_eq!(hooks(name), TestHooks { lease_bug: bug, ..TestHooks::default() });
    }
    for (name, bug) in [
        ("new-leader-gives", BudgetBug::NewLeaderDoesNotWait),
        ("given-twice", BudgetBug::ReassignedBeforeConfirmed),
        ("full-bucket", BudgetBug::FullBurstOnArrival),
        ("no-end", BudgetBug::UsedAfterExpiry),
        ("dead-is-over", BudgetBug::DeadMemberUsageForgotten),
    ] {
        assert_eq!(hooks(name), TestHooks { budget_bug: bug, ..TestHooks::default() });
    }
    let consensus = |name| hooks(name).consensus_bugs();
    assert!(consensus("unconfirmed-leader").unconfirmed_leader);
    assert!(consensus("vote-before-sync").unsynced_writes);
    assert!(!consensus("no-wait").unconfirmed_leader && !consensus("no-wait").unsynced_writes);
}

#[test]
fn an_unknown_word_and_a_word_without_its_number_are_rejected() {
    for word in ["powr", "plant=nothing", "plant", "history=1"] {
        let error = TestHooks::parse(word).unwrap_err();
        assert_eq!(error, TestHooksError::UnknownWord(word.to_owned()));
    }
    for word in ["rate=fast", "jump=2000", "look=", "fsync=slow"] {
        let error = TestHooks::parse(word).unwrap_err();
        assert_eq!(error.to_string(), format!("BEAMGAP_TRIAL: `{word}` has no number"));
    }
}
