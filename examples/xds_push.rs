//! Measures xDS pushes: the time from an event of the service discovery (the fake bulletin) until the last proxy has
//! received the change, for many streams and engines, with both variants of the protocol (state of the world and delta).
//! See `docs/measurements/xds.md`.
//!
//!     cargo build --release && cargo run --release --example xds_push -- [STREAMS,..] [BOXES,..] [CHANGES]

use beamgap_fakes::bulletin::{Bulletin, Entry, State};
use beamgap_xds::client::link::{connect, Link};
use beamgap_xds::core::resources::{Kind, ROUTES};
use beamgap_xds::core::stream::{Ask, Variant};
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::sync::mpsc;
use std::time::{Duration, Instant};

/// Number of threads that run the client side of the streams.
const CLIENT_THREADS: usize = 3;
/// Number of streams that share one connection to the front end.
const STREAMS_PER_CONN: usize = 10;

/// A response that a stream received: time of arrival, type of the resources, and size in bytes.
type Received = (Instant, Kind, usize);

fn start_front_end(bulletin: SocketAddr, xds: bool) -> (Child, Option<String>) {
    let section = r#""xds":{"listen":"127.0.0.1:0","streams_most":4000},"#;
    let text = format!(
        r#"{{"listen":"127.0.0.1:0","bulletin":"{bulletin}","known":{{"no":0,"items":[]}},{}
        "settings":{{"Azs":["a"],"Zone":"a","MachineTypes":["std"],
         "Classes":[{{"Name":"lookup","OnTime":500,"HardLimit":2500,"Repeat":"pure","Value":1}}],
         "Domain":{{"CoresByKind":[8],"RamOfKindMb":[16384],"ThreadsByClass":[1]}},
         "Contract":{{"DrainGrace":250}},"Report":{{"How":"off"}}}}}}"#,
        if xds { section } else { "" }
    );
    let path = std::env::temp_dir().join(format!("beamgap-push-{}.json", std::process::id()));
    std::fs::write(&path, text).expect("a file in the temporary folder");
    let mut child = Command::new("target/release/beamgap")
        .args(["--log", "list=off,info"])
        .env("NODE_CONFIG", &path)
        .stderr(Stdio::piped())
        .spawn()
        .expect("target/release/beamgap is built");
    let mut lines = BufReader::new(child.stderr.take().expect("piped")).lines();
    let log_line = if xds { "listen: xds address=" } else { "listen: front" };
    let xds_address = lines.find_map(|line| {
        let line = line.ok()?;
        line.contains(log_line).then(|| line.rsplit_once("address=").map(|(_, at)| at.to_owned()))?
    });
    // Reads the rest of the log, since the front end's writes to a closed pipe would fail.
    std::thread::spawn(move || lines.for_each(drop));
    (child, xds_address.filter(|_| xds))
}

fn status(pid: u32, key: &str) -> u64 {
    let text = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = text.lines().find_map(|line| line.strip_prefix(key));
    line.and_then(|line| line.split_whitespace().next()?.parse().ok()).unwrap_or(0)
}

/// CPU time of the front end's xDS thread in milliseconds, with the resolution of the system's clock tick (10 ms).
fn cpu_ms(pid: u32) -> f64 {
    let tasks = std::fs::read_dir(format!("/proc/{pid}/task")).into_iter().flatten().flatten();
    let mut ticks = 0;
    for task in tasks {
        let stat = std::fs::read_to_string(task.path().join("stat")).unwrap_or_default();
        if let Some((name, rest)) = stat.rsplit_once(") ") {
            let words: Vec<&str> = rest.split(' ').collect();
            if name.ends_with("(xds") && words.len() > 13 {
                ticks += words[11].parse::<u64>().unwrap_or(0) + words[12].parse::<u64>().unwrap_or(0);
            }
        }
    }
    ticks as f64 * 10.0
}

fn ask(kind: Kind, names: &[&str]) -> Ask {
    Ask {
        url: kind.url().to_owned(),
        names: names.iter().map(|n| (*n).to_owned()).collect(),
        ..Ask::default()
    }
}

/// Acknowledges every response on one stream and reports each response to the channel.
async fn run_stream(mut link: Link, variant: Variant, received: mpsc::Sender<Received>) {
    while let Ok(Some(got)) = link.next().await {
        let at = Instant::now();
        let Some(kind) = Kind::of(&got.url) else { continue };
        let names: &[&str] = match kind {
            // In the delta variant a request lists only additions to the subscription, so an ACK lists no names.
            Kind::Eds if variant == Variant::World => &["query-boxes"],
            Kind::Rds if variant == Variant::World => &[ROUTES],
            _ => &[],
        };
        let answer = Ask { nonce: got.nonce, version: got.version, ..ask(kind, names) };
        if !link.send(answer).await || received.send((at, kind, got.bytes)).is_err() {
            return;
        }
    }
}

