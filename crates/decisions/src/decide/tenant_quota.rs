//! Quotas of tenants: a request over its tenant's share keeps only a part of its priority weight.

use super::Gateway;
use crate::state::decay::remaining;
use crate::Micros;

/// Time over which a tenant's rate is taken, in milliseconds.
const TENANT_RATE_MS: f64 = 5000.0;

impl Gateway {
    /// Counts a request of a tenant; returns whether the tenant is over its quota with it, all
    /// gateways together.
    pub(super) fn count_tenant(&mut self, name: Option<&str>) -> bool {
        let Some(tenant) = self
            .settings
            .tenants
            .iter()
            .find(|tenant| Some(&*tenant.name) == name)
        else {
            return false;
        };
        let requests = self.tenants.count(&tenant.name) * f64::from(self.settings.gateways);
        let quota = tenant.quota_per_s.unwrap_or(f64::INFINITY) * TENANT_RATE_MS / 1000.0;
        requests > quota
    }

    pub(super) fn decay_tenant_counts(&mut self, elapsed: Micros) {
        self.tenants
            .decay(remaining(elapsed, TENANT_RATE_MS * std::f64::consts::LN_2));
    }
}
