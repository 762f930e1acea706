//! A policy made ready for looking up.

use crate::document::{ClassRule, Policy};

/// A policy with its classes by number, as the front end counts them.
#[derive(Clone, Debug, Default)]
pub struct CompiledPolicy {
    policy: Policy,
    class_rules: Vec<Option<ClassRule>>,
}

impl CompiledPolicy {
    /// A policy for a front end with these classes.
    pub fn new(policy: Policy, classes: &[String]) -> CompiledPolicy {
        let class_rules = classes
            .iter()
            .map(|name| policy.classes.get(name).cloned())
            .collect();
        CompiledPolicy {
            policy,
            class_rules,
        }
    }

    /// The policy itself.
    pub fn policy(&self) -> &Policy {
        &self.policy
    }

    /// The rule of a class, if the policy has one.
    pub fn class_rule(&self, class: usize) -> Option<&ClassRule> {
        self.class_rules.get(class)?.as_ref()
    }

    /// Whether an engine gets no new requests.
    pub fn excludes(&self, engine: &str, zone: &str) -> bool {
        if self.policy.excluded_engines.contains(engine) {
            return true;
        }
        // The same engines at every front end, and those that a lower weight keeps are kept by a higher one.
        let weight = self.policy.zones.get(zone).copied().unwrap_or(1.0);
        weight < 1.0 && unit_hash(engine) >= weight
    }
}

/// Deterministic hash of an engine's id, from 0 to 1: FNV-1a, then the finalizer of SplitMix64. All front ends must
/// agree on it.
fn unit_hash(id: &str) -> f64 {
    let fnv = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    let mut hash = id.bytes().fold(0xcbf2_9ce4_8422_2325_u64, fnv);
    hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    ((hash ^ (hash >> 31)) >> 11) as f64 / (1u64 << 53) as f64
}
