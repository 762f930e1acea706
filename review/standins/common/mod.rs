//! Small stand-ins for the review's cases: record, front end process, engine, service discovery and client.
//! Only the standard library is used. Every address is a loopback address with a port that the system chooses.
#![allow(dead_code)]

mod client;
mod engine;
mod fleet;
mod front_end;
mod list;
mod mysql;

pub use client::*;
pub use engine::*;
pub use fleet::*;
pub use front_end::*;
pub use list::*;
pub use mysql::*;
use std::fs::File;
use std::io::Write;
use std::net::TcpListener;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, OnceLock};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Exit codes of a case: the rule held, the rule was broken, the case could not run.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const NOT_RUN: i32 = 2;

static RECORD: OnceLock<(Mutex<File>, Instant)> = OnceLock::new();

pub fn open_record(path: &str) {
    let file = File::create(path).expect("record.txt can be written");
    let _ = RECORD.set((Mutex::new(file), Instant::now()));
}

/// Writes one line with the milliseconds since the start.
pub fn record(text: &str) {
    let Some((file, start)) = RECORD.get() else { return };
    let line = format!("{:9.1} {text}\n", start.elapsed().as_secs_f64() * 1000.0);
    let _ = file.lock().unwrap().write_all(line.as_bytes());
}

pub fn since_start_ms() -> u128 {
    RECORD.get().map_or(0, |(_, start)| start.elapsed().as_millis())
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

pub fn sleep(ms: u64) {
    std::thread::sleep(Duration::from_millis(ms));
}

/// Waits until `done` holds, for at most `ms`. Returns whether it holds.
pub fn wait_for(ms: u64, mut done: impl FnMut() -> bool) -> bool {
    let until = Instant::now() + Duration::from_millis(ms);
    while Instant::now() < until {
        if done() {
            return true;
        }
        sleep(5);
    }
    done()
}

/// Whether the disruption is part of this run.
pub fn with_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

pub fn free_port() -> u16 {
    TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap().port()
}

/// A unique request name: 16 hex digits.
pub fn rid() -> String {
    static NEXT: AtomicU64 = AtomicU64::new(0);
    let seed = unix_ms().wrapping_mul(0x9e37_79b9_7f4a_7c15);
    format!("{:016x}", seed ^ NEXT.fetch_add(1, Ordering::SeqCst).wrapping_mul(0xd134_2543_de82_ef95))
}

/// The whole number that follows `name` in a text.
pub fn number_after(text: &str, name: &str) -> Option<u64> {
    let rest = &text[text.find(name)? + name.len()..];
    rest.chars().take_while(char::is_ascii_digit).collect::<String>().parse().ok()
}
