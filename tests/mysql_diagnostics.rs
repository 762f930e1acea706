//! What a statement leaves in its session, such as warnings or an open transaction: no other session that shares the pooled
//! connection meets it.

#[path = "common/boxes.rs"]
mod boxes;
#[path = "common/stage.rs"]
mod stage;

use boxes::{Boxes, Next, MYSQL};
use mysql::prelude::Queryable;
use mysql::{Conn, Error};
use stage::Stage;

const UNSUPPORTED: u16 = 1235;

fn error_code<T>(result: Result<T, Error>) -> Option<u16> {
    match result {
        Err(Error::MySqlError(error)) => Some(error.code),
        _ => None,
    }
}

// Guards against a tenant's values in the answers of another: SHOW WARNINGS ran on whichever connection was idle.
#[test]
fn warnings_of_another_sessions_statement_are_never_served() {
    let mut boxes = Boxes::new(1);
    let login = boxes.login("frost");
    let codes = boxes.with_client(
        move || {
            let mut leinster = Conn::new(login.clone()).expect("the login failed");
            let mut munster = Conn::new(login).expect("the login failed");
            munster.query_drop("select a from stock").expect("the query failed");
            leinster.query_drop("insert into stock values ('cut')").expect("the load failed");
            [
                error_code(munster.query_drop("show warnings")),
                error_code(munster.query_drop("SHOW COUNT(*) ERRORS")),
                error_code(munster.query_drop("select @@session.`warning_count`")),
                error_code(munster.prep("show warnings").map(drop)),
            ]
        },
        |_| {},
    );
    assert_eq!(codes, [Some(UNSUPPORTED); 4]);
    let texts: Vec<&str> = boxes.runs.iter().map(|run| run.text.as_str()).collect();
    assert_eq!(texts, ["select a from stock", "insert into stock values ('cut')"]);
}

/// Runs a statement of one session, which the engine answers with `next`, and then loads of another. Returns whether the
/// loads ran on the connection of the first statement.
fn loads_share_connection_with(statement: &'static str, next: Next) -> bool {
    let one_connection = MYSQL.replace(r#""mysql":{"#, r#""mysql":{"box_connections":1,"#);
    let mut boxes = Boxes::on(Stage::new(1, &one_connection));
    boxes.next = vec![next];
    let login = boxes.login("frost");
    boxes.with_client(
        move || {
            let mut leinster = Conn::new(login.clone()).expect("the login failed");
            let mut munster = Conn::new(login).expect("the login failed");
            // Whether the engine's answer is an error or not, the session may be changed.
            let _ = leinster.query_drop(statement);
            for row in 0..3 {
                munster.query_drop(format!("insert into stock values ({row})")).expect("the load failed");
            }
        },
        |_| {},
    );
    let connections: Vec<_> = boxes.runs.iter().map(|run| run.connection).collect();
    assert_eq!(connections.len(), 4);
    assert!(
        connections[1..].iter().all(|connection| *connection == connections[1]),
        "loads keep their connection"
    );
    connections[0] == connections[1]
}

// Guards against acknowledged rows that vanish: a procedure that failed left its transaction open on the pooled
// connection, and the rows of other sessions went into it.
#[test]
fn nothing_runs_on_a_connection_whose_session_a_statement_may_have_changed() {
    assert!(!loads_share_connection_with("call book('delivery-1')", Next::Error(1062)));
    assert!(!loads_share_connection_with("call book('delivery-1')", Next::Answer));
    assert!(!loads_share_connection_with("flush tables with read lock", Next::Answer));
    assert!(!loads_share_connection_with("insert into stock values (7)", Next::OpenTransaction));
    assert!(loads_share_connection_with("insert into stock values (7)", Next::Answer));
    assert!(loads_share_connection_with("insert into stock values (7)", Next::Error(1062)));
}
