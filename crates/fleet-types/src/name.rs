//! Validation of names and ids in a fleet.

/// Maximum length of a name or an id, in bytes.
pub const MAX_NAME_LENGTH: usize = 64;

/// Whether a name or an id is valid: it consists of 1 to [`MAX_NAME_LENGTH`] ASCII letters, digits,
/// `-`, `_`, `.` and `:`.
pub fn is_valid_name(name: &str) -> bool {
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.' | ':');
    !name.is_empty() && name.len() <= MAX_NAME_LENGTH && name.chars().all(is_allowed)
}
