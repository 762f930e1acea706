//! A planned restart while a request of a class with tokens runs at an engine. The case checks rule 2: a request of
//! which an attempt may have run is refused only if its class drops repeats at all engines.

mod common;
mod settings;

use common::*;

/// Longest time of the request's own budget, in milliseconds; the class's deadline.
const BUDGET_MS: u64 = 15_000;
/// Time for which each report runs at its engine, in milliseconds: within its deadline, past the restart.
const WORK_MS: u64 = 8_000;
/// From the signal to SIGKILL, in milliseconds: the longest deadline, taken as 3 s, and 0.7 s.
const KILL_MS: u64 = 3_700;

fn statement(number: usize) -> String {
    format!("update sales_{number}.days set closed = 1 -- work={WORK_MS}")
}

fn report(number: usize, id: u64, rid: &str, budget: u64) -> String {
    request(id, "report", rid, budget, &statement(number), "leinster", WORK_MS)
}

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
    let zones = ["room-a", "room-b"];
    let effect = r#""Repeat":"token","KeyScope":"zone","Window":5000"#;
    let config = settings::config(effect, &list.known(&zones, "std-8"), &list.address.to_string(), "");
    let mut front_end = FrontEnd::start(&config, None)?;
    // The deployment's other front end, which is not restarted.
    let other = FrontEnd::start(&config.replace("\"n1\"", "\"n2\"").replace("\"Me\":0", "\"Me\":1"), None)?;
    let mut client = Client::connect("c1", front_end.listen);
    client.send("alive", r#"{"jsonrpc":"2.0","id":1,"method":"alive","params":{}}"#);
    if !wait_for(5_000, || client.answer(1).is_some_and(|answer| answer.contains("\"pass\":true"))) {
        return Err("n1 is not ready".to_owned());
    }
    let names: Vec<String> = (0..3).map(|_| rid()).collect();
    for (i, name) in names.iter().enumerate() {
        let id = i as u64 + 2;
        client.send(&format!("report id={id} rid={name}"), &report(i, id, name, BUDGET_MS));
    }
    let at_engine =
        |name: &String| engines.iter().any(|e| e.came.lock().unwrap().iter().any(|(id, _)| id == name));
    if !wait_for(2_000, || names.iter().all(at_engine)) {
        return Err("not every report came to an engine within 2 s".to_owned());
    }
    record("case: an attempt of every report has come whole to an engine");
    sleep(500);
    let answered = |id: u64| client.answer(id).is_some();
    if with_trouble() {
        front_end.signal("TERM");
        let ended = wait_for(KILL_MS, || front_end.ended().is_some());
        record(&format!("front end: ended before SIGKILL is due: {ended}"));
        sleep(100);
    } else {
        wait_for(WORK_MS + 2_000, || (2..2 + names.len() as u64).all(answered));
    }
    let mut broken = 0;
    let mut second = Client::connect("c1 at n2", other.listen);
    for (i, name) in names.iter().enumerate() {
        let id = i as u64 + 2;
        let answer = client.answer(id).unwrap_or_default();
        if answer.contains("-32011") {
            broken += 1;
            record(&format!(
                "BROKEN: {name} came whole to an engine, and its client was told that a retry is harmless"
            ));
            // What a client does that is told so: it tries again, under a new name, at the other front end.
            if i == 0 {
                sleep(number_after(&answer, "\"backoff\":").unwrap_or(0));
            }
            second.send(&format!("report id={id} again"), &report(i, id, &rid(), BUDGET_MS - 6_000));
        }
    }
    if broken > 0 {
        wait_for(WORK_MS + 1_000, || (2..2 + broken).all(|id| second.answer(id).is_some()));
    }
    for i in 0..names.len() {
        let of = |e: &Engine| e.came.lock().unwrap().iter().filter(|(_, s)| *s == statement(i)).count();
        let runs: usize = engines.iter().map(of).sum();
        record(&format!("case: the statement of report {} was begun {runs} times", i + 2));
    }
    record(&format!("case: {broken} of {} requests refused although they may have run", names.len()));
    Ok(if broken > 0 { BROKEN } else { HELD })
}
