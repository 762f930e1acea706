//! Reading JSON with simd-json: a value, and its members by name.

pub use simd_json::prelude::{ValueAsArray, ValueAsObject, ValueAsScalar, ValueObjectAccess};
pub use simd_json::{OwnedValue, StaticNode};

/// Nested deeper than this, a text is taken for malformed: the reader must not run out of stack.
const DEPTH_MOST: usize = 64;

/// Reads a whole text; the bytes are used up by the reading.
pub fn read(mut text: Vec<u8>) -> Result<OwnedValue, String> {
    let (mut depth, mut in_string, mut escaped) = (0usize, false, false);
    for byte in &text {
        match (in_string, *byte) {
            (true, _) if escaped => escaped = false,
            (true, b'\\') => escaped = true,
            (true, b'"') => in_string = false,
            (false, b'"') => in_string = true,
            (false, b'{' | b'[') => depth += 1,
            (false, b'}' | b']') => depth = depth.saturating_sub(1),
            _ => {}
        }
        if depth > DEPTH_MOST {
            return Err(format!("is nested deeper than {DEPTH_MOST}"));
        }
    }
    simd_json::to_owned_value(&mut text).map_err(|e| format!("is not JSON: {e}"))
}

/// A number, whole or not.
pub fn number(value: &OwnedValue) -> Option<f64> {
    value.cast_f64().filter(|v| v.is_finite())
}

/// Text as a JSON string, quotes included.
pub fn quoted(text: &str) -> String {
    let mut out = String::with_capacity(text.len() + 2);
    out.push('"');
    for c in text.chars() {
        match c {
            '"' => out.push_str("\\\""),
            '\\' => out.push_str("\\\\"),
            c if (c as u32) < 0x20 => out.push_str(&format!("\\u{:04x}", c as u32)),
            c => out.push(c),
        }
    }
    out.push('"');
    out
}
