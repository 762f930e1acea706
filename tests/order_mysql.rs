//! Statements of a class that keeps order, over MySQL: the operator says what has a key in common.

#[path = "common/boxes.rs"]
mod boxes;
#[path = "common/stage.rs"]
mod stage;

use boxes::{Boxes, Next, MYSQL};
use mysql::prelude::Queryable;
use mysql::Conn;
use stage::{Stage, START};

/// One session's load breaks, so that its key rests; a load comes in a session of its own. Tells whether that one has
/// waited for the rest.
fn waits(order_by: &str, first: &str, second: &str) -> bool {
    let rule = format!(r#""rules":[{{"verb":"INSERT","class":"delivery-load"{order_by}}},"#);
    let section = MYSQL.replace(r#""rules":["#, &rule);
    assert!(section.contains("INSERT"), "the rule stands in {section}");
    let mut boxes = Boxes::on(Stage::in_order_with(2, &section));
    boxes.next = vec![Next::Answer, Next::Drop];
    let (login, load) = (boxes.login("frost"), first.to_owned());
    let broken = boxes.with_client(
        move || Conn::new(login).expect("the account is let in").query_drop(load).is_err(),
        |_| {},
    );
    assert!(broken, "a load whose connection breaks is failed");
    assert_eq!(boxes.runs.len(), 1);
    let (login, load) = (boxes.login("frost"), second.to_owned());
    let (mut turns, mut waited) = (0, false);
    boxes.with_client(
        move || Conn::new(login).expect("the account is let in").query_drop(load).expect("it is served"),
        |boxes| {
            turns += 1;
            if turns > 300 && boxes.runs.len() == 1 {
                // All has been worked off and it has not gone out: only time helps.
                waited = true;
                let now = boxes.stage.clock.now();
                assert!(now - START < 2000.0, "it never goes out");
                boxes.stage.clock.set(now + 5.0);
            }
        },
    );
    assert_eq!(boxes.runs.len(), 2);
    assert!(!waited || boxes.stage.clock.now() - START >= 400.0, "it went before the rest was over");
    waited
}

#[test]
fn loads_of_one_account_have_their_key_in_common_where_nothing_is_said() {
    assert!(waits("", "insert into s_1.t values (1)", "insert into s_2.t values (2)"));
}

#[test]
fn loads_may_be_kept_in_order_by_table_group_alone() {
    let by = r#","order_by":"tables""#;
    assert!(waits(by, "insert into s_1.t values (1)", "insert into s_1.t values (2)"));
    assert!(!waits(by, "insert into s_1.t values (1)", "insert into s_2.t values (2)"));
}

#[test]
fn sessions_need_not_wait_for_each_other() {
    assert!(!waits(
        r#","order_by":"session""#,
        "insert into s_1.t values (1)",
        "insert into s_1.t values (2)"
    ));
}
