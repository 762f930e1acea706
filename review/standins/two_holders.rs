//! A task of the fleet whose holder is cut off while it acts, and which is given a shorter lease. The case checks that
//! the task's target never has two acts at one time.

mod common;

use common::*;
use std::net::SocketAddr;

/// Length of the cut, in milliseconds.
const CUT_MS: u64 = 6_000;
/// Time that the first act takes at the target, in milliseconds; a step may take 10 s.
const FIRST_ACT_MS: u64 = 9_000;

fn main() {
    open_record(&std::env::args().nth(1).expect("the path of record.txt"));
    let code = run().unwrap_or_else(|why| {
        record(&format!("case: could not run: {why}"));
        NOT_RUN
    });
    std::process::exit(code);
}

fn config(name: &str) -> String {
    let listed = |i: u32| {
        format!(
            r#"{{"uid":"s-0000000{i}","endpoint":"127.0.0.1:1","az":"room-a","model":"std-8","pod_group":0,"state":"in_service","capacity_hint":1,"boot_ms":0}}"#
        )
    };
    format!(
        r#"{{"name":"{name}","listen":"{{LISTEN}}","seed":"5b1d0c7790ae3f21","limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},
 "known":{{"no":1,"items":[{{"no":1,"roster":{{"rev":1,"all":true,"targets":[{}]}}}}]}},
 "settings":{{"Azs":["room-a","room-b"],"Zone":"room-a","Balancers":5,"Me":0,"MachineTypes":["std-8"],
  "Classes":[{{"Name":"lookup","OnTime":500,"HardLimit":2500,"Repeat":"pure","Value":1}}],
  "Contract":{{"DrainGrace":250}},"Limits":{{"Cancel":true,"SendCap":6,"DialTimeout":250,"ConnIdle":15000}},"Report":{{"How":"off"}}}}}}"#,
        listed(1)
    )
}

fn operator(
    member: &str,
    seat: Option<(usize, &str)>,
    deciders: &[SocketAddr],
    target: SocketAddr,
    lease: (u32, u32),
) -> String {
    let seat =
        seat.map_or(String::new(), |(seat, folder)| format!("  seat = {seat}\n  folder = \"{folder}\"\n"));
    let blocks: Vec<String> = deciders
        .iter()
        .enumerate()
        .map(|(i, a)| format!("  decider \"{}\" {{\n    address = \"{a}\"\n  }}\n", i + 1))
        .collect();
    format!(
        "fleet {{\n  name = \"counter-fleet\"\n  member = \"{member}\"\n{seat}  task \"nightly-feed\" {{\n    call = \"http://{target}/feed\"\n    steps = 4\n    step_time = \"{} s\"\n    lease = \"{} s\"\n    unknown = \"skip\"\n    members = \"a,b\"\n  }}\n{}}}\n",
        lease.1, lease.0, blocks.concat()
    )
}

fn run() -> Result<i32, String> {
    let folder = std::env::temp_dir().join(format!("review-fleet-{}-{}", std::process::id(), rid()));
    std::fs::create_dir_all(&folder).map_err(|e| e.to_string())?;
    let result = play(&folder);
    let _ = std::fs::remove_dir_all(&folder);
    result
}

fn play(folder: &std::path::Path) -> Result<i32, String> {
    let target = Target::start(FIRST_ACT_MS);
    let deciders: Vec<SocketAddr> =
        (0..3).map(|_| format!("127.0.0.1:{}", free_port()).parse().unwrap()).collect();
    let file = |name: &str, text: String| -> Result<String, String> {
        let path = folder.join(name).to_string_lossy().into_owned();
        std::fs::write(&path, text).map_err(|e| e.to_string())?;
        Ok(path)
    };
    let mut members = Vec::new();
    let mut first = String::new();
    for seat in 1..=3 {
        let data = folder.join(format!("d{seat}"));
        std::fs::create_dir_all(&data).map_err(|e| e.to_string())?;
        let name = format!("d{seat}");
        let text = operator(&name, Some((seat, &data.to_string_lossy())), &deciders, target.address, (20, 10));
        let path = file(&format!("{name}.hcl"), text)?;
        members.push(FrontEnd::start_with(&config(&name), None, Some(&path))?);
        first = path;
    }
    sleep(1_000);
    command(&first, "fleet found");
    sleep(2_000);
    let mut relays = Vec::new();
    for name in ["a", "b"] {
        let through: Vec<Relay> = deciders.iter().map(|to| Relay::start(*to)).collect();
        let addresses: Vec<SocketAddr> = through.iter().map(|relay| relay.address).collect();
        let path = file(&format!("{name}.hcl"), operator(name, None, &addresses, target.address, (20, 10)))?;
        members.push(FrontEnd::start_with(&config(name), None, Some(&path))?);
        relays.push((name, through));
    }
    sleep(6_500);
    command(&first, "task apply");
    command(&first, "task run nightly-feed");
    if !wait_for(15_000, || !target.acts.lock().unwrap().is_empty()) {
        command(&first, "fleet status");
        command(&first, "task list");
        return Err("no act within 15 s".to_owned());
    }
    let list = command(&first, "task list");
    let holder = relays
        .iter()
        .find(|(name, _)| list.contains(&format!("held by {name} ")) || list.contains(&format!(" {name} ")))
        .ok_or("no holder named")?;
    record(&format!("case: the holder is {}", holder.0));
    if with_trouble() {
        holder.1.iter().for_each(|relay| relay.set_cut(true));
        record(&format!("relay: {} is cut off for {CUT_MS} ms", holder.0));
    }
    let cut_at = std::time::Instant::now();
    // The operator gives the task a shorter lease.
    let shorter =
        file("shorter.hcl", operator("d1", Some((1, "/nonexistent")), &deciders, target.address, (2, 1)))?;
    if std::env::var("REDEFINE").map_or(true, |value| value != "0") {
        command(&shorter, "task apply");
    }
    while cut_at.elapsed().as_millis() < u128::from(CUT_MS) {
        sleep(10);
    }
    holder.1.iter().for_each(|relay| relay.set_cut(false));
    record("relay: nothing is cut");
    wait_for(10_000, || target.acts.lock().unwrap()[0].to_ms.is_some());
    sleep(1_500);
    command(&first, "task list");
    command(&first, "task history nightly-feed");
    let acts = target.acts.lock().unwrap().clone();
    let mut broken = 0;
    for (i, one) in acts.iter().enumerate() {
        for two in &acts[i + 1..] {
            if one.token != two.token && one.to_ms.is_none_or(|end| two.from_ms < end) {
                broken += 1;
                record(&format!("BROKEN: two members act at one time: {one:?} and {two:?}"));
            }
        }
    }
    record(&format!("case: {} acts, {broken} pairs at one time under different tokens", acts.len()));
    Ok(if broken > 0 { BROKEN } else { HELD })
}
