//! Conversions between milliseconds and the protobuf `Duration` message.

use envoy_types::pb::google::protobuf::Duration;

/// Converts milliseconds to a protobuf `Duration`, rounded to whole milliseconds; negative values become 0.
pub fn duration(ms: f64) -> Duration {
    let ms = ms.clamp(0.0, 1e12).round() as i64;
    Duration { seconds: ms / 1000, nanos: (ms % 1000) as i32 * 1_000_000 }
}

/// Converts a protobuf `Duration` to milliseconds.
pub fn millis(duration: &Duration) -> f64 {
    duration.seconds as f64 * 1000.0 + f64::from(duration.nanos) / 1e6
}
