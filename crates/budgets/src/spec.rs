//! A budget as the fleet agrees on it.

use crate::{Share, FULL_SHARE};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// What a budget limits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Resource {
    /// Requests that arrive: a rate.
    Requests,
    /// Attempts beyond a request's first: a rate, beside each front end's own retry budget.
    Retries,
    /// Requests in flight: a concurrency limit.
    OpenRequests,
    /// Connections to each engine: a concurrency limit, divided alike for all engines.
    Connections,
    /// The load that an engine which warms up bears, as the settings state it: divided among the front ends present.
    WarmingEngines,
}

/// How much a budget allows.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum Amount {
    /// A token bucket.
    Rate {
        /// Tokens per second.
        per_second: f64,
        /// Size of the bucket, in tokens.
        burst: u64,
    },
    /// A limit on units in use at the same time.
    Concurrency {
        /// Most units in use.
        max: u64,
        /// Longest time that one unit is in use, in milliseconds.
        max_duration_ms: f64,
    },
}

/// A budget of the whole fleet.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BudgetSpec {
    /// Its name.
    pub name: String,
    /// What it limits.
    pub resource: Resource,
    /// Limits only this account; all of them if none is named.
    pub account: Option<String>,
    /// Limits only this class; all of them if none is named.
    pub class: Option<String>,
    /// How much it allows.
    pub amount: Amount,
    /// Fraction, from 0 to 1, reserved in equal floors for members that can't reach a leader.
    pub floor: f64,
    /// How many members the floors are reserved for.
    pub max_members: u64,
    /// Weights by member or by zone; 1 where none is given.
    pub weights: BTreeMap<String, f64>,
}

impl BudgetSpec {
    /// The units that it is divided in: the size of the bucket, or the most units in use.
    pub fn total_units(&self) -> u64 {
        match self.amount {
            Amount::Rate { burst, .. } => burst,
            Amount::Concurrency { max, .. } => max,
        }
    }

    /// The floor of one member.
    pub fn floor_share(&self) -> Share {
        if self.max_members == 0 {
            return Share::ZERO;
        }
        let parts =
            self.floor.clamp(0.0, 1.0) * FULL_SHARE.parts() as f64 / self.max_members as f64;
        Share::from_parts(parts as u64)
    }

    /// What is left beside all floors, to be divided by demand.
    pub fn allocatable_share(&self) -> Share {
        Share::from_parts(FULL_SHARE.parts() - self.floor_share().parts() * self.max_members)
    }

    /// How long something may be in use after the share that admitted it has expired, in milliseconds.
    pub fn outlives_share_ms(&self) -> f64 {
        match self.amount {
            Amount::Rate { .. } => 0.0,
            Amount::Concurrency {
                max_duration_ms, ..
            } => max_duration_ms,
        }
    }

    /// The weight of a member.
    pub fn weight(&self, member: &str, zone: &str) -> f64 {
        let weight = self.weights.get(member).or(self.weights.get(zone));
        weight.copied().unwrap_or(1.0)
    }

    /// Whether it limits requests of this class and account.
    pub fn applies_to(&self, class: &str, account: Option<&str>) -> bool {
        let class_fits = self.class.as_deref().is_none_or(|name| name == class);
        class_fits
            && self
                .account
                .as_deref()
                .is_none_or(|name| Some(name) == account)
    }

    /// Whether it limits the same thing in the same form as `other`, whatever the figures.
    pub fn limits_same(&self, other: &BudgetSpec) -> bool {
        let is_rate = |spec: &BudgetSpec| matches!(spec.amount, Amount::Rate { .. });
        self.resource == other.resource
            && is_rate(self) == is_rate(other)
            && self.account == other.account
            && self.class == other.class
            && self.floor_share() == other.floor_share()
            && self.max_members == other.max_members
    }

    /// What it limits in a line, for operators and for a comparison of two policies.
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
