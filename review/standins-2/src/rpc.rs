//! A client of the JSON-RPC front.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

pub fn base64(bytes: &[u8]) -> String {
    const SIGNS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let word = (u32::from(chunk[0]) << 16)
            | (u32::from(*chunk.get(1).unwrap_or(&0)) << 8)
            | u32::from(*chunk.get(2).unwrap_or(&0));
        for place in 0..4 {
            let sign = SIGNS[(word >> (18 - 6 * place)) as usize & 63] as char;
            out.push(if place <= chunk.len() { sign } else { '=' });
        }
    }
    out
}

/// A whole message with its head.
pub fn framed(body: &str) -> Vec<u8> {
    format!("Content-Length: {}\r\n\r\n{body}", body.len()).into_bytes()
}

pub fn alive(id: u64) -> Vec<u8> {
    framed(&format!(r#"{{"jsonrpc":"2.0","id":{id},"method":"alive"}}"#))
}

pub fn lookup(id: u64, rid: u64, budget_ms: u64) -> Vec<u8> {
    let doc = base64(b"SELECT a FROM sales_17.orders");
    framed(&format!(
        r#"{{"jsonrpc":"2.0","id":{id},"method":"lookup","params":{{"rid":"{rid:016x}","budget":{budget_ms},"acct":"leinster","est":20.0,"memory":1,"doc":"{doc}"}}}}"#
    ))
}

/// What came on a connection until an answer with `id`, the end, or the deadline.
#[derive(Debug, PartialEq)]
pub enum Got {
    Answer(String),
    Ended(String),
    Nothing(String),
}

pub fn read_answer(stream: &mut TcpStream, id: u64, until: Instant) -> Got {
    let mut input = Vec::new();
    let wanted = format!("\"id\":{id},");
    loop {
        let text = String::from_utf8_lossy(&input).into_owned();
        if let Some(at) = text.find(&wanted) {
            if text[at..].ends_with("}") {
                return Got::Answer(text);
            }
        }
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Got::Nothing(text);
        }
        let _ = stream.set_read_timeout(Some(left.max(Duration::from_millis(1))));
        let mut chunk = [0; 4096];
        match stream.read(&mut chunk) {
            Ok(0) => return Got::Ended(text),
            Ok(n) => input.extend_from_slice(&chunk[..n]),
            Err(e) if matches!(e.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut) => {}
            Err(e) => return Got::Ended(format!("{text} ({e})")),
        }
    }
}

/// Waits until the front answers `alive`, as the platform's front does.
pub fn wait_alive(port: u16, within: Duration) -> Result<(), String> {
    let until = Instant::now() + within;
    while Instant::now() < until {
        if let Ok(mut stream) = TcpStream::connect(("127.0.0.1", port)) {
            let _ = stream.write_all(&alive(1));
            if let Got::Answer(text) =
                read_answer(&mut stream, 1, Instant::now() + Duration::from_millis(500))
            {
                if text.contains("\"pass\":true") {
                    return Ok(());
                }
            }
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    Err(format!("port {port} does not answer alive"))
}
