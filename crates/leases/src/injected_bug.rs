//! Injected bugs, which tests enable to check that they detect them.

/// A bug that a test enables in the lease protocol to show that the test detects it. Never
/// enabled outside of tests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum InjectedBug {
    /// No bug: the protocol works as intended.
    #[default]
    None,
    /// The leader ends a lease once the lease's length has passed, without allowing for clock
    /// drift, and holders use a lease for its whole length, without drift and safety margin.
    NoMargin,
    /// A new leader does not wait for the expiry of leases that an earlier leader may have
    /// renewed.
    NoWait,
    /// A holder acts on a step before the command that begins the step is committed.
    ActFirst,
    /// A holder that gives up a lease continues to use the lease until the leader notifies the
    /// holder of its end.
    HoldsOn,
}
