//! Extraction of the table group from SQL statements.

use beamgap::node::table_group::{table_group, table_group_in};

#[test]
fn the_schema_of_the_table_names_the_group() {
    for (sql, expected) in [
        ("SELECT * FROM sales_17.orders", Some(17)),
        ("select a from `stock_eu_3` . `t_9` where x = 1", Some(3)),
        ("select 'from x_1.a', \"d\" from \"s_2\".\"t\"", Some(2)),
        ("-- from a_1.b\nselect /* from a_2.b */ 1 from a_3.b # a_4.c", Some(3)),
        ("insert into staging.t_8 select * from s_5.t", Some(5)),
        ("select t_1.x from staging.q t_1 join sales_6.o on t_1.x = o.x", Some(6)),
        ("select 'it''s from x_1.y \\' from x_2.y' from z_4.y", Some(4)),
        ("update [depot_12].[stock] set n = 1", Some(12)),
        ("select * from a, b_7.c", Some(7)),
        ("delete from main.sales_8.t", Some(8)),
        ("select 1", None),
        ("select 1.5 from plain", None),
        ("select 'unclosed from a_1.b", None),
        ("/* unclosed from a_1.b", None),
        ("select * from a_99999999999999999999.b", None),
    ] {
        assert_eq!(table_group(sql.as_bytes()), expected, "{sql}");
    }
}

#[test]
fn an_unqualified_table_belongs_to_the_default_schema() {
    for (sql, expected) in [
        ("select * from orders", Some(17)),
        ("select t_1.x from orders t_1", Some(17)),
        ("insert into s_5.t select * from orders", Some(5)),
        ("update orders set n = 1", Some(17)),
        ("insert into staging.q values (1)", None),
        ("select * from staging.a join staging.b using (id)", None),
        ("select * from (select * from s_4.t) x", Some(4)),
        ("select 1", None),
    ] {
        assert_eq!(table_group_in(sql.as_bytes(), Some("sales_17")), expected, "{sql}");
    }
    assert_eq!(table_group_in(b"select * from orders", Some("sales")), None);
}
