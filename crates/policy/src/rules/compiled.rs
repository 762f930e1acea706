//! A policy indexed for lookups during admission.

use crate::document::{ClassRule, Policy};

/// A policy whose class rules are indexed by the class numbers of a front end.
#[derive(Clone, Debug, Default)]
pub struct CompiledPolicy {
    policy: Policy,
    class_rules: Vec<Option<ClassRule>>,
}

impl CompiledPolicy {
    /// Compiles a policy for a front end. `classes` lists the class names in the order of their class numbers.
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

    /// The policy as parsed from its document.
    pub fn policy(&self) -> &Policy {
        &self.policy
    }

    /// The rule for a class number; `None` if the policy does not restrict that class.
    pub fn class_rule(&self, class: usize) -> Option<&ClassRule> {
        self.class_rules.get(class)?.as_ref()
    }

    /// Whether the policy excludes an engine from new requests, either by the engine's id or by the weight of its zone.
    pub fn excludes(&self, engine: &str, zone: &str) -> bool {
        if self.policy.excluded_engines.contains(engine) {
            return true;
        }
        // The hash depends on the engine id alone, so all front ends exclude the same engines, and raising a weight
        // only adds engines.
        let weight = self.policy.zones.get(zone).copied().unwrap_or(1.0);
        weight < 1.0 && unit_hash(engine) >= weight
    }
}

/// Hashes an engine id to a number from 0 (inclusive) to 1 (exclusive): FNV-1a, then the finalizer of SplitMix64.
///
/// The result must be the same at all front ends; otherwise they would exclude different engines of a zone.
fn unit_hash(id: &str) -> f64 {
    let fnv = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    let mut hash = id.bytes().fold(0xcbf2_9ce4_8422_2325_u64, fnv);
    hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    ((hash ^ (hash >> 31)) >> 11) as f64 / (1u64 << 53) as f64
}
