//! Refuses settings that make no sense.

use super::{ClassSettings, Settings};
use crate::Micros;

/// A setting that makes no sense, by its path.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum SettingsError {
    /// A list that needs an entry has none.
    #[error("setting {setting} is empty")]
    Empty {
        /// Path of the setting.
        setting: String,
    },
    /// A figure that must not be zero is.
    #[error("setting {setting} is 0")]
    Zero {
        /// Path of the setting.
        setting: String,
    },
    /// A figure is negative or not finite.
    #[error("setting {setting} is {value}")]
    NotAQuantity {
        /// Path of the setting.
        setting: String,
        /// The figure.
        value: f64,
    },
}

impl SettingsError {
    /// Path of the setting.
    pub fn setting(&self) -> &str {
        match self {
            SettingsError::Empty { setting }
            | SettingsError::Zero { setting }
            | SettingsError::NotAQuantity { setting, .. } => setting,
        }
    }
}

/// Accepts a figure that is finite and not negative.
fn check_quantity(setting: &str, value: f64) -> Result<(), SettingsError> {
    if value.is_finite() && value >= 0.0 {
        Ok(())
    } else {
        Err(SettingsError::NotAQuantity {
            setting: setting.to_owned(),
            value,
        })
    }
}

fn check_class(place: usize, class: &ClassSettings) -> Result<(), SettingsError> {
    check_quantity(
        &format!("classes[{place}].aim_stretch"),
        class.objective_stretch,
    )?;
    check_quantity(&format!("classes[{place}].worth"), class.priority_weight)?;
    check_quantity(&format!("classes[{place}].late_worth"), class.late_weight)?;
    check_quantity(&format!("classes[{place}].threads"), class.threads)?;
    if class.deadline == Micros(0) {
        return Err(SettingsError::Zero {
            setting: format!("classes[{place}].deadline"),
        });
    }
    Ok(())
}

impl Settings {
    /// Checks that the settings make sense.
    ///
    /// # Errors
    ///
    /// The first setting that does not, by its path.
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
        for (place, class) in self.classes.iter().enumerate() {
            check_class(place, class)?;
        }
        for (place, kind) in self.kinds.iter().enumerate() {
            check_quantity(&format!("kinds[{place}].cores"), kind.cores.unwrap_or(0.0))?;
            check_quantity(
                &format!("kinds[{place}].memory_mb"),
                kind.memory_mb.unwrap_or(0.0),
            )?;
        }
        for (place, tenant) in self.tenants.iter().enumerate() {
            let quota_per_s = tenant.quota_per_s.unwrap_or(0.0);
            check_quantity(&format!("tenants[{place}].quota_per_s"), quota_per_s)?;
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
