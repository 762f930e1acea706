//! Parses numbers with units, such as `"500 ms"`, `"64 MiB"` and `"80%"`. A number without a unit is rejected, as its
//! unit would be ambiguous.

/// An error in a number with a unit, and a suggested correction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Wrong {
    /// The description of the error.
    pub problem: String,
    /// The suggested correction.
    pub fix: String,
}

/// The units of time with their length in milliseconds.
const TIMES: [(&str, f64); 5] =
    [("us", 0.001), ("ms", 1.0), ("s", 1_000.0), ("min", 60_000.0), ("h", 3_600_000.0)];
/// The units of size with their size in MiB (2^20 bytes).
const SIZES: [(&str, f64); 4] =
    [("B", 1.0 / 1_048_576.0), ("KiB", 1.0 / 1_024.0), ("MiB", 1.0), ("GiB", 1_024.0)];

/// Parses a duration such as `"1.5 s"` and returns milliseconds.
pub fn duration_ms(text: &str) -> Result<f64, Wrong> {
    figure(text, &TIMES, "500 ms")
}

/// Parses a size such as `"64 MiB"` and returns MiB (2^20 bytes).
pub fn size_mb(text: &str) -> Result<f64, Wrong> {
    figure(text, &SIZES, "64 MiB")
}

/// Parses a percentage such as `"80%"` and returns a fraction from 0 to 1.
pub fn share(text: &str) -> Result<f64, Wrong> {
    let share = figure(text, &[("%", 0.01)], "50%")?;
    if share > 1.0 {
        let problem = format!("is \"{}\", more than all", shown(text));
        return Err(Wrong { problem, fix: "write \"0%\" to \"100%\"".to_owned() });
    }
    Ok(share)
}

fn figure(text: &str, units: &[(&str, f64)], example: &str) -> Result<f64, Wrong> {
    let text = text.trim();
    let end = text.find(|c: char| !(c.is_ascii_digit() || c == '.')).unwrap_or(text.len());
    let (number, unit) = (&text[..end], text[end..].trim_start());
    let names = || units.iter().map(|(name, _)| *name).collect::<Vec<_>>().join(", ");
    let wrong = |problem: String| Wrong {
        problem,
        fix: format!("write for example \"{example}\" (units: {})", names()),
    };
    let Some(number) = number.parse::<f64>().ok().filter(|n| n.is_finite()) else {
        return Err(wrong(format!("is \"{}\", which begins with no number", shown(text))));
    };
    if unit.is_empty() {
        return Err(wrong(format!("is \"{}\" without a unit", shown(text))));
    }
    match units.iter().find(|(name, _)| *name == unit) {
        Some((_, factor)) => Ok(number * factor),
        None => {
            // The most common mistake is the wrong letter case, so a matching unit in another case is suggested.
            let near = units.iter().find(|(name, _)| name.eq_ignore_ascii_case(unit));
            let mut wrong = wrong(format!("has the unknown unit \"{}\"", shown(unit)));
            if let Some((name, _)) = near {
                wrong.fix = format!("write \"{number} {name}\"");
            }
            Err(wrong)
        }
    }
}

fn shown(text: &str) -> String {
    text.chars().take(40).collect()
}
