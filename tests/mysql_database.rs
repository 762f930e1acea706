//! The default database of a MySQL session: each statement runs in the database of its own session, whichever pooled
//! connection it uses and whichever sessions used that connection before.

#[path = "common/boxes.rs"]
mod boxes;
#[path = "common/stage.rs"]
mod stage;

use boxes::{Boxes, MYSQL, NO_DATABASE, WHICH_DATABASE};
use mysql::prelude::Queryable;
use mysql::{Conn, Error};
use stage::Stage;

/// A node with one engine and at most one pooled connection to it, which all sessions share.
fn one_connection() -> Boxes {
    Boxes::on(Stage::new(1, &MYSQL.replace(r#""mysql":{"#, r#""mysql":{"box_connections":1,"#)))
}

fn database_of(session: &mut Conn) -> String {
    session.query_first(WHICH_DATABASE).expect("the query failed").expect("the query has one row")
}

/// Starts a session with this default database. Its client prepares a statement anew each time.
fn connect(login: &mysql::OptsBuilder, database: Option<&str>) -> Conn {
    Conn::new(login.clone().db_name(database).stmt_cache_size(0)).expect("the login failed")
}

fn error_code(error: Error) -> u16 {
    match error {
        Error::MySqlError(error) => error.code,
        other => panic!("not an error packet: {other}"),
    }
}

// Guards against rows and loads of a foreign database: a session without a database ran in that of an earlier session.
#[test]
fn a_session_without_a_database_does_not_run_in_that_of_an_earlier_session() {
    for mut boxes in [Boxes::new(1), one_connection()] {
        let login = boxes.login("frost");
        let databases = boxes.with_client(
            move || {
                let mut leinster = connect(&login, Some("leinster"));
                let mut without = connect(&login, None);
                let databases =
                    [database_of(&mut leinster), database_of(&mut without), database_of(&mut leinster)];
                let load = "insert into stock values (?)";
                leinster.exec_drop(load, (1,)).expect("the load failed");
                without.exec_drop(load, (2,)).expect("the load failed");
                databases
            },
            |_| {},
        );
        assert_eq!(databases, ["leinster", NO_DATABASE, "leinster"]);
        let loads: Vec<Option<&str>> = boxes.runs[3..].iter().map(|run| run.database.as_deref()).collect();
        assert_eq!(loads, [Some("leinster"), None]);
    }
}

// Guards against a session that loses its database: a pool resets its sessions, and a reset keeps the default database.
#[test]
fn a_reset_keeps_the_database_and_drops_prepared_statements() {
    let mut boxes = Boxes::new(1);
    let login = boxes.login("frost");
    let (databases, code) = boxes.with_client(
        move || {
            let mut session = connect(&login, Some("munster"));
            let statement = session.prep(WHICH_DATABASE).expect("the statement can be prepared");
            session.reset().expect("the reset failed");
            let after_login = database_of(&mut session);
            session.select_db("leinster").expect("the database was not selected");
            session.reset().expect("the reset failed");
            let code = error_code(session.exec_drop(&statement, ()).expect_err("the statement was dropped"));
            ([after_login, database_of(&mut session)], code)
        },
        |_| {},
    );
    assert_eq!(databases, ["munster", "leinster"]);
    assert_eq!(code, 1243);
}

// Guards against loads in a foreign database: a statement belongs to the database that was the default when it was
// prepared, whatever the session has selected since.
#[test]
fn a_prepared_statement_runs_in_the_database_in_which_it_was_prepared() {
    let mut boxes = Boxes::new(2);
    let login = boxes.login("frost");
    let databases = boxes.with_client(
        move || {
            let mut session = connect(&login, None);
            let without = session.prep(WHICH_DATABASE).expect("the statement can be prepared");
            session.select_db("munster").expect("the database was not selected");
            let munster = session.prep(WHICH_DATABASE).expect("the statement can be prepared");
            session.query_drop("use leinster").expect("the database was not selected");
            let mut run =
                |statement| session.exec_first(statement, ()).expect("the query failed").unwrap_or_default();
            let prepared: [String; 2] = [run(&without), run(&munster)];
            (prepared, database_of(&mut session))
        },
        |_| {},
    );
    assert_eq!(databases, ([NO_DATABASE.to_owned(), "munster".to_owned()], "leinster".to_owned()));
}

// Guards against a pooled connection whose database is not the one that the pool assumes: prepared, `USE` would change
// it on the connection of one engine.
#[test]
fn a_use_statement_is_never_sent_to_an_engine() {
    let mut boxes = one_connection();
    let login = boxes.login("frost");
    let (codes, databases) = boxes.with_client(
        move || {
            let mut leinster = connect(&login, Some("leinster"));
            let mut munster = connect(&login, Some("munster"));
            let codes = [
                error_code(leinster.prep("use munster").map(drop).expect_err("USE was prepared")),
                error_code(leinster.prep("/*!40000 use munster */").map(drop).expect_err("USE was prepared")),
                error_code(leinster.query_drop("/*!40000 use munster */").expect_err("USE was sent")),
                error_code(leinster.query_drop("use munster extra").expect_err("USE was sent")),
            ];
            (codes, [database_of(&mut munster), database_of(&mut leinster)])
        },
        |_| {},
    );
    assert_eq!(codes, [1235; 4]);
    assert_eq!(databases, ["munster", "leinster"]);
    assert!(boxes.runs.iter().all(|run| run.text == WHICH_DATABASE));
}

// Guards against a session in the wrong database: the name was read from a fixed place in the text of `USE`.
#[test]
fn use_selects_the_database_in_every_form_in_which_clients_write_it() {
    let mut boxes = Boxes::new(1);
    let login = boxes.login("frost");
    let forms = [
        "use munster",
        "  USE munster ;",
        "/* pool */ use `munster`",
        "-- pool\n#\nuse\tmunster;",
        "use`munster`",
    ];
    let databases = boxes.with_client(
        move || {
            forms.map(|form| {
                let mut session = connect(&login, Some("leinster"));
                session.query_drop(form).expect("the database was not selected");
                database_of(&mut session)
            })
        },
        |_| {},
    );
    assert_eq!(databases, ["munster"; 5]);
}

// Guards against a session that loses its database on one connection: dropping a database unsets it on the connection
// that drops it.
#[test]
fn a_connection_that_dropped_a_database_serves_no_further_statement() {
    let mut boxes = one_connection();
    let login = boxes.login("frost");
    let databases = boxes.with_client(
        move || {
            let mut session = connect(&login, Some("munster"));
            session.query_drop("drop database munster").expect("the database was not dropped");
            let after_text = database_of(&mut session);
            session.exec_drop("drop database munster", ()).expect("the database was not dropped");
            [after_text, database_of(&mut session)]
        },
        |_| {},
    );
    assert_eq!(databases, ["munster"; 2]);
}
