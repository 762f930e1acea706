//! Many MySQL sessions with databases of their own on few pooled connections: each answer and each load is compared with
//! what a server that serves this one session would do.

#[path = "common/boxes.rs"]
mod boxes;
#[path = "common/stage.rs"]
mod stage;

use beamgap_fakes::draw::Draw;
use boxes::{Boxes, MYSQL, NO_DATABASE, WHICH_DATABASE};
use mysql::prelude::Queryable;
use mysql::{Conn, Error, OptsBuilder, Statement};
use stage::Stage;
use std::collections::HashMap;

const LOAD: &str = "insert into stock values (?)";
const DATABASES: [&str; 3] = ["leinster", "munster", "ulster"];
const ENGINES: usize = 4;
const SESSIONS: u64 = 4;
/// Smallest number of steps of each session.
const STEPS: u64 = 150;
/// Number of steps by which each session must have its answers. Sessions repeat rejected statements at once, so most
/// steps are rejected while a single engine is left.
const MAX_STEPS: u64 = 10 * STEPS;
/// Error code of a request that was rejected and has not run.
const REJECTED: u16 = 1040;

type Database = Option<String>;

/// A prepared statement, with the database that was the default when it was prepared.
struct Prepared {
    statement: Statement,
    database: Database,
}

/// A session and the default database that it must have.
struct Client {
    number: u64,
    draw: Draw,
    session: Conn,
    database: Database,
    query: Option<Prepared>,
    load: Option<Prepared>,
    /// The database that each load belongs to, by the load's number.
    loads: HashMap<u64, Database>,
    answers: usize,
}

impl Client {
    fn new(login: &OptsBuilder, number: u64, seed: u64) -> Client {
        let mut draw = Draw::new(seed.wrapping_mul(SESSIONS) + number);
        let database = drawn_database(&mut draw);
        let opts = login.clone().db_name(database.clone()).stmt_cache_size(0);
        let session = Conn::new(opts).expect("the login failed");
        let (query, load, loads) = (None, None, HashMap::new());
        Client { number, draw, session, database, query, load, loads, answers: 0 }
    }

    fn step(&mut self, step: u64) {
        match self.draw.below(10) {
            0 => self.select_database(),
            1 => {
                self.session.reset().expect("the reset failed");
                (self.query, self.load) = (None, None);
            }
            2..5 => {
                let answer = self.session.query_first(WHICH_DATABASE);
                let expected = self.database.clone();
                self.check_answer(answer, expected);
            }
            5..7 => self.run_prepared_query(),
            _ => self.run_prepared_load(step),
        }
    }

    fn select_database(&mut self) {
        let name = DATABASES[self.draw.below(3) as usize];
        let selected = match self.draw.below(2) {
            0 => self.session.select_db(name),
            _ => self.session.query_drop(format!("use {name}")),
        };
        selected.expect("the database was not selected");
        self.database = Some(name.to_owned());
    }

    fn prepare(&mut self, text: &str) -> Prepared {
        let statement = self.session.prep(text).expect("the statement was not prepared");
        Prepared { statement, database: self.database.clone() }
    }

    fn run_prepared_query(&mut self) {
        let query = match self.query.take() {
            Some(query) => query,
            None => self.prepare(WHICH_DATABASE),
        };
        let answer = self.session.exec_first(&query.statement, ());
        self.check_answer(answer, query.database.clone());
        self.query = Some(query);
    }

    fn run_prepared_load(&mut self, step: u64) {
        let load = match self.load.take() {
            Some(load) => load,
            None => self.prepare(LOAD),
        };
        let id = self.number * MAX_STEPS + step;
        self.loads.insert(id, load.database.clone());
        let result = self.session.exec_drop(&load.statement, (id,));
        self.check_error(result);
        self.load = Some(load);
    }

    fn check_answer(&mut self, answer: Result<Option<String>, Error>, expected: Database) {
        if let Some(answer) = self.check_error(answer) {
            let expected = expected.as_deref().unwrap_or(NO_DATABASE);
            assert_eq!(
                answer.as_deref(),
                Some(expected),
                "session {} ran in a foreign database",
                self.number
            );
        }
    }

    /// A statement may be rejected while all pooled connections are busy, but not fail otherwise.
    fn check_error<T>(&mut self, result: Result<T, Error>) -> Option<T> {
        match result {
            Ok(answer) => {
                self.answers += 1;
                Some(answer)
            }
            Err(Error::MySqlError(error)) if error.code == REJECTED => None,
            Err(error) => panic!("session {}: {error}", self.number),
        }
    }
}

fn drawn_database(draw: &mut Draw) -> Database {
    DATABASES.get(draw.below(4) as usize).map(|name| (*name).to_owned())
}

/// Runs the sessions at once while engines drain, and returns what each load belongs to and the number of answers.
fn run_sessions(boxes: &mut Boxes, seed: u64) -> (HashMap<u64, Database>, usize) {
    let login = boxes.login("frost");
    let mut drained = 0;
    boxes.with_client(
        move || {
            let run = |number| {
                let login = login.clone();
                std::thread::spawn(move || {
                    let mut client = Client::new(&login, number, seed);
                    let mut step = 0;
                    while step < STEPS || client.answers as u64 <= STEPS / 2 {
                        assert!(step < MAX_STEPS, "session {number}: {} answers", client.answers);
                        client.step(step);
                        step += 1;
                    }
                    (client.loads, client.answers)
                })
            };
            let sessions: Vec<_> = (0..SESSIONS).map(run).collect();
            let ended = sessions.into_iter().map(|session| session.join().expect("a session failed"));
            ended.fold((HashMap::new(), 0), |(mut loads, answers), (more, answered)| {
                loads.extend(more);
                (loads, answers + answered)
            })
        },
        |boxes| {
            boxes.stage.clock.set(boxes.stage.clock.now() + 0.1);
            if drained < ENGINES - 1 && boxes.runs.len() >= 80 * (drained + 1) {
                let house = boxes.runs.last().expect("a statement ran").house;
                boxes.stage.tell_of(house, &format!("{} 1", drained + 2));
                drained += 1;
            }
        },
    )
}

// Guards against rows and loads of a foreign database, whatever sessions do with their databases and statements.
#[test]
fn sessions_on_shared_connections_each_stay_in_their_own_database() {
    for seed in 0..8 {
        let section = MYSQL.replace(r#""mysql":{"#, r#""mysql":{"box_connections":2,"#);
        let mut boxes = Boxes::on(Stage::new(ENGINES, &section));
        let (loads, answers) = run_sessions(&mut boxes, seed);
        let ran: Vec<_> = boxes.runs.iter().filter(|run| run.text == LOAD).collect();
        for run in &ran {
            let value = run.bound.last_chunk::<8>().expect("the load has a number");
            let id = u64::from_le_bytes(*value);
            assert_eq!(run.database, loads[&id], "seed {seed}: load {id} ran in a foreign database");
        }
        let requests = (SESSIONS * STEPS) as usize;
        assert!(answers > requests / 2 && ran.len() > requests / 10, "seed {seed}: {answers} answers");
    }
}
