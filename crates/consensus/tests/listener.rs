//! The listener of a voter beside peers that send only a part of a large frame.

use beamgap_consensus::connection::client::{Connection, TrafficCounters};
use beamgap_consensus::connection::{
    server, Handshake, PeerRequest, PeerResponse, MAX_FRAME_BYTES,
};
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::Duration;

const PEERS: usize = 150;
/// What the peers' frames may take of the process's memory, in kilobytes: the limit on large frames, and as much again
/// for all else.
const MEMORY_KB: u64 = 32 * 1024;

/// Starts a server that answers every request, on a thread of its own.
fn start_server() -> SocketAddr {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a listener");
    listener.set_nonblocking(true).expect("a socket option");
    let address = listener.local_addr().expect("an address");
    std::thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build();
        runtime.expect("a runtime").block_on(async {
            let listener = tokio::net::TcpListener::from_std(listener).expect("a listener");
            let respond = |_| async { PeerResponse::Done };
            server::serve(
                listener,
                |_| None,
                Arc::new(TrafficCounters::default()),
                respond,
            )
            .await;
        });
    });
    address
}

/// Connects a peer that writes its handshake and then half of the largest frame.
fn half_a_frame(address: SocketAddr, half: &[u8]) -> TcpStream {
    let mut stream = TcpStream::connect(address).expect("the connect failed");
    let handshake = postcard::to_stdvec(&Handshake::new("f", "m")).expect("a handshake");
    let mut head = (handshake.len() as u32).to_be_bytes().to_vec();
    head.extend(&handshake);
    head.extend((MAX_FRAME_BYTES as u32).to_be_bytes());
    stream
        .set_write_timeout(Some(Duration::from_millis(20)))
        .expect("a socket option");
    stream.write_all(&head).expect("the handshake");
    // What the server does not read is not written.
    let _ = stream.write_all(half);
    stream
}

fn peak_kb() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").expect("this process runs");
    let line = status
        .lines()
        .find(|line| line.starts_with("VmHWM:"))
        .expect("a peak");
    line.split_whitespace()
        .nth(1)
        .expect("a number")
        .parse()
        .expect("a number")
}

// Guards against a process that is killed for its memory: each peer could hold the memory of a largest frame.
#[test]
fn peers_that_stop_inside_large_frames_take_bounded_memory_and_delay_no_small_request() {
    let address = start_server();
    let half = vec![7; MAX_FRAME_BYTES / 2];
    let before = peak_kb();
    let peers: Vec<TcpStream> = (0..PEERS).map(|_| half_a_frame(address, &half)).collect();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    let response = runtime.block_on(async {
        let traffic = Arc::new(TrafficCounters::default());
        let mut sound = Connection::new(address, Handshake::new("f", "sound"), traffic);
        sound
            .request(&PeerRequest::Status, Duration::from_secs(1))
            .await
    });
    assert!(matches!(response, Ok(PeerResponse::Done)), "{response:?}");
    let taken = peak_kb() - before;
    assert!(taken < MEMORY_KB, "{PEERS} peers took {taken} kB");
    drop(peers);
}
