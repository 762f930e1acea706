#!/bin/sh
# Builds the drivers and stand-ins of the second review's cases: one program without dependencies, outside the
# project's workspace. Needs no network.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
exec cargo build --release --locked --offline --manifest-path "$here/standins-2/Cargo.toml" --target-dir "$here/standins-2/target"
