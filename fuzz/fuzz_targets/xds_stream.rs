//! Sends a sequence of requests, derived from the input bytes, on one xDS stream. The control plane must answer or reject
//! each request without a panic, and the size of its status must stay bounded, however many requests arrive.
#![no_main]

use beamgap_xds::core::picture::Terms;
use beamgap_xds::core::plane::Plane;
use beamgap_xds::core::resources::Kind;
use beamgap_xds::core::stream::{Ask, Variant};

libfuzzer_sys::fuzz_target!(|bytes: &[u8]| {
    let variant = if bytes.first().is_some_and(|b| b % 2 == 0) { Variant::World } else { Variant::Delta };
    let mut plane = Plane::new(0.0, Terms::default());
    let Ok(stream) = plane.opened(0.0, variant, "") else { return };
    let mut now = 0.0;
    for chunk in bytes.chunks(6) {
        let [operation, kind, nonce, names @ ..] = chunk else { return };
        match operation % 4 {
            0 => {
                plane.next(now, stream);
            }
            1 => {
                now += f64::from(*nonce) * 50.0;
                plane.tick(now);
            }
            _ => {
                let names: Vec<String> = names.iter().map(|b| format!("boxes/{}", b % 5)).collect();
                let ask = Ask {
                    url: Kind::ALL[usize::from(kind % 4)].url().to_owned(),
                    nonce: if nonce % 3 == 0 { String::new() } else { (nonce % 20).to_string() },
                    error: (operation % 4 == 3).then(|| "no".to_owned()),
                    names: names.clone(),
                    leaves: names.into_iter().skip(1).collect(),
                    ..Ask::default()
                };
                let _ = plane.asked(now, stream, "p", &ask);
            }
        }
    }
    assert!(plane.status(now).len() < 64 * 1024);
});
