//! Bugs that tests inject to see that they are found.

/// A bug injected on purpose. Never set outside of tests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum InjectedBug {
    /// None.
    #[default]
    None,
    /// A new leader takes shares that no member has stated yet for free.
    NewLeaderDoesNotWait,
    /// A share is reassigned as soon as its holder is told of it, not when the holder has confirmed it.
    ReassignedBeforeConfirmed,
    /// A share that arrives brings its full burst with it.
    FullBurstOnArrival,
    /// A share is used past its expiry.
    UsedAfterExpiry,
    /// What a dead member has in use counts no longer than its share.
    DeadMemberUsageForgotten,
}
