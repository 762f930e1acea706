//! Measures pushes: from the bulletin's event to the last proxy that has been told, with many streams and boxes, in both
//! variants of the protocol. See `docs/measurements/xds.md`.
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

const CLIENT_THREADS: usize = 3;
const STREAMS_PER_CONN: usize = 10;

/// What a stream got: when, of which type, how long.
type Got = (Instant, Kind, usize);

fn program(bulletin: SocketAddr, xds: bool) -> (Child, Option<String>) {
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
    let what = if xds { "listen: xds address=" } else { "listen: front" };
    let told = lines.find_map(|line| {
        let line = line.ok()?;
        line.contains(what).then(|| line.rsplit_once("address=").map(|(_, at)| at.to_owned()))?
    });
    std::thread::spawn(move || lines.for_each(drop)); // Whoever logs must not meet a closed pipe.
    (child, told.filter(|_| xds))
}

fn status(pid: u32, key: &str) -> u64 {
    let text = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = text.lines().find_map(|line| line.strip_prefix(key));
    line.and_then(|line| line.split_whitespace().next()?.parse().ok()).unwrap_or(0)
}

/// Processor time of the service's thread in milliseconds, in steps of the system's tick.
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

/// One stream that answers every response and tells what came.
async fn follow(mut link: Link, variant: Variant, told: mpsc::Sender<Got>) {
    while let Ok(Some(got)) = link.next().await {
        let at = Instant::now();
        let Some(kind) = Kind::of(&got.url) else { continue };
        let names: &[&str] = match kind {
            // The incremental form names only what comes to the subscription.
            Kind::Eds if variant == Variant::World => &["query-boxes"],
            Kind::Rds if variant == Variant::World => &[ROUTES],
            _ => &[],
        };
        let answer = Ask { nonce: got.nonce, version: got.version, ..ask(kind, names) };
        if !link.send(answer).await || told.send((at, kind, got.bytes)).is_err() {
            return;
        }
    }
}

/// Opens streams on threads of their own; gives where what they get is told.
fn open(address: &str, streams: usize, variant: Variant) -> mpsc::Receiver<Got> {
    let (sender, told) = mpsc::channel();
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
                        tasks.push(tokio::spawn(follow(link.expect("a stream"), variant, sender.clone())));
                    }
                }
                for task in tasks {
                    let _ = task.await; // Ends when the program is ended.
                }
            });
        });
    }
    told
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
    // The bulletin serves on a thread of its own, so that telling and waiting do not stand in each other's way.
    let (done, ended) = tokio::sync::oneshot::channel::<()>();
    let serving = std::thread::spawn(move || {
        runtime.block_on(async {
            let _ = ended.await;
        });
    });
    let (mut child, xds) = program(address, true);
    let xds = xds.expect("the service listens");
    std::thread::sleep(Duration::from_millis(400));
    let before = status(child.id(), "VmRSS:");
    let told = open(&xds, streams, variant);
    let mut lists = 0;
    while lists < streams {
        let (_, kind, _) =
            told.recv_timeout(Duration::from_secs(60)).expect("every stream is told of the boxes");
        lists += usize::from(kind == Kind::Eds);
    }
    std::thread::sleep(Duration::from_millis(1_500));
    while told.try_recv().is_ok() {}
    let after = status(child.id(), "VmRSS:");
    let (mut all, mut last, mut bytes) = (Vec::new(), Vec::new(), 0);
    let cpu = cpu_ms(child.id());
    for change in 0..changes {
        let i = change % boxes;
        let at = bulletin.tell(false, &[entry(i, State::Draining)]);
        let (mut heard, mut latest) = (0, Duration::ZERO);
        while heard < streams {
            let (when, kind, size) =
                told.recv_timeout(Duration::from_secs(30)).expect("every stream is told");
            bytes += size;
            if kind == Kind::Eds {
                heard += 1;
                latest = latest.max(when - at);
                all.push((when - at).as_secs_f64() * 1000.0);
            }
        }
        last.push(latest.as_secs_f64() * 1000.0);
        bulletin.tell(false, &[entry(i, State::Ready)]);
        // Long enough for the way back, which waits for the ACKs, to be over.
        std::thread::sleep(Duration::from_millis(300 + streams as u64 * boxes as u64 / 5_000));
        while let Ok((_, _, size)) = told.try_recv() {
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
    let (mut child, _) = program(SocketAddr::from(([127, 0, 0, 1], 9)), false);
    std::thread::sleep(Duration::from_millis(500));
    println!("xds off: {} KiB, {} threads", status(child.id(), "VmRSS:"), status(child.id(), "Threads:"));
    child.kill().expect("it still runs");
    child.wait().expect("it ends");
}
