//! Prepared statements over the MySQL protocol through a rolling deploy of engines. The case checks that the rows that
//! a session gets, and the tables that its loads change, are those of its own database, before and after its next
//! execution goes to another engine.

mod common;
mod settings;

use common::*;

const READ: &str = "select v from stock";
const LOAD: &str = "insert into booked values (1)";
/// Engines at the start.
const ENGINES: usize = 6;
/// Engines that the deploy replaces, one after the other: half of them within 15 s.
const REPLACED: usize = 3;
/// Milliseconds between two replacements.
const EVERY_MS: u64 = 5_000;
/// Milliseconds between two turns of a session.
const TURN_MS: u64 = 50;
/// Turns with which the first session begins, before and after its reset, so that it has used every engine.
const WARM_UP: usize = 90;

fn main() {
    open_record(&std::env::args().nth(1).expect("the path of record.txt"));
    // `run` has ended its processes when it returns.
    let code = run().unwrap_or_else(|why| {
        record(&format!("case: could not run: {why}"));
        NOT_RUN
    });
    std::process::exit(code);
}

/// A session with its two prepared statements.
struct Till {
    session: MysqlClient,
    read: u32,
    load: u32,
    rows: Vec<String>,
}

impl Till {
    fn work(&mut self) {
        let row = self.session.execute(READ, self.read);
        self.rows.push(row);
        self.session.execute(LOAD, self.load);
    }
}

fn prepare(mut session: MysqlClient) -> Option<Till> {
    let (read, load) = (session.prepare(READ)?, session.prepare(LOAD)?);
    Some(Till { session, read, load, rows: Vec::new() })
}

/// Plays the case. Returns the exit code, or why the case could not run.
fn run() -> Result<i32, String> {
    let names = ["w1", "w2", "w3", "w4", "w5", "w6", "w7", "w8", "w9"];
    let servers: Vec<MysqlServer> = names.into_iter().map(MysqlServer::start).collect();
    let entry = |i: usize, state: u8, started: u64| Listed {
        id: i as u32 + 1,
        address: servers[i].address,
        state,
        zone: (i % 2) as u8,
        started,
    };
    let list = Bulletin::start((0..ENGINES).map(|i| entry(i, 0, 0)).collect());
    let mysql = format!("127.0.0.1:{}", free_port()).parse().unwrap();
    let section = format!(
        r#""mysql":{{"listen":"{mysql}","default_class":"delivery-load","box_user":"beamgap",
 "accounts":[{{"user":"till-leinster","tenant":"leinster"}},{{"user":"till-munster","tenant":"munster"}}],
 "rules":[{{"verb":"select","class":"lookup","work_ms":100,"memory_mb":80}}]}},"#
    );
    let known = list.known(&["room-a", "room-b"], "std-8");
    let config = settings::config(r#""Repeat":"pure""#, &known, &list.address.to_string(), &section);
    let front_end = FrontEnd::start(&config, Some(mysql))?;

    // A pooled session of munster: it works, is reset by its pool, and then uses prepared statements.
    let login =
        |name, user, database| MysqlClient::login(name, mysql, user, database).ok_or("login".to_owned());
    let mut session = login("munster", "till-munster", "munster")?;
    for _ in 0..WARM_UP {
        if session.query(READ) != "munster.stock" || session.query(LOAD) != "ok" {
            return Err("the first session does not work".to_owned());
        }
        sleep(TURN_MS);
    }
    if session.reset() != "ok" {
        return Err("the reset failed".to_owned());
    }
    let mut munster = prepare(session).ok_or("prepare")?;
    for _ in 0..WARM_UP {
        munster.work();
        sleep(TURN_MS);
    }
    if munster.rows.iter().any(|row| row != "munster.stock") {
        return Err("the first session does not work with prepared statements".to_owned());
    }
    // A session of leinster with the same statements and a database of its own.
    let mut leinster = prepare(login("leinster", "till-leinster", "leinster")?).ok_or("prepare")?;
    for step in 0..=REPLACED {
        for _ in 0..EVERY_MS / TURN_MS {
            leinster.work();
            munster.work();
            sleep(TURN_MS);
        }
        if with_trouble() && step < REPLACED {
            list.tell(vec![entry(ENGINES + step, 0, unix_ms()), entry(step, 1, 0)]);
        }
        if with_trouble() && step > 0 {
            list.tell(vec![entry(step - 1, 2, 0)]);
        }
    }
    drop(front_end);

    let wrong = leinster.rows.iter().filter(|row| row.starts_with("munster.")).count();
    let foreign = munster.rows.iter().filter(|row| row.starts_with("leinster.")).count() + wrong;
    let ran: Vec<Ran> = servers.iter().flat_map(|server| server.ran.lock().unwrap().clone()).collect();
    let (asked, applied) = (
        |till: &Till| till.session.sent.iter().filter(|what| what.contains(LOAD)).count(),
        |database: &str| ran.iter().filter(|(text, of)| text == LOAD && of == database).count(),
    );
    let misplaced = applied("leinster").saturating_sub(asked(&leinster))
        + applied("munster").saturating_sub(asked(&munster));
    if foreign > 0 {
        record(&format!("BROKEN: {foreign} results with rows of the other session's database"));
    }
    if misplaced > 0 {
        record(&format!("BROKEN: {misplaced} loads of one session were applied to the tables of the other"));
    }
    for till in [&leinster, &munster] {
        let (reads, loads) = (till.rows.len(), asked(till));
        record(&format!("case: session {}: {reads} executions of the read, {loads} loads", till.session.name));
    }
    record(&format!("case: loads applied: leinster {}, munster {}", applied("leinster"), applied("munster")));
    Ok(if foreign + misplaced > 0 { BROKEN } else { HELD })
}
