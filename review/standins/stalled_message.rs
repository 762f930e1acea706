//! A client connection with open requests falls quiet in the middle of its next message, and goes on later. The case
//! checks that each request whose last byte was written gets its answer on that connection, which stays open.

mod common;
mod settings;

use common::*;

/// Time for which the connection is quiet, in milliseconds.
const QUIET_MS: u64 = 2_500;
/// Time for which each report runs at its engine, in milliseconds.
const WORK_MS: u64 = 4_500;
const BUDGET_MS: u64 = 15_000;
/// Requests that are open while the connection is quiet.
const OPEN: u64 = 4;

fn main() {
    open_record(&std::env::args().nth(1).expect("the path of record.txt"));
    // `run` has ended its processes when it returns.
    let code = run().unwrap_or_else(|why| {
        record(&format!("case: could not run: {why}"));
        NOT_RUN
    });
    std::process::exit(code);
}

/// Plays the case. Returns the exit code, or why the case could not run.
fn run() -> Result<i32, String> {
    let engines = [Engine::start("w1"), Engine::start("w2")];
    let listed = |(i, e): (usize, &Engine)| Listed {
        id: i as u32 + 1,
        address: e.address,
        state: 0,
        zone: i as u8,
        started: 0,
    };
    let list = Bulletin::start(engines.iter().enumerate().map(listed).collect());
    let known = list.known(&["room-a", "room-b"], "std-8");
    let config = settings::config(r#""Repeat":"pure""#, &known, &list.address.to_string(), "");
    let front_end = FrontEnd::start(&config, None)?;
    let mut client = Client::connect("c1", front_end.listen);
    client.send("alive", r#"{"jsonrpc":"2.0","id":1,"method":"alive","params":{}}"#);
    if !wait_for(5_000, || client.answer(1).is_some_and(|answer| answer.contains("\"pass\":true"))) {
        return Err("the front end is not ready".to_owned());
    }
    let mut taken: Vec<(u64, String)> = Vec::new();
    for id in 2..2 + OPEN {
        let name = rid();
        let statement = format!("select a, b, c from sales_{id}.orders -- work={WORK_MS}");
        client.send(
            &format!("report id={id} rid={name}"),
            &request(id, "report", &name, BUDGET_MS, &statement, "leinster", WORK_MS),
        );
        taken.push((id, name));
    }
    let at_engine =
        |name: &String| engines.iter().any(|e| e.came.lock().unwrap().iter().any(|(id, _)| id == name));
    if !wait_for(2_000, || taken.iter().all(|(_, name)| at_engine(name))) {
        return Err("not every report came to an engine within 2 s".to_owned());
    }
    // The next message of the same connection comes in two pieces.
    let last = 2 + OPEN;
    let name = rid();
    let statement = "select a, b, c from sales_9.stock -- work=50";
    let message = framed(&request(last, "lookup", &name, 2_500, statement, "leinster", 50));
    let (first, rest) = message.as_bytes().split_at(message.len() / 2);
    let written = client.write(first);
    record(&format!("client c1: first {} bytes of lookup id={last} written={written}", first.len()));
    if with_trouble() {
        record(&format!("client c1: the connection is quiet for {QUIET_MS} ms"));
        sleep(QUIET_MS);
    }
    let written = client.write(rest);
    record(&format!("client c1: the other {} bytes of lookup id={last} written={written}", rest.len()));
    wait_for(BUDGET_MS, || {
        client.seen.lock().unwrap().closed || taken.iter().all(|(id, _)| client.answer(*id).is_some())
    });
    sleep(200);
    let mut broken = 0;
    for (id, name) in &taken {
        if client.answer(*id).is_none() {
            broken += 1;
            record(&format!(
                "BROKEN: report id={id} rid={name} was taken, and its connection ended without an answer"
            ));
        }
    }
    record(&format!("case: {broken} of {} taken requests lost", taken.len()));
    Ok(if broken > 0 { BROKEN } else { HELD })
}
