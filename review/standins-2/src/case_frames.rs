//! A decider is killed, the policy is changed a few times, and the decider is started again. Then the leader is
//! killed, so that two of three deciders are there.

use crate::engine;
use crate::fleet::Fleet;
use crate::rpc::{self, Got};
use crate::world::{sleep_ms, Outcome, Verdict, World};
use std::io::Write;
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// Changes of the policy while the decider is down.
const CHANGES: u32 = 6;
/// Engines that each of them leaves out, of a fleet of "3,200 at most".
const LEFT_OUT: u32 = 800;
/// Time for the decider that was down to catch up.
const CATCH_UP_MS: u64 = 12_000;
/// After the loss of a decider: the right of 5 s with its drift, 2 s for an election, and as much again.
const SETTLE_MS: u64 = 14_000;
const REQUESTS: u64 = 40;

pub fn run(world: &mut World) -> Outcome {
    let record = world.record.clone();
    let engines =
        [(1, engine::start("e1", 20, record.clone())?), (2, engine::start("e2", 20, record.clone())?)];
    let fleet = Fleet::start(world, &engines)?;
    let leader = fleet.found(world)?;
    let (down, other) = ((leader + 1) % 3, (leader + 2) % 3);
    let name = |member: usize| format!("n{}", member + 1);
    record.line(format!("leader=n{} goes down=n{} stays=n{}", leader + 1, down + 1, other + 1));
    if world.trouble {
        world.kill(&name(down));
    }
    for change in 0..CHANGES {
        let block = |n: u32| {
            format!(
                "engine \"s-{:08x}\" {{\n  left_out = true\n  why = \"is replaced in step {change}\"\n}}\n",
                0x100 + n
            )
        };
        let text: String = std::iter::once("form = 1\n".to_owned()).chain((0..LEFT_OUT).map(block)).collect();
        let file = world.write("policy.hcl", &text)?.display().to_string();
        record.line(format!("policy of {} bytes", text.len()));
        let (code, text) =
            world.command(&["policy", "propose", &file, "--by", "aoife", "--operator", &fleet.asking])?;
        if code != 0 {
            return Err(format!("the policy was not taken: {text}"));
        }
    }
    if world.trouble {
        fleet.restart(world, down)?;
    }
    sleep_ms(CATCH_UP_MS);
    world.command(&["fleet", "status", "--operator", &fleet.asking])?;
    world.kill(&name(leader));
    sleep_ms(SETTLE_MS);
    let (code, status) = world.command(&["fleet", "status", "--operator", &fleet.asking])?;
    let mut served = [0; 2];
    for n in 0..REQUESTS {
        for (i, member) in [other, down].into_iter().enumerate() {
            let mut stream =
                TcpStream::connect(("127.0.0.1", fleet.clients[member])).map_err(|e| e.to_string())?;
            let rid = 0xd000 + 2 * n + i as u64;
            stream.write_all(&rpc::lookup(1, rid, 2500)).map_err(|e| e.to_string())?;
            let got = rpc::read_answer(&mut stream, 1, Instant::now() + Duration::from_millis(3050));
            record.line(format!("client: {rid:016x} at n{} {got:?}", member + 1));
            served[i] += usize::from(matches!(got, Got::Answer(text) if text.contains("\"result\"")));
        }
        sleep_ms(100);
    }
    let text = format!(
        "with two of three deciders there, {} and {} of {REQUESTS} requests were served; status exit {code}: {}",
        served[0], served[1], status.lines().take(4).collect::<Vec<_>>().join(" | ")
    );
    Ok(Verdict { held: served.iter().all(|served| *served > 0), text })
}
