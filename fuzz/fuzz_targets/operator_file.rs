//! Parses arbitrary text as an operator's configuration file. The parser must accept the text or return an error with the
//! position in the file, and must never panic.
#![no_main]

libfuzzer_sys::fuzz_target!(|text: &str| {
    if let Err(e) = beamgap::node::config::read_operator_file("x.hcl", text) {
        assert!(e.place.is_some_and(|place| place.starts_with("x.hcl:")));
    }
});
