//! Races of the watch, the node's connection to service discovery: the watch is silent, frames are late, repeated or
//! split, the discovery server moves to another address, or the watch breaks just as a frame arrives.

use crate::stage::{House, Stage};
use beamgap::node::config::Config;
use std::net::SocketAddr;

const SERVING: u8 = 0;
const DRAINING: u8 = 1;
const GONE: u8 = 2;
const KEEPALIVE: u8 = 0;
const FULL_LIST: u8 = 1;
const CHANGES: u8 = 2;

fn record(id: u32, address: SocketAddr, state: u8) -> Vec<u8> {
    let SocketAddr::V4(at) = address else { panic!("loopback is v4") };
    let mut record = id.to_be_bytes().to_vec();
    record.extend(at.ip().octets());
    record.extend(at.port().to_be_bytes());
    record.extend([state, 0, 0, 0, 0]);
    record.extend(1000u32.to_be_bytes());
    record.extend(0u64.to_be_bytes());
    record
}

fn frame(number: u64, kind: u8, records: &[Vec<u8>]) -> Vec<u8> {
    let records = records.concat();
    let mut frame = (9 + records.len() as u32).to_be_bytes().to_vec();
    frame.extend(number.to_be_bytes());
    frame.push(kind);
    frame.extend(records);
    frame
}

/// Starts a node with `engines` engines in its first engine list, and waits until the node has opened a watch.
fn watching(engines: usize) -> Stage {
    let mut stage = Stage::play(engines, "clock wait 20");
    wait_for_watch(&mut stage, 1);
    stage
}

/// Waits until the node has opened `connections` watches.
/// Returns the list revision after which the node asks the newest watch to resume.
fn wait_for_watch(stage: &mut Stage, connections: usize) -> u64 {
    stage.expect("a watch on service discovery", |stage| {
        stage.clock.set(stage.clock.now() + 10.0);
        let watches = stage.watches();
        watches.len() >= connections && watches.last().is_some_and(|peer| peer.input.len() >= 8)
    });
    let input = &stage.watches().last().unwrap().input;
    u64::from_be_bytes(input[..8].try_into().unwrap())
}

fn send_frames(stage: &mut Stage, watch: usize, bytes: &[u8]) {
    stage.watches()[watch].push(bytes);
    (0..5).for_each(|_| stage.turn());
}

/// Returns the engine list entries that the node has applied since the last call: revision, engine and state.
fn applied_entries(stage: &mut Stage) -> Vec<String> {
    let lines = stage.node.take_log().into_iter().filter(|line| line.starts_with("list: no="));
    let short = |line: String| {
        let words: Vec<&str> = line.split(' ').collect();
        format!("{} {} {}", words[1], words[2], words[4])
    };
    lines.map(short).collect()
}

#[test]
fn a_watch_that_is_silent_from_the_start_is_dialled_again_within_the_time_to_be_told() {
    let mut stage = watching(1);
    let began = stage.clock.now();
    assert_eq!(
        wait_for_watch(&mut stage, 2),
        1,
        "the new watch must resume after the last received revision"
    );
    assert!(
        stage.clock.now() - began < 3500.0,
        "the node must reconnect early enough to learn of a change within 7 s"
    );
}

#[test]
fn a_watch_that_falls_silent_after_long_service_misses_no_drain() {
    let mut stage = watching(2);
    for second in 0..13 {
        send_frames(&mut stage, 0, &frame(1, KEEPALIVE, &[]));
        stage.go("clock wait 1000");
        assert_eq!(stage.watches().len(), 1, "after {second} s");
    }
    // From now on the watch is open but sends no frames, while an engine starts draining.
    let began = stage.clock.now();
    assert_eq!(wait_for_watch(&mut stage, 2), 1);
    let at = stage.houses[0].address();
    send_frames(&mut stage, 1, &frame(2, CHANGES, &[record(0, at, DRAINING)]));
    assert!(stage.clock.now() - began < 5000.0);
    stage.node.take_log();
    for id in 1..6 {
        stage.go(&format!("c1 send ask {id} lookup 2500 select 1 from s_1.t\nw expect want c1-{id} *"));
        assert_eq!(stage.current_connection().0, 1, "a draining engine must get no new requests");
    }
}

