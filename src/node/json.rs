//! JSON parsing with simd-json, with a limit on nesting, and escaping of JSON strings.

pub use simd_json::prelude::{ValueAsArray, ValueAsObject, ValueAsScalar, ValueObjectAccess};
pub use simd_json::{OwnedValue, StaticNode};

/// Maximum nesting depth of objects and arrays. Deeper input is rejected, because parsing is recursive and could
/// overflow the stack.
const MAX_DEPTH: usize = 64;

/// Parses a complete JSON document. Consumes the buffer, because simd-json parses in place.
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
        if depth > MAX_DEPTH {
            return Err(format!("is nested deeper than {MAX_DEPTH}"));
        }
    }
    simd_json::to_owned_value(&mut text).map_err(|e| format!("is not JSON: {e}"))
}

/// Returns a JSON number, integer or floating point; `None` if the value is not a finite number.
pub fn number(value: &OwnedValue) -> Option<f64> {
    value.cast_f64().filter(|v| v.is_finite())
}

/// Encodes a text as a JSON string literal, including the quotation marks.
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
