//! End-to-end tests of xDS on sockets: service discovery sends the engine list to the front end, the front end sends
//! endpoints and weights to simulated proxies over xDS, and the tests check which requests reach which engine.

use beamgap::node::clock::Clock;
use beamgap::node::config::Config;
use beamgap::node::Node;
use beamgap_fakes::boxes::Power;
use beamgap_fakes::fleet::{Fleet, Report, Roll};
use beamgap_fakes::proxy::Script;
use beamgap_xds::core::stream::Variant;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{mpsc, Arc};
use std::time::{Duration, Instant};

/// Capacity of a simulated engine. The engine is warm after 3 s, and crashes when it receives three times its capacity
/// within 0.5 s. Real engines take 15 s and 1.5 s; both are scaled down so that a rolling deploy takes seconds.
const ENGINE_POWER: Power =
    Power { cores: 8.0, start_share: 0.2, warm_ms: 3_000.0, fall_multiple: 3.0, fall_span_ms: 500.0 };

/// A front end that runs on a separate thread until it is dropped.
struct FrontEnd {
    xds: SocketAddr,
    stop: Arc<AtomicBool>,
    thread: Option<std::thread::JoinHandle<()>>,
}

impl FrontEnd {
    fn start(bulletin: SocketAddr, listen: SocketAddr) -> FrontEnd {
        let text = format!(
            r#"{{"name":"n0","seed":"1f","listen":"127.0.0.1:0","bulletin":"{bulletin}","known":{{"no":0,"items":[]}},
            "xds":{{"listen":"{listen}","proxy_share":0.5,"request_work_ms":20,"request_ms":2000,"ttl_ms":500,
              "late_ms":200,"settle_ms":200,"listeners":[{{"name":"tills","address":"127.0.0.1:8080"}}]}},
            "settings":{{"Azs":["a"],"Balancers":1,"Me":0,"Zone":"a","MachineTypes":["std"],
             "Classes":[{{"Name":"lookup","OnTime":500,"HardLimit":2500,"Repeat":"pure","Value":1}}],
             "Domain":{{"CoresByKind":[8],"RamOfKindMb":[16384],"ThreadsByClass":[1]}},
             "Contract":{{"DrainGrace":250,"StartCapacity":0.2,"WarmWithin":3000,"FallMultiple":3,"Fall":500}},
             "Report":{{"How":"off"}}}}}}"#
        );
        let (sender, address_receiver) = mpsc::channel();
        let stop = Arc::new(AtomicBool::new(false));
        let stopped = stop.clone();
        let thread = std::thread::spawn(move || {
            let config = Config::read(text.into_bytes(), &|_| None).expect("the configuration is valid");
            let mut node = Node::new(config, Clock::system()).expect("the node failed to start");
            sender.send(node.xds_address().unwrap()).unwrap();
            while !stopped.load(Ordering::Relaxed) {
                node.poll_once(Duration::from_millis(20)).unwrap();
            }
        });
        FrontEnd { xds: address_receiver.recv().unwrap(), stop, thread: Some(thread) }
    }
}

impl Drop for FrontEnd {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        self.thread.take().unwrap().join().unwrap();
    }
}

fn script(i: usize, services: &[SocketAddr]) -> Script {
    Script {
        node: format!("proxy-{i}"),
        services: services.iter().map(SocketAddr::to_string).collect(),
        variant: if i.is_multiple_of(2) { Variant::World } else { Variant::Delta },
        per_second: 25.0,
        work_ms: 20.0,
        late: Duration::ZERO,
        never_acks: false,
        refuses: None,
        reconnects: None,
        reports: true,
        seed: i as u64,
    }
}

fn any_loopback_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn assert_no_overload_or_loss(report: &Report) {
    assert_eq!((report.fell, report.lost(), report.doubled, report.stray), (0, 0, 0, 0), "{report:?}");
    assert!(report.worst <= 1.0 && report.sent > 500, "{report:?}");
}

fn runtime() -> tokio::runtime::Runtime {
    tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap()
}

#[test]
fn through_a_rolling_deploy_no_proxy_sends_to_a_draining_box_nor_floods_a_cold_one() {
    // Guards against a rolling deploy in which proxies use outdated endpoints. Three of the 20 proxies misbehave: one
    // reconnects its xDS stream every 170 ms, one never ACKs, and one reconnects every second.
    runtime().block_on(async {
        let mut fleet = Fleet::start(8, ENGINE_POWER).await.unwrap();
        let front = FrontEnd::start(fleet.bulletin.address, any_loopback_port());
        let until = Instant::now() + Duration::from_secs(9);
        for i in 0..20 {
            let mut script = script(i, &[front.xds]);
            match i {
                3 => script.reconnects = Some(Duration::from_millis(170)),
                4 => script.never_acks = true,
                5 => script.reconnects = Some(Duration::from_secs(1)),
                _ => {}
            }
            fleet.proxy(script, until);
        }
        tokio::time::sleep(Duration::from_millis(1_200)).await;
        let (every, gone_after) = (Duration::from_millis(430), Duration::from_millis(300));
        fleet.roll(Roll { drains: 16, every, gone_after }).await.unwrap();
        let report = fleet.finish().await;
        assert_no_overload_or_loss(&report);
        assert!(report.sorted()[15] <= Duration::from_millis(250), "{:?}", report.sorted());
        assert!(report.while_warming > 100, "warming engines got too few requests: {report:?}");
    });
}