#[test]
fn frames_in_single_bytes_and_several_in_one_read_are_each_taken_once() {
    let mut stage = watching(1);
    stage.node.take_log();
    let at = stage.houses[0].address();
    for byte in frame(2, CHANGES, &[record(0, at, DRAINING)]) {
        stage.watches()[0].push(&[byte]);
        stage.one_turn();
    }
    assert_eq!(applied_entries(&mut stage), ["no=2 engine=s-00000000 state=Draining"]);
    let full_list = frame(3, FULL_LIST, &[record(0, at, SERVING), record(7, at, GONE)]);
    let both_frames = [full_list, frame(4, CHANGES, &[record(0, at, DRAINING)])].concat();
    send_frames(&mut stage, 0, &both_frames);
    assert_eq!(
        applied_entries(&mut stage),
        [
            "no=3 engine=s-00000000 state=Serving",
            "no=3 engine=s-00000007 state=Gone",
            "no=4 engine=s-00000000 state=Draining"
        ]
    );
}

#[test]
fn a_list_that_repeats_or_goes_back_changes_nothing() {
    let mut stage = watching(1);
    let at = stage.houses[0].address();
    send_frames(&mut stage, 0, &frame(5, CHANGES, &[record(0, at, DRAINING)]));
    stage.node.take_log();
    // Discovery sends revision 5 again, the older revision 4, and the full list of revision 3 from before the drain.
    send_frames(&mut stage, 0, &frame(5, CHANGES, &[record(0, at, SERVING)]));
    send_frames(&mut stage, 0, &frame(4, CHANGES, &[record(0, at, SERVING)]));
    send_frames(&mut stage, 0, &frame(3, FULL_LIST, &[record(0, at, SERVING)]));
    assert_eq!(applied_entries(&mut stage), [""; 0]);
    send_frames(&mut stage, 0, &frame(6, CHANGES, &[record(0, at, SERVING)]));
    assert_eq!(applied_entries(&mut stage), ["no=6 engine=s-00000000 state=Serving"]);
}

#[test]
fn a_whole_list_behind_changes_leaves_out_what_it_does_not_name() {
    let mut stage = watching(2);
    let (first, second) = (stage.houses[0].address(), stage.houses[1].address());
    let changes = frame(2, CHANGES, &[record(1, second, SERVING)]);
    send_frames(&mut stage, 0, &[changes, frame(3, FULL_LIST, &[record(0, first, SERVING)])].concat());
    stage.go("clock wait 50");
    for id in 1..6 {
        stage.go(&format!("c1 send ask {id} lookup 2500 select 1 from s_1.t\nw expect want c1-{id} *"));
        assert_eq!(stage.current_connection().0, 0);
    }
}

