//! Validation of the settings of a gateway.

use super::{ClassSettings, Settings};
use crate::Micros;

/// An invalid setting, named by its path.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum SettingsError {
    /// A list that needs at least one entry is empty.
    #[error("setting {setting} is empty; it needs at least one entry")]
    Empty {
        /// Path of the setting.
        setting: String,
    },
    /// A value that must be greater than zero is zero.
    #[error("setting {setting} is 0; it must be greater than 0")]
    Zero {
        /// Path of the setting.
        setting: String,
    },
    /// A number is negative, infinite or NaN.
    #[error("setting {setting} is {value}; it must be finite and not negative")]
    InvalidQuantity {
        /// Path of the setting.
        setting: String,
        /// The rejected value.
        value: f64,
    },
}

impl SettingsError {
    /// Path of the invalid setting.
    pub fn setting(&self) -> &str {
        match self {
            SettingsError::Empty { setting }
            | SettingsError::Zero { setting }
            | SettingsError::InvalidQuantity { setting, .. } => setting,
        }
    }
}

/// Returns an error unless the value is finite and not negative.
fn check_quantity(setting: &str, value: f64) -> Result<(), SettingsError> {
    if value.is_finite() && value >= 0.0 {
        Ok(())
    } else {
        Err(SettingsError::InvalidQuantity {
            setting: setting.to_owned(),
            value,
        })
    }
}

fn check_class(index: usize, class: &ClassSettings) -> Result<(), SettingsError> {
    check_quantity(
        &format!("classes[{index}].aim_stretch"),
        class.objective_stretch,
    )?;
    check_quantity(&format!("classes[{index}].worth"), class.priority_weight)?;
    check_quantity(&format!("classes[{index}].late_worth"), class.late_weight)?;
    check_quantity(&format!("classes[{index}].threads"), class.threads)?;
    if class.deadline == Micros(0) {
        return Err(SettingsError::Zero {
            setting: format!("classes[{index}].deadline"),
        });
    }
    Ok(())
}

impl Settings {
    /// Checks that the settings are valid.
    ///
    /// # Errors
    ///
    /// Returns an error for the first invalid setting, with its path.
    pub fn check(&self) -> Result<(), SettingsError> {
        if self.classes.is_empty() {
            return Err(SettingsError::Empty {
                setting: "classes".to_owned(),
            });
        }
        if self.gateways == 0 {
            return Err(SettingsError::Zero {
                setting: "gateways".to_owned(),
            });
        }
        for (index, class) in self.classes.iter().enumerate() {
            check_class(index, class)?;
        }
        for (index, kind) in self.kinds.iter().enumerate() {
            check_quantity(&format!("kinds[{index}].cores"), kind.cores.unwrap_or(0.0))?;
            check_quantity(
                &format!("kinds[{index}].memory_mb"),
                kind.memory_mb.unwrap_or(0.0),
            )?;
        }
        for (index, tenant) in self.tenants.iter().enumerate() {
            let quota_per_s = tenant.quota_per_s.unwrap_or(0.0);
            check_quantity(&format!("tenants[{index}].quota_per_s"), quota_per_s)?;
        }
        self.check_limits()
    }

    fn check_limits(&self) -> Result<(), SettingsError> {
        check_quantity("over_share_worth", self.over_quota_weight)?;
        check_quantity("largest_grant", self.largest_grant)?;
        if let Some(budget) = self.retry_budget {
            check_quantity("budget.free", budget.free)?;
            check_quantity("budget.per_request", budget.per_request)?;
        }
        if let Some(slow_start) = self.slow_start {
            check_quantity("cold.start_share", slow_start.start_share)?;
            check_quantity("cold.fall_multiple", slow_start.fall_multiple)?;
        }
        Ok(())
    }
}