#[test]
fn pushes_that_are_a_second_late_flood_no_box_that_has_just_started() {
    runtime().block_on(async {
        let mut fleet = Fleet::start(4, ENGINE_POWER).await.unwrap();
        let front = FrontEnd::start(fleet.bulletin.address, any_loopback_port());
        let until = Instant::now() + Duration::from_secs(8);
        for i in 0..10 {
            let late = Duration::from_millis(if i < 5 { 1_000 } else { 0 });
            fleet.proxy(Script { late, per_second: 120.0, ..script(i, &[front.xds]) }, until);
        }
        tokio::time::sleep(Duration::from_millis(2_500)).await;
        // A drained engine keeps running for 1.3 s, until the proxies with late pushes also know that it is draining.
        let (every, gone_after) = (Duration::from_millis(1_500), Duration::from_millis(1_300));
        fleet.roll(Roll { drains: 3, every, gone_after }).await.unwrap();
        assert_no_overload_or_loss(&fleet.finish().await);
    });
}

#[test]
fn a_fleet_replaced_at_once_under_full_load_is_not_flooded() {
    // Guards against overload when all engines are replaced at once and are cold: with weights alone, each engine would
    // receive almost four times its capacity. The proxies must reject the excess requests.
    runtime().block_on(async {
        let mut fleet = Fleet::start(4, ENGINE_POWER).await.unwrap();
        let front = FrontEnd::start(fleet.bulletin.address, any_loopback_port());
        let until = Instant::now() + Duration::from_secs(6);
        for i in 0..10 {
            fleet.proxy(Script { per_second: 120.0, ..script(i, &[front.xds]) }, until);
        }
        tokio::time::sleep(Duration::from_millis(2_500)).await;
        let (every, gone_after) = (Duration::from_millis(200), Duration::from_millis(200));
        fleet.roll(Roll { drains: 4, every, gone_after }).await.unwrap();
        let report = fleet.finish().await;
        assert_no_overload_or_loss(&report);
        assert!(report.while_warming > 100 && report.refused[0] > 100, "{report:?}");
    });
}

#[test]
fn fifty_proxies_come_back_at_once_to_a_service_that_died_during_a_deploy() {
    runtime().block_on(async {
        let mut fleet = Fleet::start(8, ENGINE_POWER).await.unwrap();
        let front = FrontEnd::start(fleet.bulletin.address, any_loopback_port());
        let at = front.xds;
        let until = Instant::now() + Duration::from_secs(7);
        let tallies: Vec<_> =
            (0..50).map(|i| fleet.proxy(Script { per_second: 10.0, ..script(i, &[at]) }, until)).collect();
        tokio::time::sleep(Duration::from_millis(1_000)).await;
        tokio::task::spawn_blocking(move || drop(front)).await.unwrap();
        // While the xDS server is down, one engine starts draining. The proxies cannot learn of the drain and continue
        // with their last endpoints, so the drained engine keeps running for 1.5 s.
        let sent = |tallies: &[Arc<beamgap_fakes::proxy::Tally>]| -> u64 {
            tallies.iter().map(|t| t.sent.load(Ordering::Relaxed)).sum()
        };
        let before = sent(&tallies);
        tokio::time::sleep(Duration::from_millis(500)).await;
        assert!(sent(&tallies) > before + 100, "the proxies stopped sending while the xDS server was down");
        let bulletin = fleet.bulletin.address;
        let back = tokio::task::spawn_blocking(move || {
            std::thread::sleep(Duration::from_millis(300));
            FrontEnd::start(bulletin, at)
        });
        fleet.replace(0, true, Duration::from_millis(1_500)).await.unwrap();
        let front = back.await.unwrap();
        tokio::time::sleep(Duration::from_millis(2_000)).await;
        let opened: Vec<u64> = tallies.iter().map(|t| t.streams.load(Ordering::Relaxed)).collect();
        assert!(opened.iter().all(|n| *n >= 2), "some proxies did not reconnect: {opened:?}");
        assert_no_overload_or_loss(&fleet.finish().await);
        drop(front);
    });
}

#[test]
fn garbage_half_frames_and_too_long_messages_cost_their_connection_alone() {
    runtime().block_on(async {
        let mut fleet = Fleet::start(2, ENGINE_POWER).await.unwrap();
        let front = FrontEnd::start(fleet.bulletin.address, any_loopback_port());
        let until = Instant::now() + Duration::from_millis(2_500);
        let tally = fleet.proxy(Script { per_second: 200.0, ..script(0, &[front.xds]) }, until);
        let at = front.xds;
        let malformed_clients = tokio::task::spawn_blocking(move || {
            let preface = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";
            let settings = [0, 0, 0, 4, 0, 0, 0, 0, 0];
            let huge = [0xff, 0xff, 0xff, 0, 0, 0, 0, 0, 1];
            let noise: Vec<u8> = (0..4096u32).map(|i| (i.wrapping_mul(2_654_435_761) >> 13) as u8).collect();
            let half = [&preface[..], &settings, &[0, 0, 40, 1, 4]].concat();
            let mut open = Vec::new();
            for bytes in
                [&noise[..], &preface[..9], &[&preface[..], &huge].concat(), &half, b"GET / HTTP/1.1\r\n\r\n"]
            {
                for _ in 0..20 {
                    let mut stream = TcpStream::connect(at).unwrap();
                    stream.set_read_timeout(Some(Duration::from_millis(20))).unwrap();
                    let _ = stream.write_all(bytes); // The front end may already have closed the connection.
                    let _ = stream.read(&mut [0; 64]);
                    open.push(stream);
                }
            }
            open.len()
        });
        assert_eq!(malformed_clients.await.unwrap(), 100);
        let report = fleet.finish().await;
        assert_eq!((report.lost(), report.doubled), (0, 0), "{report:?}");
        assert!(tally.answered.load(Ordering::Relaxed) > 200);
    });
}
