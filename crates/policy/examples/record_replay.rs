//! Regenerates the recordings with which `tests/replay.rs` compares the simulation's output.
//!
//! Run it only after an intended change to the simulation in `tests/common`, never to make a failing test pass:
//! `cargo run -p beamgap-policy --example record_replay`

#[path = "../tests/common/mod.rs"]
mod common;

fn main() -> std::io::Result<()> {
    for seed in common::SEEDS {
        let (lines, _) = common::run(seed);
        std::fs::write(common::recording_path(seed), lines.join("\n") + "\n")?;
    }
    Ok(())
}
