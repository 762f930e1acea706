//! Analysis of SQL statements by the MySQL front: number of parameters, dependence on session state, and whether a
//! statement is read-only.

use beamgap::node::front::mysql::statement::{
    check_session_independent, count_parameters, is_read_only, words,
};

#[test]
fn only_question_marks_outside_strings_names_and_comments_are_parameters() {
    for (sql, count) in [
        ("select ? from t where a = ? and b = '?' and `c?` = \"?\"", 2),
        ("select 'it''s ?', 'a\\'?' -- ?\n, ? # ?", 1),
        ("select /* ? */ 1 /*! + ? */", 1),
        ("select 'open ?", 0),
    ] {
        assert_eq!(count_parameters(&words(sql.as_bytes())), count, "{sql}");
    }
}

#[test]
fn statements_bound_to_a_session_are_distinguished_from_those_that_can_move() {
    for sql in [
        "begin",
        "START TRANSACTION",
        "/* x */ set names utf8",
        "select @a := 1",
        "select 1; select 2",
        "create temporary table t (a int)",
        "select last_insert_id()",
        "select get_lock('a', 1)",
        "/*!40101 SET NAMES utf8 */",
        "insert into t values (1); commit",
        "kill 7",
        "load data infile 'x'",
    ] {
        assert!(check_session_independent(&words(sql.as_bytes())).is_err(), "{sql}");
    }
    for sql in ["select @@max_allowed_packet", "select 1;", "insert into t values ('@a; set')", "start"] {
        assert_eq!(check_session_independent(&words(sql.as_bytes())), Ok(()), "{sql}");
    }
}

#[test]
fn only_statements_without_any_write_or_lock_count_as_reads() {
    for sql in
        ["select 1", "(select 1) union (select 2)", "with a as (select 1) select * from a", "show tables"]
    {
        assert!(is_read_only(&words(sql.as_bytes())), "{sql}");
    }
    for sql in [
        "insert into t select 1",
        "select 1 into outfile 'x'",
        "with a as (select 1) delete from t",
        "select a from t for update",
        "call p()",
        "",
        "explain analyze delete from t",
        "select 1 /*! into @x */",
    ] {
        assert!(!is_read_only(&words(sql.as_bytes())), "{sql}");
    }
}

// Guards against the warnings, errors and generated values of another client's statement: a pooled connection has run
// statements of other sessions since.
#[test]
fn statements_that_read_what_an_earlier_statement_has_left_are_refused() {
    for sql in [
        "SHOW WARNINGS",
        "show warnings limit 5",
        "/* pool */ show /* x */ errors;",
        "show count(*) warnings",
        "/*!50000 show */ warnings",
        "/*M!100000 show */ warnings",
        "get diagnostics condition 1 message_text",
        "get current diagnostics condition 1 message_text",
        "select @@warning_count",
        "select @@session.error_count",
        "select @@SESSION . `warning_count`",
        "select @@`identity`",
        "select 1 + @@local.last_insert_id",
        "select `last_insert_id`()",
        "select \"ROW_COUNT\" ()",
        "select `GET_LOCK`('a', 1)",
    ] {
        assert!(check_session_independent(&words(sql.as_bytes())).is_err(), "{sql}");
    }
    for sql in [
        "show tables",
        "show count from t",
        "select warning_count, identity from `show warnings`",
        "select '@@warning_count', \"show warnings\"",
        "insert into errors values ('show errors')",
        "select @@version_comment",
        "select `last_insert_id` from t",
    ] {
        assert_eq!(check_session_independent(&words(sql.as_bytes())), Ok(()), "{sql}");
    }
}
