//! Protocol bugs that tests inject.

/// A deliberately injected bug that tests and protocol models must detect. Outside of tests it is `None`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum InjectedBug {
    /// No bug is injected.
    #[default]
    None,
    /// The leader grants leases for the new version as soon as the change is proposed.
    EarlyActivation,
    /// The leader answers polls without having a majority confirm its leadership.
    UnconfirmedLeader,
    /// A voter acknowledges a write before the data is synced to disk.
    VoteBeforeSync,
    /// A member that was disconnected keeps admitting requests under its old version after its lease has expired.
    NoCatchUp,
    /// The leader activates a change without waiting for the long leases to expire.
    NoWait,
    /// Admission uses a clock reading from the start of the event loop iteration instead of a current one.
    StaleClock,
}
