//! A new engine process at the address of one that has gone: it is never taken for the old one, whichever order service
//! discovery tells the changes in.

#[path = "common/stage.rs"]
mod stage;

use stage::{Stage, START};

const SERVING: u8 = 0;
const DRAINING: u8 = 1;
const GONE: u8 = 2;
const CHANGES: u8 = 2;
/// Id of the engine that takes over the address.
const SUCCESSOR: u32 = 77;

struct Discovery {
    stage: Stage,
    revision: u64,
}

impl Discovery {
    /// Starts a node with one engine, which runs the load `c1-1`.
    fn with_load() -> Discovery {
        let scenario = "c1 send ask 1 delivery-load 25000 insert into s_1.t values (1)
            w expect want c1-1 *";
        let mut stage = Stage::play(1, scenario);
        stage.expect("a watch on service discovery", |stage| {
            stage.watches().last().is_some_and(|peer| peer.input.len() >= 8)
        });
        Discovery { stage, revision: 1 }
    }

    /// Tells a change of the engine with this id at the address of the only engine.
    fn tell(&mut self, id: u32, state: u8, started: f64) {
        self.revision += 1;
        let address = self.stage.houses[0].address();
        let std::net::IpAddr::V4(ip) = address.ip() else { panic!("loopback is v4") };
        let mut record = id.to_be_bytes().to_vec();
        record.extend(ip.octets());
        record.extend(address.port().to_be_bytes());
        record.extend([state, 0, 0, 0, 0]);
        record.extend(1000u32.to_be_bytes());
        record.extend((started as u64).to_be_bytes());
        let mut frame = (9 + record.len() as u32).to_be_bytes().to_vec();
        frame.extend(self.revision.to_be_bytes());
        frame.push(CHANGES);
        frame.extend(record);
        self.stage.watches().last_mut().expect("a watch").push(&frame);
        (0..5).for_each(|_| self.stage.turn());
    }

    /// Sends a look-up, and expects it on a connection that was dialled after the first `before`.
    fn expect_lookup_on_new_connection(&mut self, id: u64, before: usize) {
        self.stage.go(&format!("c1 send ask {id} lookup 2500 select 1 from s_1.t\nw expect want c1-{id} *"));
        let (_, connection) = self.stage.current_connection();
        assert!(connection >= before, "sent on connection {connection} to the old process");
        self.stage.go(&format!("w send c1-{id} served pages=1 x\\t\\t\\n\nc1 expect {id} served x\\t\\t\\n"));
    }
}

// Guards against work for an engine that is gone: with its removal told late, or never, it stayed in use, and its
// requests went to the process that had taken its address.
#[test]
fn a_new_engine_at_an_address_shows_that_the_old_one_has_gone() {
    let mut discovery = Discovery::with_load();
    discovery.tell(SUCCESSOR, SERVING, 0.0);
    discovery.stage.go("c1 expect 1 error -32010");
    let before = discovery.stage.houses[0].conns.len();
    discovery.expect_lookup_on_new_connection(2, before);
    // What is told of the old engine afterwards does not concern the new one.
    discovery.tell(0, DRAINING, 0.0);
    discovery.expect_lookup_on_new_connection(3, before);
    discovery.tell(0, GONE, 0.0);
    discovery.expect_lookup_on_new_connection(4, before);
}

// Guards against connections that belong to an earlier process of the same engine: they stayed in use, as the address
// had not changed.
#[test]
fn an_engine_that_has_started_again_loses_the_connections_to_its_earlier_process() {
    let mut discovery = Discovery::with_load();
    discovery.stage.go("clock wait 400");
    discovery.tell(0, SERVING, START + 300.0);
    discovery.stage.go("c1 expect 1 error -32010");
    let before = discovery.stage.houses[0].conns.len();
    discovery.expect_lookup_on_new_connection(2, before);
    // A connection that was dialled after the start stays.
    let connections = discovery.stage.houses[0].conns.len();
    discovery.tell(0, SERVING, START + 301.0);
    discovery.expect_lookup_on_new_connection(3, before);
    assert_eq!(discovery.stage.houses[0].conns.len(), connections);
}
