//! Any text as an operator's file: it is read or refused with places, never a panic.
#![no_main]

libfuzzer_sys::fuzz_target!(|text: &str| {
    if let Err(e) = beamgap::node::config::read_operator_file("x.hcl", text) {
        assert!(e.place.is_some_and(|place| place.starts_with("x.hcl:")));
    }
});
