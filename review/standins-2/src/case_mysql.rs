//! Two clients of the MySQL front, of two tenants, on one front end. One asks for the warnings of its own statement.

use crate::mysql::{done, result, start_server, Answer, Logic, Session, AUTOCOMMIT};
use crate::world::{free_ports, sleep_ms, NodeConfig, Outcome, Verdict, World};

const ROUNDS: usize = 20;

pub fn run(world: &mut World) -> Outcome {
    let record = world.record.clone();
    let engines = [(1, start_server(record.clone(), Warnings::default)?)];
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
    let (mut foreign, mut refused) = (0, 0);
    for round in 0..ROUNDS {
        let read = munster.query("SELECT a FROM sales_17.stock")?;
        record.line(format!("munster: SELECT -> {read}"));
        if world.trouble {
            let statement = format!("INSERT INTO sales_17.orders VALUES ('leinster-secret-{round}')");
            let load = leinster.query(&statement)?;
            record.line(format!("leinster: INSERT -> {load}"));
        }
        let warnings = munster.query("SHOW WARNINGS")?;
        record.line(format!("munster: SHOW WARNINGS -> {warnings}"));
        match warnings {
            Answer::Rows(rows) => {
                foreign += usize::from(rows.iter().flatten().any(|v| v.contains("leinster")))
            }
            Answer::Error(_) | Answer::Done { .. } => refused += 1,
        }
    }
    world.all_run()?;
    let text = format!("in {foreign} of {ROUNDS} rounds munster was served rows made for leinster's statement; refused: {refused}");
    Ok(Verdict { held: foreign == 0, text })
}

/// The `mysql` section of deploy/operator.example.json, without passwords.
pub fn mysql_section(port: u16) -> String {
    format!(
        r#""mysql":{{"listen":"127.0.0.1:{port}","accounts":[{{"user":"till-leinster","tenant":"leinster"}},{{"user":"till-munster","tenant":"munster"}}],
"default_class":"delivery-load","rules":[{{"verb":"select","class":"lookup","work_ms":100,"memory_mb":80}},{{"verb":"show","class":"lookup"}}],"box_user":"beamgap","box_connections":48}},"#
    )
}

/// Logs in as soon as the front end listens.
pub fn log_in(port: u16, user: &str) -> Result<Session, String> {
    for _ in 0..100 {
        if let Ok(session) = Session::open(port, user) {
            return Ok(session);
        }
        sleep_ms(100);
    }
    Session::open(port, user)
}

/// A session that keeps the warnings of its last statement.
#[derive(Default)]
struct Warnings(Vec<String>);

impl Logic for Warnings {
    fn run(&mut self, statement: &str) -> Vec<u8> {
        let upper = statement.trim().to_ascii_uppercase();
        if upper.starts_with("SHOW WARNINGS") {
            let row = |text: &String| vec!["Warning".to_owned(), "1265".to_owned(), text.clone()];
            let rows: Vec<Vec<String>> = self.0.iter().map(row).collect();
            return result(&["Level", "Code", "Message"], &rows, AUTOCOMMIT);
        }
        self.0.clear();
        if upper.starts_with("SELECT") {
            return result(&["a"], &[vec!["1".into()]], AUTOCOMMIT);
        }
        // The value does not fit its column.
        if let Some(value) = statement.split('\'').nth(1) {
            self.0.push(format!("Data truncated for column 'note' at row 1: '{value}'"));
        }
        done(AUTOCOMMIT, self.0.len() as u8)
    }
}
