//! Ordering of requests at the MySQL front. The operator's setting `order_by` decides which statements share an
//! ordering key.

#[path = "common/boxes.rs"]
mod boxes;
#[path = "common/stage.rs"]
mod stage;

use boxes::{Boxes, Next, MYSQL};
use mysql::prelude::Queryable;
use mysql::Conn;
use stage::{Stage, START};

/// Runs a load whose engine connection breaks, so that its ordering key is paused, and then a second load in another
/// session. Returns whether the second load had to wait for the end of the pause.
fn second_load_waits(order_by: &str, first: &str, second: &str) -> bool {
    second_load_waits_for(order_by, None, first, second)
}

/// Like `second_load_waits`, where the session of the first load has this default database.
fn second_load_waits_for(order_by: &str, database: Option<&str>, first: &str, second: &str) -> bool {
    let rule = format!(r#""rules":[{{"verb":"INSERT","class":"delivery-load"{order_by}}},"#);
    let section = MYSQL.replace(r#""rules":["#, &rule);
    assert!(section.contains("INSERT"), "the configuration lacks the rule: {section}");
    let mut boxes = Boxes::on(Stage::in_order_with(2, &section));
    boxes.next = vec![Next::Answer, Next::Drop];
    let (login, load) = (boxes.login("frost").db_name(database), first.to_owned());
    let broken = boxes
        .with_client(move || Conn::new(login).expect("the login failed").query_drop(load).is_err(), |_| {});
    assert!(broken, "a load whose engine connection broke did not fail");
    assert_eq!(boxes.runs.len(), 1);
    let (login, load) = (boxes.login("frost"), second.to_owned());
    let (mut turns, mut waited) = (0, false);
    boxes.with_client(
        move || Conn::new(login).expect("the login failed").query_drop(load).expect("the second load failed"),
        |boxes| {
            turns += 1;
            if turns > 300 && boxes.runs.len() == 1 {
                // The node has no further events, and the second load was not sent: the load waits for a timer.
                waited = true;
                let now = boxes.stage.clock.now();
                assert!(now - START < 2000.0, "the second load was not sent within 2 s");
                boxes.stage.clock.set(now + 5.0);
            }
        },
    );
    assert_eq!(boxes.runs.len(), 2);
    assert!(
        !waited || boxes.stage.clock.now() - START >= 400.0,
        "the second load was sent during the key's pause"
    );
    waited
}

#[test]
fn loads_of_one_account_have_their_key_in_common_where_nothing_is_said() {
    assert!(second_load_waits("", "insert into s_1.t values (1)", "insert into s_2.t values (2)"));
}

#[test]
fn loads_may_be_kept_in_order_by_table_group_alone() {
    let by = r#","order_by":"tables""#;
    assert!(second_load_waits(by, "insert into s_1.t values (1)", "insert into s_1.t values (2)"));
    assert!(!second_load_waits(by, "insert into s_1.t values (1)", "insert into s_2.t values (2)"));
}

// Guards against loads of one table group that run out of order: the tables of an unqualified name are those of the
// session's default database.
#[test]
fn an_unqualified_load_has_the_table_group_of_its_default_database() {
    let by = r#","order_by":"tables""#;
    let first = "insert into t values (1)";
    assert!(second_load_waits_for(by, Some("s_1"), first, "insert into s_1.t values (2)"));
    assert!(!second_load_waits_for(by, Some("s_1"), first, "insert into s_2.t values (2)"));
}

#[test]
fn sessions_need_not_wait_for_each_other() {
    assert!(!second_load_waits(
        r#","order_by":"session""#,
        "insert into s_1.t values (1)",
        "insert into s_1.t values (2)"
    ));
}
