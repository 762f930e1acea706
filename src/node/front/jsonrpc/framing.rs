//! Where one message ends and the next begins.

use super::*;

/// A message as far as the framing tells.
pub(super) enum Framed {
    /// Not whole yet.
    Part,
    /// So many bytes, with the body from here to there.
    Whole(usize, std::ops::Range<usize>),
    /// Where the next message begins can't be told.
    Lost,
}

pub(super) fn framed(bytes: &[u8], message_most: usize) -> Framed {
    let Some(end) = bytes.windows(4).take(HEAD_MOST).position(|w| w == b"\r\n\r\n") else {
        return if bytes.len() >= HEAD_MOST { Framed::Lost } else { Framed::Part };
    };
    let Ok(head) = std::str::from_utf8(&bytes[..end]) else { return Framed::Lost };
    let mut length = None;
    for line in head.split("\r\n") {
        let Some((name, value)) = line.split_once(':') else { return Framed::Lost };
        if name.trim().eq_ignore_ascii_case("content-length") {
            let digits = value.trim();
            let plain = !digits.is_empty() && digits.bytes().all(|b| b.is_ascii_digit());
            match digits.parse::<usize>().ok().filter(|l| plain && length.is_none() && *l <= message_most) {
                Some(value) => length = Some(value),
                None => return Framed::Lost,
            }
        }
    }
    let Some(length) = length else { return Framed::Lost };
    let start = end + 4;
    if bytes.len() < start + length {
        return Framed::Part;
    }
    Framed::Whole(start + length, start..start + length)
}
