//! Watches on a slow discovery server, with real sockets on a simulated clock.

use beamgap::node::discovery::DiscoveryClient;
use beamgap::node::reactor::SocketOwner;
use beamgap::node::timer_queue::TimerQueue;
use std::collections::VecDeque;
use std::io::{ErrorKind, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

/// Step of the simulated clock, in milliseconds.
const STEP_MS: f64 = 50.0;
/// Longest time after its last frame at which a dead server must have been given up: the silence timeout of 2,300 ms
/// and one check interval of at most 600 ms.
const DEAD_AFTER_MS: f64 = 2900.0 + STEP_MS;
/// Number of bytes of a frame that lists 150,000 engines.
const LARGE_LIST_BYTES: usize = 4 + 9 + 150_000 * 27;

/// A front end's watch.
struct Watch {
    client: DiscoveryClient,
    timers: TimerQueue,
    poll: mio::Poll,
    /// Number of events received.
    events: usize,
}

impl Watch {
    fn new(address: SocketAddr, seed: u64) -> Watch {
        let names = || vec!["a".to_owned()];
        let mut watch = Watch {
            client: DiscoveryClient::new(address, names(), names(), 0, seed),
            timers: TimerQueue::default(),
            poll: mio::Poll::new().unwrap(),
            events: 0,
        };
        watch.client.on_timer(0.0, watch.poll.registry(), &mut watch.timers);
        watch
    }

    fn step(&mut self, now: f64) {
        while self.timers.pop_expired(now).is_some() {
            self.client.on_timer(now, self.poll.registry(), &mut self.timers);
        }
        let mut ready = mio::Events::with_capacity(8);
        self.poll.poll(&mut ready, Some(Duration::ZERO)).unwrap();
        for event in &ready {
            if let Some(SocketOwner::Discovery(generation)) = SocketOwner::from_token(event.token()) {
                self.events += self.client.ready(now, generation).len();
            }
        }
    }
}

/// A connection as the server sees it.
struct Accepted {
    stream: TcpStream,
    /// Simulated time at which the connection was accepted, in milliseconds.
    at: f64,
    /// Number of bytes sent.
    sent: usize,
}

impl Accepted {
    /// Sends as much of `bytes` as the socket takes, up to the total of `allowed` bytes.
    fn send(&mut self, bytes: &[u8], allowed: usize) {
        let end = allowed.min(bytes.len());
        while self.sent < end {
            match self.stream.write(&bytes[self.sent..end]) {
                Ok(n) => self.sent += n,
                Err(_) => return,
            }
        }
    }
}

/// A server whose behaviour each test gives as a function of the time and its connections.
struct Server {
    listener: TcpListener,
    accepted: Vec<Accepted>,
}

impl Server {
    fn start() -> Server {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        listener.set_nonblocking(true).unwrap();
        Server { listener, accepted: Vec::new() }
    }

    fn address(&self) -> SocketAddr {
        self.listener.local_addr().unwrap()
    }

    fn accept(&mut self, now: f64) {
        loop {
            match self.listener.accept() {
                Ok((stream, _)) => {
                    stream.set_nonblocking(true).unwrap();
                    self.accepted.push(Accepted { stream, at: now, sent: 0 });
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => return,
                Err(e) => panic!("{e}"),
            }
        }
    }
}

/// Frame with a whole list of engines, `bytes` long.
fn list_frame(bytes: usize) -> Vec<u8> {
    let mut frame = (bytes as u32 - 4).to_be_bytes().to_vec();
    frame.extend(1u64.to_be_bytes());
    frame.push(1);
    frame.resize(bytes, 0);
    frame
}

/// Runs watches and their server up to `end`, or until each watch has an event. Returns the simulated time.
fn run(
    watches: &mut [Watch],
    server: &mut Server,
    end: f64,
    mut serve: impl FnMut(f64, &mut Vec<Accepted>),
) -> f64 {
    let mut now = 0.0;
    while now < end && watches.iter().any(|watch| watch.events == 0) {
        now += STEP_MS;
        watches.iter_mut().for_each(|watch| watch.step(now));
        server.accept(now);
        serve(now, &mut server.accepted);
        std::thread::sleep(Duration::from_micros(200)); // For the loopback's own time.
        watches.iter_mut().for_each(|watch| watch.step(now));
    }
    now
}

/// A watch that gave up each connection after 2.3 s without a frame never heard a server that answers later than that.
#[test]
fn a_server_that_answers_late_is_heard() {
    let frame = list_frame(4 + 9 + 27);
    for answers_after in [3000.0, 6000.0, 9000.0] {
        let mut server = Server::start();
        let mut watches = [Watch::new(server.address(), 7)];
        let heard = run(&mut watches, &mut server, 60_000.0, |now, accepted| {
            for connection in accepted.iter_mut().filter(|c| now - c.at >= answers_after) {
                connection.send(&frame, frame.len());
            }
        });
        assert_eq!(watches[0].events, 1, "a server that answers after {answers_after} ms");
        println!("answers after {answers_after} ms: heard after {heard} ms");
    }
}

/// A list that takes longer than 2.3 s to come arrives on the first connection: its bytes are a sign of life.
#[test]
fn a_long_list_arrives_over_a_slow_link() {
    let frame = list_frame(LARGE_LIST_BYTES);
    let mut server = Server::start();
    let mut watches = [Watch::new(server.address(), 7)];
    let heard = run(&mut watches, &mut server, 20_000.0, |now, accepted| {
        for connection in accepted.iter_mut() {
            let allowed = (now - connection.at) * 1000.0; // 1 MB/s
            connection.send(&frame, allowed as usize);
        }
    });
    assert_eq!((watches[0].events, server.accepted.len()), (1, 1), "after {heard} ms");
}

/// A server that stops, before or inside a frame, is given up as soon as ever.
#[test]
fn a_server_that_falls_silent_is_given_up_in_time() {
    let keepalive = [&9u32.to_be_bytes()[..], &[0; 9]].concat();
    let half_frame = &list_frame(1000)[..500];
    for last_bytes in [&keepalive[..], half_frame] {
        let mut server = Server::start();
        let mut watches = [Watch::new(server.address(), 7)];
        let mut second_at = None;
        run(&mut watches, &mut server, 10_000.0, |now, accepted| {
            accepted[0].send(last_bytes, last_bytes.len());
            second_at = second_at.or((accepted.len() > 1).then_some(now));
        });
        let second_at = second_at.expect("a second connection");
        assert!(second_at <= DEAD_AFTER_MS + 2.0 * STEP_MS, "second connection after {second_at} ms");
    }
}

/// Watches on a server that never answers wait longer with each try, up to a bound, and not in step.
#[test]
fn fruitless_watches_are_renewed_less_and_less_often() {
    let mut server = Server::start();
    let mut watches = [Watch::new(server.address(), 7), Watch::new(server.address(), 8)];
    run(&mut watches, &mut server, 120_000.0, |_, _| {});
    let tries: Vec<f64> = server.accepted.iter().map(|connection| connection.at).collect();
    assert!((12..=30).contains(&tries.len()), "{} tries in 120 s", tries.len());
    let last = &tries[tries.len() - 2..];
    assert!(last[1] - last[0] > STEP_MS, "in step: {tries:?}");
}

/// 300 front ends ask a server that makes one list in 25 ms. It makes lists also for connections that were given up, so
/// impatient watches take the time of those that still wait.
#[test]
fn many_front_ends_all_get_their_list_from_one_slow_server() {
    const LISTS_A_STEP: usize = (STEP_MS / 25.0) as usize;
    let frame = list_frame(4 + 9 + 27);
    let mut server = Server::start();
    let mut watches: Vec<Watch> = (0..300).map(|seed| Watch::new(server.address(), seed)).collect();
    let (mut queue, mut queued, mut made) = (VecDeque::new(), 0, 0);
    let end = run(&mut watches, &mut server, 60_000.0, |_, accepted| {
        queue.extend(queued..accepted.len());
        queued = accepted.len();
        for _ in 0..LISTS_A_STEP {
            let Some(next) = queue.pop_front() else { return };
            accepted[next].send(&frame, frame.len());
            made += 1;
        }
    });
    let heard = watches.iter().filter(|watch| watch.events > 0).count();
    println!("{heard} of 300 heard after {end} ms; {made} lists made");
    assert_eq!(heard, 300, "after {end} ms and {made} lists");
}
