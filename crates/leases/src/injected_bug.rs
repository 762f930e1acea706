//! Bugs that tests switch on.

/// A bug that is switched on to show that the tests find it. Never set outside of tests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum InjectedBug {
    /// None.
    #[default]
    None,
    /// A leader ends a lease as soon as its bare length is over, and holders leave no safety
    /// margin.
    NoMargin,
    /// A new leader does not wait for leases that the leader before it may have renewed.
    NoWait,
    /// A step is acted on before its beginning is committed.
    ActFirst,
    /// A lease that was given up counts as held until the holder hears of its end.
    HoldsOn,
}
