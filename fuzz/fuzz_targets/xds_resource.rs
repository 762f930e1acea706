//! Decodes arbitrary bytes as an xDS resource of each type, which must not panic. Parses arbitrary text as the version of
//! a resource set, which lists draining and removed engines: the parser must return at most 64 engines.
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
