//! Writes the recording that `tests/replay.rs` compares with: only where the recorded world itself changes.
//!
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
