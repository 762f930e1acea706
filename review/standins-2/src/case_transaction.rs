//! Two clients of the MySQL front on one front end. A procedure that one of them calls fails half way, in its own
//! transaction; the other one's row is answered as done.

use crate::case_mysql::{log_in, mysql_section};
use crate::mysql::{done, failed, result, start_server, Answer, Logic, AUTOCOMMIT, IN_TRANSACTION};
use crate::world::{free_ports, sleep_ms, NodeConfig, Outcome, Verdict, World};
use std::sync::{Arc, Mutex};

const ROWS: usize = 5;
/// Idle connections to boxes are closed by both sides within the settings' 15 s.
const IDLE_MS: u64 = 16_000;

pub fn run(world: &mut World) -> Outcome {
    let record = world.record.clone();
    let table: Arc<Mutex<Vec<String>>> = Arc::default();
    let rows = table.clone();
    let open = move || Transactions { table: rows.clone(), pending: Vec::new(), status: AUTOCOMMIT };
    let engines = [(1, start_server(record.clone(), open)?)];
    let ports = free_ports(2)?;
    let mysql = mysql_section(ports[1]);
    let config = NodeConfig {
        name: "n1",
        number: 0,
        fronts: 1,
        listen: ports[0],
        sockets: 1024,
        bulletin: None,
        engines: &engines,
        extra: &mysql,
    };
    let path = world.write("n1.json", &config.json())?;
    world.front_end("n1", &[("NODE_CONFIG", path.display().to_string())])?;
    let (mut leinster, mut munster) = (log_in(ports[1], "till-leinster")?, log_in(ports[1], "till-munster")?);
    let calls = if world.trouble { 2 } else { 1 };
    for _ in 0..calls {
        let booked = leinster.query("CALL sales_17.book('delivery-1')")?;
        record.line(format!("leinster: CALL book -> {booked}"));
    }
    let mut taken = Vec::new();
    for n in 0..ROWS {
        let row = format!("order-{n}");
        let answer = munster.query(&format!("INSERT INTO sales_17.orders VALUES ('{row}')"))?;
        record.line(format!("munster: INSERT {row} -> {answer}"));
        if matches!(answer, Answer::Done { .. }) {
            taken.push(row);
        }
    }
    if taken.is_empty() {
        return Err("no row was taken".into());
    }
    sleep_ms(IDLE_MS);
    let kept = match munster.query("SELECT note FROM sales_17.orders")? {
        Answer::Rows(rows) => rows.into_iter().flatten().collect::<Vec<_>>(),
        other => return Err(format!("the rows can't be read: {other}")),
    };
    let in_table = table.lock().map_err(|e| e.to_string())?.clone();
    record.line(format!("munster reads {kept:?}; the box has {in_table:?}"));
    world.all_run()?;
    let lost = taken.iter().filter(|row| !kept.contains(row)).count();
    Ok(Verdict {
        held: lost == 0,
        text: format!("{lost} of {} rows that were answered as done are not there", taken.len()),
    })
}

/// A session of a server with transactions. `book` is a procedure: it begins a transaction, books, and commits. It
/// fails where the delivery is booked already, and leaves its transaction open then, as the server does not end it.
struct Transactions {
    table: Arc<Mutex<Vec<String>>>,
    pending: Vec<String>,
    status: u8,
}

impl Transactions {
    fn insert(&mut self, row: String) -> Vec<u8> {
        let Ok(mut table) = self.table.lock() else { return failed(1105, "poisoned") };
        if table.contains(&row) || self.pending.contains(&row) {
            return failed(1062, "Duplicate entry for key 'orders.note'");
        }
        let open = self.status & IN_TRANSACTION != 0;
        if open { &mut self.pending } else { &mut *table }.push(row);
        done(self.status, 0)
    }
}

impl Logic for Transactions {
    fn run(&mut self, statement: &str) -> Vec<u8> {
        let value = statement.split('\'').nth(1).unwrap_or_default().to_owned();
        let upper = statement.trim().to_ascii_uppercase();
        if upper.starts_with("CALL") {
            self.status |= IN_TRANSACTION;
            let answer = self.insert(value);
            if answer.get(4) == Some(&0xff) {
                return answer;
            }
            self.status = AUTOCOMMIT;
            if let Ok(mut table) = self.table.lock() {
                table.append(&mut self.pending);
            }
            return done(self.status, 0);
        }
        if upper.starts_with("INSERT") {
            return self.insert(value);
        }
        let table = self.table.lock().map(|table| table.clone()).unwrap_or_default();
        let rows: Vec<Vec<String>> =
            table.into_iter().chain(self.pending.clone()).map(|row| vec![row]).collect();
        result(&["note"], &rows, self.status)
    }
}
