//! Measures rolling deploys: engines drain, stop and are replaced while proxies, configured over xDS, send requests to the
//! engines. See `docs/measurements/xds.md`.
//!
//!     cargo run --release --example xds_deploy -- DRAINS [FLEETS]

use beamgap::node::clock::Clock;
use beamgap::node::config::Config;
use beamgap::node::Node;
use beamgap_fakes::boxes::Power;
use beamgap_fakes::fleet::{Fleet, Report, Roll};
use beamgap_fakes::proxy::Script;
use beamgap_xds::core::stream::Variant;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{mpsc, Arc};
use std::time::{Duration, Instant};

/// Performance of each fake engine: 8 cores, 3 seconds of slow start from a capacity of 20%, and a crash when an
/// engine is sent more than 3 times the work that it can do, measured over 500 ms.
const POWER: Power =
    Power { cores: 8.0, start_share: 0.2, warm_ms: 3_000.0, fall_multiple: 3.0, fall_span_ms: 500.0 };

fn front_end(bulletin: SocketAddr, stop: Arc<AtomicBool>) -> (SocketAddr, std::thread::JoinHandle<()>) {
    let text = format!(
        r#"{{"listen":"127.0.0.1:0","bulletin":"{bulletin}","known":{{"no":0,"items":[]}},
        "xds":{{"listen":"127.0.0.1:0","request_work_ms":20,"request_ms":2000,"ttl_ms":500,"late_ms":200,"settle_ms":200}},
        "settings":{{"Azs":["a"],"Zone":"a","MachineTypes":["std"],
         "Classes":[{{"Name":"lookup","OnTime":500,"HardLimit":2500,"Repeat":"pure","Value":1}}],
         "Domain":{{"CoresByKind":[8],"RamOfKindMb":[16384],"ThreadsByClass":[1]}},
         "Contract":{{"DrainGrace":250,"StartCapacity":0.2,"WarmWithin":3000,"FallMultiple":3,"Fall":500}},
         "Report":{{"How":"off"}}}}}}"#
    );
    let (sender, address) = mpsc::channel();
    let thread = std::thread::spawn(move || {
        let config = Config::read(text.into_bytes(), &|_| None).expect("the configuration is valid");
        let mut node = Node::new(config, Clock::system()).expect("the node starts");
        sender.send(node.xds_address().expect("xds is on")).expect("the receiver exists");
        while !stop.load(Ordering::Relaxed) {
            node.poll_once(Duration::from_millis(20)).expect("the event loop runs without errors");
        }
    });
    (address.recv().expect("the node reports its address"), thread)
}

fn fleet(number: u64, drains: usize) -> Report {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    runtime.block_on(async {
        let mut fleet = Fleet::start(8, POWER).await.expect("boxes start");
        let stop = Arc::new(AtomicBool::new(false));
        let (xds, thread) = front_end(fleet.bulletin.address, stop.clone());
        let every = Duration::from_millis(430);
        let until = Instant::now() + Duration::from_secs(4) + every * drains as u32;
        for i in 0..20u64 {
            let script = Script {
                node: format!("proxy-{i}"),
                services: vec![xds.to_string()],
                variant: if i.is_multiple_of(2) { Variant::World } else { Variant::Delta },
                per_second: 25.0,
                work_ms: 20.0,
                late: Duration::ZERO,
                never_acks: i == 4,
                refuses: None,
                reconnects: (i == 3).then_some(Duration::from_millis(170)),
                reports: true,
                seed: number * 100 + i,
            };
            fleet.proxy(script, until);
        }
        tokio::time::sleep(Duration::from_millis(1_200)).await;
        fleet
            .roll(Roll { drains, every, gone_after: Duration::from_millis(300) })
            .await
            .expect("boxes start");
        let report = fleet.finish().await;
        stop.store(true, Ordering::Relaxed);
        thread.join().expect("the node ends well");
        report
    })
}

fn main() {
    let mut args = std::env::args().skip(1).map(|n| n.parse::<usize>().expect("numbers: DRAINS [FLEETS]"));
    let (drains, fleets) = (args.next().unwrap_or(16), args.next().unwrap_or(1));
    let threads: Vec<_> =
        (0..fleets).map(|n| std::thread::spawn(move || fleet(n as u64, drains.div_ceil(fleets)))).collect();
    let reports: Vec<Report> = threads.into_iter().map(|t| t.join().expect("a fleet ends")).collect();
    let mut last: Vec<Duration> = reports.iter().flat_map(|r| r.drains.iter().copied()).collect();
    last.sort();
    let ms = |share: f64| last[((last.len() - 1) as f64 * share) as usize].as_secs_f64() * 1000.0;
    let sum = |of: fn(&Report) -> u64| reports.iter().map(of).sum::<u64>();
    println!("drains {} in {fleets} fleets of 8 boxes and 20 proxies", last.len());
    println!(
        "last new request after the drain was told, ms: min {:.1} median {:.1} p99 {:.1} max {:.1}",
        ms(0.0),
        ms(0.5),
        ms(0.99),
        ms(1.0)
    );
    println!(
        "requests: sent {} lost {} doubled {} to warming boxes {}",
        sum(|r| r.sent),
        sum(Report::lost),
        sum(|r| r.doubled),
        sum(|r| r.while_warming)
    );
    println!(
        "refused at proxies: bound reached {} nothing to send to {} no connection {}",
        sum(|r| r.refused[0]),
        sum(|r| r.refused[1]),
        sum(|r| r.refused[2])
    );
    println!(
        "cold boxes: fell {}; most sent within the span, as a share of what brings one down: {:.2}",
        sum(|r| r.fell as u64),
        reports.iter().map(|r| r.worst).fold(0.0, f64::max)
    );
}
