//! Names and ids that a fleet accepts.

/// Longest name or id, in bytes.
pub const MAX_NAME_LENGTH: usize = 64;

/// Whether a name or an id is accepted: 1 to [`MAX_NAME_LENGTH`] ASCII letters, digits, `-`, `_`, `.` and `:`.
pub fn is_valid_name(name: &str) -> bool {
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.' | ':');
    !name.is_empty() && name.len() <= MAX_NAME_LENGTH && name.chars().all(is_allowed)
}
