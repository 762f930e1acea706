//! Splits the input of a client into messages by their `Content-Length` headers.

use super::*;

/// Result of looking for a message at the start of the input.
pub(super) enum Frame {
    /// The message is not complete yet.
    Partial,
    /// A complete message: its length with the header in bytes, and the range of its body.
    Complete(usize, std::ops::Range<usize>),
    /// The header is invalid, so that the start of the next message is unknown.
    Invalid,
}

/// Looks for a message at the start of `bytes`. A body of more than `max_message_bytes` is invalid.
pub(super) fn split_frame(bytes: &[u8], max_message_bytes: usize) -> Frame {
    let Some(end) = bytes.windows(4).take(MAX_HEADER_BYTES).position(|w| w == b"\r\n\r\n") else {
        return if bytes.len() >= MAX_HEADER_BYTES { Frame::Invalid } else { Frame::Partial };
    };
    let Ok(head) = std::str::from_utf8(&bytes[..end]) else { return Frame::Invalid };
    let mut length = None;
    for line in head.split("\r\n") {
        let Some((name, value)) = line.split_once(':') else { return Frame::Invalid };
        if name.trim().eq_ignore_ascii_case("content-length") {
            let digits = value.trim();
            let is_decimal = !digits.is_empty() && digits.bytes().all(|b| b.is_ascii_digit());
            match digits
                .parse::<usize>()
                .ok()
                .filter(|l| is_decimal && length.is_none() && *l <= max_message_bytes)
            {
                Some(value) => length = Some(value),
                None => return Frame::Invalid,
            }
        }
    }
    let Some(length) = length else { return Frame::Invalid };
    let start = end + 4;
    if bytes.len() < start + length {
        return Frame::Partial;
    }
    Frame::Complete(start + length, start..start + length)
}