/// Returns the configuration of the stage with service discovery at another address.
fn config_with_discovery(stage: &Stage, new_discovery: &House) -> Config {
    let config = stage.config(r#""listen":"127.0.0.1:0","#);
    let (before, rest) = config.split_once(r#""bulletin":""#).unwrap();
    let (_, rest) = rest.split_once('"').unwrap();
    let config = format!(r#"{before}"bulletin":"{}"{rest}"#, new_discovery.address());
    Config::read(config.into_bytes(), &|_| None).unwrap()
}

#[test]
fn after_a_reload_the_new_watch_counts_and_the_old_one_is_not_heard() {
    let mut stage = watching(1);
    let at = stage.houses[0].address();
    let mut new_discovery = House::new();
    let config = config_with_discovery(&stage, &new_discovery);
    // A frame from the old watch can already be read when the reload makes the node close the old watch.
    stage.watches()[0].push(&frame(2, CHANGES, &[record(0, at, SERVING)]));
    stage.node.reload(Ok(config));
    stage.node.take_log();
    stage.expect("a watch on the new discovery server", |stage| {
        stage.clock.set(stage.clock.now() + 10.0);
        stage.turn();
        new_discovery.pull();
        new_discovery.conns.last().is_some_and(|peer| peer.input.len() >= 8)
    });
    assert_eq!(applied_entries(&mut stage), [""; 0], "a frame of the old watch must be ignored");
    assert_eq!(
        new_discovery.conns[0].input[..8],
        1u64.to_be_bytes(),
        "the new watch must ask for the revision that was ignored"
    );
    // The first frame of the new watch reports that the engine is draining.
    new_discovery.conns[0].push(&frame(2, CHANGES, &[record(0, at, DRAINING)]));
    stage.go("clock wait 20\nc1 send ask 1 lookup 2500 select 1 from s_1.t\nclock wait 300");
    assert_eq!(stage.sent_to_engines(), [""; 0]);
}

/// A reload during a graceful shutdown must take effect, and must not delay the shutdown.
#[test]
fn a_reload_after_the_signal_to_end_takes_the_new_list_and_the_shutdown_goes_on() {
    let mut stage = watching(2);
    let at = stage.houses[0].address();
    stage.go(r#"c1 send {"jsonrpc":"2.0","id":1,"method":"alive"}"#);
    stage.go("c1 expect *pass*");
    let signalled_at = stage.clock.now();
    stage.node.begin_shutdown();
    let mut new_discovery = House::new();
    let config = config_with_discovery(&stage, &new_discovery);
    stage.node.reload(Ok(config));
    stage.expect("a watch on the new discovery server", |stage| {
        stage.clock.set(stage.clock.now() + 10.0);
        stage.turn();
        new_discovery.pull();
        new_discovery.conns.last().is_some_and(|peer| peer.input.len() >= 8)
    });
    new_discovery.conns[0].push(&frame(2, CHANGES, &[record(0, at, DRAINING)]));
    stage.go("clock wait 20");
    for id in 2..5 {
        stage.go(&format!("c1 send ask {id} lookup 2500 select 1 from s_1.t\nw expect want c1-{id} *"));
        assert_eq!(stage.current_connection().0, 1, "the drain reported by the new watch must be applied");
        stage.go(&format!("w send c1-{id} served pages=1 x\\t\\t\\n\nc1 expect {id} served x\\t\\t\\n"));
    }
    let closing_begins = signalled_at + 800.0;
    stage.go(&format!(
        "clock wait {}\nc1 expect closed\nc1 close\nclock wait 50",
        closing_begins + 50.0 - stage.clock.now()
    ));
    assert!(stage.node.is_shut_down(), "the time windows of the shutdown must count from the signal");
}

#[test]
fn discovery_that_is_back_as_the_retry_timer_fires_is_connected_once() {
    let mut stage = watching(1);
    // The watch breaks, and the retry timer expires in the same event loop iteration in which the node sees the break.
    stage.watches().clear();
    stage.clock.set(stage.clock.now() + 700.0);
    (0..3).for_each(|_| stage.one_turn());
    assert_eq!(wait_for_watch(&mut stage, 1), 1);
    stage.go("clock wait 1500");
    assert_eq!(stage.watches().len(), 1, "a second connection must not replace the first");
}

#[test]
fn an_engine_back_under_its_id_at_another_address_gets_what_was_queued_for_the_old_one() {
    let mut stage = watching(1);
    let new = House::new();
    rustix::net::listen(&stage.houses[0].listener, 0).unwrap();
    let old = stage.houses[0].address();
    let connect_timeout = std::time::Duration::from_millis(50);
    let _queued: Vec<_> =
        (0..4).filter_map(|_| std::net::TcpStream::connect_timeout(&old, connect_timeout).ok()).collect();
    stage.go("c1 send ask 1 delivery-load 25000 insert into s_1.t values (1)");
    stage.node_turns(5);
    let both_frames =
        [frame(2, CHANGES, &[record(0, old, GONE)]), frame(3, CHANGES, &[record(0, new.address(), SERVING)])];
    stage.watches()[0].push(&both_frames.concat());
    stage.houses.push(new);
    stage.node_turns(5);
    stage.go("clock wait 100\nw expect want c1-1 *");
    assert_eq!(
        stage.current_connection().0,
        1,
        "the request was not sent to the old address and must go to the new one"
    );
    stage.go("w send c1-1 served pages=1 x\\t\\t\\n\nc1 expect 1 served x\\t\\t\\n");
}
