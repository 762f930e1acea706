//! What a statement leaves in its session, such as warnings: no other session that shares the pooled connection reads it.

#[path = "common/boxes.rs"]
mod boxes;
#[path = "common/stage.rs"]
mod stage;

use boxes::Boxes;
use mysql::prelude::Queryable;
use mysql::{Conn, Error};

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
