//! Validation errors of a budget in a policy.

use thiserror::Error;

/// An invalid `budget` block. The message is a predicate whose subject is the key that [`BudgetError::key`] returns.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum BudgetError {
    /// The name is empty, too long or not unique, or the policy has too many budgets.
    #[error("is empty, too long, one too many or stands twice")]
    Name,
    /// `limits` is missing or does not name a known resource.
    #[error("is nothing that a budget limits")]
    UnknownResource,
    /// `account` or `class` is given, but the resource is limited per engine and belongs to no account or class.
    #[error("is of engines, not of an account or a class")]
    HasNoAccountOrClass,
    /// `most` or `longest`, keys of a concurrency limit, is given in a budget that limits a rate.
    #[error("is for what is held at once; this is a rate")]
    ConcurrencyKeyInRate,
    /// `rate` is missing in a budget that limits a rate.
    #[error("is missing")]
    MissingRate,
    /// An amount is given for warming engines, whose limits come from the settings of the front ends.
    #[error("is all that cold engines bear, as the settings say")]
    AmountIsFixed,
    /// `rate` or `burst`, keys of a rate, is given in a budget that limits concurrency.
    #[error("is for what comes in; this is held at once")]
    RateKeyInConcurrency,
    /// `most` is missing in a budget that limits concurrency.
    #[error("is missing")]
    MissingMost,
    /// `longest` is missing in a budget that limits concurrency.
    #[error("is missing")]
    MissingLongest,
    /// `floor` is given without `floor_among`, the number of members that the floors are reserved for.
    #[error("is missing")]
    MissingFloorAmong,
    /// `floor` reserves more than half of the budget, which leaves too little to be allocated by demand.
    #[error("is over 50%")]
    FloorTooLarge,
    /// The floor of one member is less than one whole unit, so that it would admit nothing.
    #[error("gives each front end less than one")]
    FloorTooSmall,
}

impl BudgetError {
    /// The key in the `budget` block that the error refers to; empty if the error refers to the block as a whole.
    pub fn key(self) -> &'static str {
        match self {
            BudgetError::Name => "",
            BudgetError::UnknownResource
            | BudgetError::HasNoAccountOrClass
            | BudgetError::AmountIsFixed => "limits",
            BudgetError::ConcurrencyKeyInRate | BudgetError::MissingMost => "most",
            BudgetError::MissingRate | BudgetError::RateKeyInConcurrency => "rate",
            BudgetError::MissingLongest => "longest",
            BudgetError::MissingFloorAmong => "floor_among",
            BudgetError::FloorTooLarge | BudgetError::FloorTooSmall => "floor",
        }
    }

    /// Advice to the operator on how to correct the policy.
    pub fn fix(self) -> &'static str {
        match self {
            BudgetError::Name => "give each budget a name of its own",
            BudgetError::UnknownResource => {
                "write requests, further_attempts, open, connections or cold_engines"
            }
            BudgetError::HasNoAccountOrClass => "take account and class out",
            BudgetError::ConcurrencyKeyInRate => "write rate and burst",
            BudgetError::MissingRate => "write how many a second, as in `rate = 40`",
            BudgetError::AmountIsFixed => "take the figures out",
            BudgetError::RateKeyInConcurrency => "write most and longest",
            BudgetError::MissingMost => "write how many at a time, as in `most = 30`",
            BudgetError::MissingLongest => {
                "write the longest time that one is out, the longest deadline as a rule"
            }
            BudgetError::MissingFloorAmong => {
                "write the most front ends that will be there at once"
            }
            BudgetError::FloorTooLarge => {
                "what is set aside moves to nobody; leave half or more to move"
            }
            BudgetError::FloorTooSmall => "raise floor, burst or most, or lower floor_among",
        }
    }
}
