//! Definition of a budget, as agreed on by the fleet in a policy version.

use crate::{Share, FULL_SHARE};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The resource that a budget limits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Resource {
    /// Arriving requests, limited by a rate.
    Requests,
    /// Retries, that is attempts after the first of a request, limited
    /// by a rate in addition to each front end's own retry budget.
    Retries,
    /// Requests in flight, limited by a concurrency limit.
    OpenRequests,
    /// Connections to one engine, limited by a concurrency limit. Every engine has the same limit, and the limits of
    /// all engines are divided among the members in the same proportions.
    Connections,
    /// Load on engines that are warming up. The settings define how much load a warming engine accepts; the budget
    /// divides this load among the front ends that are present.
    WarmingEngines,
}

/// The amount that a budget allows.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum Amount {
    /// A rate, enforced by token buckets.
    Rate {
        /// Tokens per second.
        per_second: f64,
        /// Size of the bucket, in tokens.
        burst: u64,
    },
    /// A limit on units in use at the same time.
    Concurrency {
        /// Largest number of units in use at the same time, over all members.
        max: u64,
        /// Longest time for which one unit stays in use, in milliseconds. The leader counts the units of a dead member
        /// for this long after the member's share has expired.
        max_duration_ms: f64,
    },
}

/// A budget of the whole fleet, which the leader divides among the members.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BudgetSpec {
    /// Name of the budget, unique within a policy.
    pub name: String,
    /// The resource that the budget limits.
    pub resource: Resource,
    /// The account that the budget applies to; `None` for all accounts.
    pub account: Option<String>,
    /// The request class that the budget applies to; `None` for all classes.
    pub class: Option<String>,
    /// The amount that the budget allows.
    pub amount: Amount,
    /// Fraction of the budget, from 0 to 1, that is reserved in equal floors. A member that can't reach a leader admits
    /// requests under its floor until its admission lease expires.
    pub floor: f64,
    /// Number of members that floors are reserved for; 0 if the budget has no floors.
    pub max_members: u64,
    /// Allocation weights by name of a member or of a zone; the weight is 1 where none is given.
    pub weights: BTreeMap<String, f64>,
}

impl BudgetSpec {
    /// Number of units that are divided among the members: the
    /// bucket size of a rate, or the maximum of a concurrency limit.
    pub fn total_units(&self) -> u64 {
        match self.amount {
            Amount::Rate { burst, .. } => burst,
            Amount::Concurrency { max, .. } => max,
        }
    }

    /// The floor of one member, as a share of the budget.
    pub fn floor_share(&self) -> Share {
        if self.max_members == 0 {
            return Share::ZERO;
        }
        let parts =
            self.floor.clamp(0.0, 1.0) * FULL_SHARE.parts() as f64 / self.max_members as f64;
        Share::from_parts(parts as u64)
    }

    /// The part of the budget that is not reserved for floors and is allocated by demand.
    pub fn allocatable_share(&self) -> Share {
        Share::from_parts(FULL_SHARE.parts() - self.floor_share().parts() * self.max_members)
    }

    /// Longest time in milliseconds for which a unit may stay in use after the share under which it was admitted has
    /// expired. 0 for a rate, whose tokens are consumed at admission.
    pub fn outlives_share_ms(&self) -> f64 {
        match self.amount {
            Amount::Rate { .. } => 0.0,
            Amount::Concurrency {
                max_duration_ms, ..
            } => max_duration_ms,
        }
    }

    /// The allocation weight of a member: the weight under the member's name, else that of its zone, else 1.
    pub fn weight(&self, member: &str, zone: &str) -> f64 {
        let weight = self.weights.get(member).or(self.weights.get(zone));
        weight.copied().unwrap_or(1.0)
    }

    /// Whether the budget applies to requests of this class and account.
    pub fn applies_to(&self, class: &str, account: Option<&str>) -> bool {
        let class_fits = self.class.as_deref().is_none_or(|name| name == class);
        class_fits
            && self
                .account
                .as_deref()
                .is_none_or(|name| Some(name) == account)
    }

    /// Whether shares of this budget are also valid for `other`: both limit the same resource, account and class by the
    /// same kind of amount and have equal floors. The amounts may differ, because shares are fractions.
    pub fn limits_same(&self, other: &BudgetSpec) -> bool {
        let is_rate = |spec: &BudgetSpec| matches!(spec.amount, Amount::Rate { .. });
        self.resource == other.resource
            && is_rate(self) == is_rate(other)
            && self.account == other.account
            && self.class == other.class
            && self.floor_share() == other.floor_share()
            && self.max_members == other.max_members
    }

    /// One-line description of the budget, shown to operators and in a comparison of two policies.
    pub fn description(&self) -> String {
        let resource = match self.resource {
            Resource::Requests => "requests",
            Resource::Retries => "further attempts",
            Resource::OpenRequests => "open requests",
            Resource::Connections => "connections to each engine",
            Resource::WarmingEngines => {
                return "what cold engines bear, among those that are there".to_owned()
            }
        };
        let account = describe_filter("account", self.account.as_deref());
        let class = describe_filter("class", self.class.as_deref());
        let amount = self.amount.description();
        let mut text = format!("{resource}{account}{class}: {amount}");
        if self.floor > 0.0 {
            let percent = self.floor * 100.0;
            text.push_str(&format!(
                ", {percent}% set aside among {}",
                self.max_members
            ));
        }
        for (name, weight) in &self.weights {
            text.push_str(&format!(", weight of {name} {weight}"));
        }
        text
    }
}

impl Amount {
    fn description(&self) -> String {
        match self {
            Amount::Rate { per_second, burst } => format!("{per_second} a second, {burst} at once"),
            Amount::Concurrency {
                max,
                max_duration_ms,
            } => {
                format!("{max} at a time, each {max_duration_ms} ms at most")
            }
        }
    }
}

fn describe_filter(kind: &str, name: Option<&str>) -> String {
    name.map(|name| format!(" of {kind} {name}"))
        .unwrap_or_default()
}
