//! Any bytes as a resource, and any text as a version.
#![no_main]

use beamgap_xds::client::held::read;
use beamgap_xds::core::resources::Kind;
use beamgap_xds::core::tombs::named;

libfuzzer_sys::fuzz_target!(|bytes: &[u8]| {
    for kind in Kind::ALL {
        let _ = read(kind, bytes);
    }
    if let Ok(text) = std::str::from_utf8(bytes) {
        assert!(named(text).len() <= 64);
    }
});
