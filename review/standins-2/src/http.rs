//! The little HTTP that the cases speak.

use std::io::Read;
use std::net::TcpStream;
use std::time::Duration;

/// Reads one message with a `Content-Length`: its head and its body.
pub fn read_message(stream: &mut TcpStream) -> Option<(String, String)> {
    let _ = stream.set_read_timeout(Some(Duration::from_secs(3)));
    let mut input = Vec::new();
    loop {
        let text = String::from_utf8_lossy(&input).into_owned();
        if let Some(end) = text.find("\r\n\r\n") {
            let head = text[..end].to_ascii_lowercase();
            let length = head
                .lines()
                .find_map(|l| l.strip_prefix("content-length:"))
                .map_or(0, |v| v.trim().parse().unwrap_or(0));
            if input.len() >= end + 4 + length || head.starts_with("http/1.1 304") {
                return Some((text[..end].to_owned(), text[end + 4..].to_owned()));
            }
        }
        let mut chunk = [0; 4096];
        match stream.read(&mut chunk) {
            Ok(n) if n > 0 => input.extend_from_slice(&chunk[..n]),
            _ => return None,
        }
    }
}
