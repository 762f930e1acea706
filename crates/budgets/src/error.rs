//! What can be wrong with a budget in a policy.

use thiserror::Error;

/// A budget block that can't be used. The text says what is wrong with [`BudgetError::key`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum BudgetError {
    /// The name is empty, too long or not unique, or there are too many budgets.
    #[error("is empty, too long, one too many or stands twice")]
    Name,
    /// `limits` is missing or names no resource.
    #[error("is nothing that a budget limits")]
    UnknownResource,
    /// An account or a class where the resource has none.
    #[error("is of engines, not of an account or a class")]
    HasNoAccountOrClass,
    /// Figures of a concurrency limit in a rate.
    #[error("is for what is held at once; this is a rate")]
    ConcurrencyKeyInRate,
    /// `rate` is missing.
    #[error("is missing")]
    MissingRate,
    /// Figures where the settings have them.
    #[error("is all that cold engines bear, as the settings say")]
    AmountIsFixed,
    /// Figures of a rate in a concurrency limit.
    #[error("is for what comes in; this is held at once")]
    RateKeyInConcurrency,
    /// `most` is missing.
    #[error("is missing")]
    MissingMost,
    /// `longest` is missing.
    #[error("is missing")]
    MissingLongest,
    /// `floor_among` is missing.
    #[error("is missing")]
    MissingFloorAmong,
    /// More than half is reserved.
    #[error("is over 50%")]
    FloorTooLarge,
    /// A floor that comes to no whole unit.
    #[error("gives each front end less than one")]
    FloorTooSmall,
}

impl BudgetError {
    /// The key of the block that is wrong; empty for the block itself.
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

    /// What to do about it.
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
