//! Records the input of `tests/replay.rs`: events for the decision module and the actions that the module returned.
//!
//! A small simulation of engines, clients and service discovery exchanges events and actions with
//! `beamgap-simulator-host` over the simulator's text protocol. All randomness comes from a seed, so that the same program
//! always produces the same recording.
//!
//! ```text
//! cargo build --release
//! cargo run --example record_decisions -- target/release/beamgap-simulator-host tests/replay
//! ```

mod host;
mod sites;
mod world;

use flate2::{write::GzEncoder, Compression};
use std::fs::File;
use std::io::{self, Write};
use std::path::Path;

/// Simulated duration of each recording, in milliseconds.
const RECORDING_MS: f64 = 45_000.0;

fn main() -> io::Result<()> {
    let mut arguments = std::env::args().skip(1);
    let usage = || io::Error::other("usage: record_decisions SIMHOST FOLDER");
    let program = arguments.next().ok_or_else(usage)?;
    let folder = arguments.next().ok_or_else(usage)?;
    for site in sites::all() {
        let mut host = host::Host::start(&program)?;
        world::World::new(&site).play(&mut host, RECORDING_MS)?;
        let (events, actions) = host.finish()?;
        println!("{}: {} event lines, {} action lines", site.name, lines(&events), lines(&actions));
        write_compressed(&Path::new(&folder).join(format!("{}.events.gz", site.name)), &events)?;
        write_compressed(&Path::new(&folder).join(format!("{}.actions.gz", site.name)), &actions)?;
    }
    Ok(())
}

fn lines(text: &str) -> usize {
    text.lines().count()
}

fn write_compressed(path: &Path, text: &str) -> io::Result<()> {
    let mut encoder = GzEncoder::new(File::create(path)?, Compression::best());
    encoder.write_all(text.as_bytes())?;
    encoder.finish()?;
    Ok(())
}
