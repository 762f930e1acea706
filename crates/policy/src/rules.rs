//! What a policy says of a request and of an engine. It narrows what the decision module is offered; the module still
//! picks, retries and refuses.

use crate::document::Policy;
use std::collections::HashMap;

const SHARE_MS: f64 = 5000.0; // over which an account's share is taken: long against a burst of one branch
const SHARE_LEAST: f64 = 20.0; // requests that must have come before a share binds: fewer say nothing

/// Why a request is not admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum No {
    /// Its class is refused.
    Class,
    /// Its class has had its requests of this second.
    Rate,
    /// Its account has had its share.
    Share,
    /// As many are open as may be.
    Open,
}

/// What a request that is admitted is bound to for the rest of its life.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Terms {
    /// Attempts at most.
    pub attempts: Option<u32>,
    /// Time from when the client sent it, in milliseconds, at most.
    pub deadline_ms: Option<f64>,
}

/// A policy made ready for looking up: classes by number, as the front end counts them.
#[derive(Clone, Debug, Default)]
pub struct Ruling {
    policy: Policy,
    classes: Vec<Option<crate::document::ClassRule>>,
}

impl Ruling {
    /// A ruling for a front end with these classes.
    pub fn new(policy: Policy, classes: &[String]) -> Ruling {
        let classes = classes.iter().map(|name| policy.classes.get(name).cloned()).collect();
        Ruling { policy, classes }
    }

    /// Whether an engine gets nothing new.
    pub fn leaves_out(&self, engine: &str, zone: &str) -> bool {
        if self.policy.left_out.contains(engine) {
            return true;
        }
        // The same engines at every front end, and those that a lower weight keeps are kept by a higher one.
        let part = self.policy.zones.get(zone).copied().unwrap_or(1.0);
        part < 1.0 && lot(engine) >= part
    }

    /// The policy itself.
    pub fn policy(&self) -> &Policy {
        &self.policy
    }
}

/// A number from 0 to 1 that belongs to an engine's id.
fn lot(id: &str) -> f64 {
    let mut h =
        id.bytes().fold(0xcbf2_9ce4_8422_2325_u64, |h, b| (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3));
    h = (h ^ (h >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    h = (h ^ (h >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    ((h ^ (h >> 31)) >> 11) as f64 / (1u64 << 53) as f64
}

/// What has been admitted lately, for rates and shares. Kept over a change of policy.
#[derive(Clone, Debug, Default)]
pub struct Meter {
    /// By class: what is left of the allowance, and when it was last filled.
    allowances: HashMap<usize, (f64, f64)>,
    /// Admitted by account, and asked for by all.
    accounts: HashMap<String, f64>,
    all: f64,
    faded: f64,
}

impl Meter {
    /// Whether a request may come in now; if so it is counted. `open` is how many are open.
    pub fn admit(
        &mut self,
        now: f64,
        ruling: &Ruling,
        class: usize,
        account: Option<&str>,
        open: usize,
    ) -> Result<Terms, No> {
        let rule = ruling.classes.get(class).and_then(Option::as_ref);
        if rule.is_some_and(|rule| rule.refused) {
            return Err(No::Class);
        }
        if ruling.policy.open_most.is_some_and(|most| open >= most) {
            return Err(No::Open);
        }
        self.fade(now);
        // Of all that asks, admitted or not: an account that is alone keeps its share of its own.
        self.all += 1.0;
        let share = account.and_then(|account| ruling.policy.accounts.get(account));
        if let (Some(share), Some(account)) = (share, account) {
            let own = self.accounts.get(account).copied().unwrap_or(0.0);
            let over = self.all >= SHARE_LEAST && own + 1.0 > share * self.all;
            if *share <= 0.0 || over {
                return Err(No::Share);
            }
        }
        if let Some(rate) = rule.and_then(|rule| rule.rate) {
            // A second's worth may come at once, one at least where any are allowed.
            let most = if rate > 0.0 { rate.max(1.0) } else { 0.0 };
            let (left, at) = self.allowances.get(&class).copied().unwrap_or((most, now));
            let left = (left + rate * (now - at).max(0.0) / 1000.0).min(most);
            self.allowances.insert(class, (if left >= 1.0 { left - 1.0 } else { left }, now));
            if left < 1.0 {
                return Err(No::Rate);
            }
        }
        // Accounts are those of the settings: their number is bounded there.
        if let Some(account) = account {
            *self.accounts.entry(account.to_owned()).or_default() += 1.0;
        }
        let rule = rule.cloned().unwrap_or_default();
        Ok(Terms { attempts: rule.attempts, deadline_ms: rule.deadline_ms })
    }

    fn fade(&mut self, now: f64) {
        let part = (-(now - self.faded).max(0.0) / SHARE_MS).exp();
        self.faded = now;
        self.all *= part;
        self.accounts.values_mut().for_each(|n| *n *= part);
    }
}
