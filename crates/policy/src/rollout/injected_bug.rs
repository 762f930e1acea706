//! Bugs that tests inject.

/// A bug injected on purpose, to see that tests and models find it. Never set outside of tests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum InjectedBug {
    /// None.
    #[default]
    None,
    /// The new version is granted as soon as it is proposed.
    EarlyActivation,
    /// A leader answers without having been confirmed.
    UnconfirmedLeader,
    /// A voter answers before its disk has what it answers for.
    VoteBeforeSync,
    /// A member that comes back admits under the version that it had.
    NoCatchUp,
    /// Long leases are not waited for.
    NoWait,
    /// The clock is read at the start of the event loop's iteration, not at the admission.
    StaleClock,
}