/// Opens the streams on threads of their own; returns a channel with the responses that the streams receive.
fn open_streams(address: &str, streams: usize, variant: Variant) -> mpsc::Receiver<Received> {
    let (sender, received) = mpsc::channel();
    for thread in 0..CLIENT_THREADS {
        let (address, sender) = (address.to_owned(), sender.clone());
        let mine = (0..streams).filter(move |i| i % CLIENT_THREADS == thread).collect::<Vec<_>>();
        std::thread::spawn(move || {
            let runtime =
                tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
            runtime.block_on(async {
                let mut tasks = Vec::new();
                for some in mine.chunks(STREAMS_PER_CONN) {
                    let channel = connect(&address).await.expect("the service takes connections");
                    for i in some {
                        let mut first = vec![ask(Kind::Cds, &[]), ask(Kind::Eds, &["query-boxes"])];
                        first.push(ask(Kind::Rds, &[ROUTES]));
                        let link = Link::open(channel.clone(), &format!("p{i}"), variant, first).await;
                        tasks.push(tokio::spawn(run_stream(
                            link.expect("a stream"),
                            variant,
                            sender.clone(),
                        )));
                    }
                }
                for task in tasks {
                    let _ = task.await; // A stream ends when the front end is killed.
                }
            });
        });
    }
    received
}

fn run(streams: usize, boxes: usize, variant: Variant, changes: usize) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    let (bulletin, address) = runtime.block_on(async {
        let bulletin = Bulletin::start().await.expect("a bulletin");
        let address = bulletin.address;
        (bulletin, address)
    });
    let entry = |i: usize, state: State| Entry {
        id: i as u32 + 1,
        address: SocketAddr::from(([127, 0, (i >> 8) as u8 + 1, i as u8], 20_000)),
        state,
        started: 0,
    };
    bulletin.tell(true, &(0..boxes).map(|i| entry(i, State::Ready)).collect::<Vec<_>>());
    // The fake service discovery runs on a thread of its own, so that waiting for responses on this thread does not delay
    // the delivery of events.
    let (done, ended) = tokio::sync::oneshot::channel::<()>();
    let serving = std::thread::spawn(move || {
        runtime.block_on(async {
            let _ = ended.await;
        });
    });
    let (mut child, xds) = start_front_end(address, true);
    let xds = xds.expect("the service listens");
    std::thread::sleep(Duration::from_millis(400));
    let before = status(child.id(), "VmRSS:");
    let received = open_streams(&xds, streams, variant);
    let mut lists = 0;
    while lists < streams {
        let (_, kind, _) =
            received.recv_timeout(Duration::from_secs(60)).expect("every stream receives the engines");
        lists += usize::from(kind == Kind::Eds);
    }
    std::thread::sleep(Duration::from_millis(1_500));
    while received.try_recv().is_ok() {}
    let after = status(child.id(), "VmRSS:");
    let (mut all, mut last, mut bytes) = (Vec::new(), Vec::new(), 0);
    let cpu = cpu_ms(child.id());
    for change in 0..changes {
        let i = change % boxes;
        let at = bulletin.tell(false, &[entry(i, State::Draining)]);
        let (mut reached, mut latest) = (0, Duration::ZERO);
        while reached < streams {
            let (when, kind, size) =
                received.recv_timeout(Duration::from_secs(30)).expect("every stream receives the change");
            bytes += size;
            if kind == Kind::Eds {
                reached += 1;
                latest = latest.max(when - at);
                all.push((when - at).as_secs_f64() * 1000.0);
            }
        }
        last.push(latest.as_secs_f64() * 1000.0);
        bulletin.tell(false, &[entry(i, State::Ready)]);
        // Waits until the push that returns the engine to service is complete; that push waits for the ACKs of this one.
        std::thread::sleep(Duration::from_millis(300 + streams as u64 * boxes as u64 / 5_000));
        while let Ok((_, _, size)) = received.try_recv() {
            bytes += size;
        }
    }
    let cpu = cpu_ms(child.id()) - cpu;
    all.sort_by(f64::total_cmp);
    last.sort_by(f64::total_cmp);
    let of = |row: &[f64], share: f64| row[((row.len() - 1) as f64 * share) as usize];
    println!(
        "| {streams} | {boxes} | {} | {:.1} | {:.1} | {:.1} | {:.1} | {:.1} | {:.1} | {:.1} |",
        if variant == Variant::Delta { "delta" } else { "sotw" },
        of(&all, 0.5),
        of(&all, 0.99),
        of(&all, 1.0),
        of(&last, 0.5),
        cpu / changes as f64 / 2.0,
        bytes as f64 / changes as f64 / 2.0 / streams as f64 / 1024.0,
        (after.saturating_sub(before)) as f64 / streams as f64,
    );
    child.kill().expect("it still runs");
    child.wait().expect("it ends");
    drop(done);
    serving.join().expect("the bulletin ends");
}

fn main() {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let list = |i: usize, absent: &str| -> Vec<usize> {
        let text = args.get(i).map_or(absent, String::as_str);
        text.split(',').map(|n| n.parse().expect("numbers: STREAMS,.. BOXES,.. CHANGES")).collect()
    };
    let (streams, boxes, changes) = (list(0, "10,100,1000"), list(1, "10,100,1000"), list(2, "20")[0]);
    println!("| streams | boxes | variant | median ms | p99 ms | max ms | last stream, median ms | CPU ms a push | KiB a push and stream | memory KiB a stream |");
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    for streams in streams {
        for boxes in &boxes {
            for variant in [Variant::World, Variant::Delta] {
                run(streams, *boxes, variant, changes);
            }
        }
    }
    let (mut child, _) = start_front_end(SocketAddr::from(([127, 0, 0, 1], 9)), false);
    std::thread::sleep(Duration::from_millis(500));
    println!("xds off: {} KiB, {} threads", status(child.id(), "VmRSS:"), status(child.id(), "Threads:"));
    child.kill().expect("it still runs");
    child.wait().expect("it ends");
}
