//! Tenant quotas: a request of a tenant over its quota gets a reduced priority weight.

use super::Gateway;
use crate::state::decay::remaining;
use crate::Micros;

/// Time constant of the average over which a tenant's request rate is calculated, in milliseconds.
const TENANT_RATE_WINDOW_MS: f64 = 5000.0;

impl Gateway {
    /// Counts a request of a tenant and returns whether that puts the tenant over its quota. The
    /// quota applies to all gateways together; the request rate at the other gateways is assumed to
    /// equal the local rate.
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
        let quota = tenant.quota_per_s.unwrap_or(f64::INFINITY) * TENANT_RATE_WINDOW_MS / 1000.0;
        requests > quota
    }

    pub(super) fn decay_tenant_counts(&mut self, elapsed: Micros) {
        self.tenants.decay(remaining(
            elapsed,
            TENANT_RATE_WINDOW_MS * std::f64::consts::LN_2,
        ));
    }
}
