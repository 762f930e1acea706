//! Bugs that tests inject to verify that their checks detect violations.

/// A deliberate bug in the leader or the member. Set in tests only.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum InjectedBug {
    /// No injected bug.
    #[default]
    None,
    /// A new leader treats shares that no member has stated yet as free instead of waiting until they have expired.
    NewLeaderDoesNotWait,
    /// The leader reassigns a released share when it sends the
    /// reduction, before the holder has confirmed the reduction.
    ReassignedBeforeConfirmed,
    /// A member fills its token bucket whenever it receives a
    /// share, so that each move of a share yields an extra burst.
    FullBurstOnArrival,
    /// A member continues to use its share after the share has expired.
    UsedAfterExpiry,
    /// The leader stops counting the units that a dead member has in use when
    /// the member's share expires, although they may remain in use for longer.
    DeadMemberUsageForgotten,
}
