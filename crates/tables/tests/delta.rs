//! Deltas between versions.

#![allow(clippy::expect_used)]

use dw_tables::{
    Change, Delta, DeltaError, RowChange, TableName, Tables, Version, changes, conflicts,
    parse_pools, parse_routes,
};
use googletest::prelude::*;

fn version(number: u64, deadline: &str) -> Version {
    let routes = format!(
        r#"{{ "routes": [{{ "name": "lookup", "match": {{ "path": "/" }}, "pool": "tally",
            "repeat": "idempotent", "deadline": "{deadline}" }}] }}"#
    );
    let pools = r#"{ "pools": [{ "name": "tally", "service": "tally" }] }"#;
    let routes = parse_routes("routes", &routes).expect("routes");
    let pools = parse_pools("pools", pools).expect("pools");
    Version::new(number, Tables { routes, pools, ..Tables::default() })
}

/// Guards against a delta that yields rows other than those the operators accepted.
#[gtest]
fn delta_reproduces_the_new_version() {
    let (old, new) = (version(1, "1s"), version(2, "2s"));
    let delta = Delta::between(&old, &new);
    expect_that!(delta.apply(&old), ok(eq(&new)));
    expect_that!(delta.apply(&new), err(eq(&DeltaError::BaseMismatch { wanted: 1, held: 2 })));
}

/// Guards against an earlier version that is restored with other rows than it had, after rows were added,
/// changed and removed.
#[gtest]
fn trusted_delta_restores_the_old_version() {
    let (old, mut next) = (version(1, "1s"), version(2, "2s").tables);
    let mut added = next.routes[0].clone();
    added.name = "added".into();
    added.matches.path = "/added".into();
    next.routes.push(added);
    let next = Version::new(2, next);
    let mut last = next.tables.clone();
    last.routes.retain(|route| route.name.as_str() == "added");
    let last = Version::new(3, last);
    let back = Delta::between(&last, &next).apply_trusted(&last);
    expect_that!(back, eq(&next));
    expect_that!(Delta::between(&next, &old).apply_trusted(&back), eq(&old));
}

/// Guards against a diff that does not show which fields an edit changes.
#[gtest]
fn changes_name_the_fields() -> Result<()> {
    let list = changes(&version(1, "1s").tables, &version(2, "2s").tables);
    let [RowChange { table: TableName::Routes, change: Change::Changed, fields, .. }] = &list[..]
    else {
        return fail!("{list:?}");
    };
    expect_that!(fields, len(eq(1)));
    expect_that!(fields[0].path, eq("deadline"));
    verify_that!(fields[0].new, some(eq("2s")))
}

/// Guards against a refused edit without the rows in which it conflicts with another operator's.
#[gtest]
fn conflicts_name_the_rows_of_both_edits() {
    let (base, mine, theirs) = (version(1, "1s"), version(2, "2s"), version(2, "3s"));
    let list = conflicts(&base.tables, &mine.tables, &theirs.tables);
    expect_that!(list, len(eq(1)));
    expect_that!(list[0].name.as_str(), eq("lookup"));
    let mut removed = base.tables.clone();
    removed.pools.clear();
    let list = conflicts(&base.tables, &removed, &theirs.tables);
    expect_that!(list, len(eq(1)));
    expect_that!((list[0].mine, list[0].theirs), eq((Change::Removed, Change::Referenced)));
}

/// Guards against deltas and conflicts that lose rows of tables of the largest size.
#[gtest]
fn large_tables_are_compared() {
    let version = |number, deadline: u64| {
        let mut tables = version(1, "1s").tables;
        let row = tables.routes.remove(0);
        tables.routes = (0..10_000_u64)
            .map(|idx| {
                let mut row = row.clone();
                row.name = format!("r{idx}").into();
                row.deadline = (deadline + idx % 2).into();
                row
            })
            .collect();
        Version::new(number, tables)
    };
    let (old, new) = (version(1, 1), version(2, 2));
    let delta = Delta::between(&old, &new);
    expect_that!(delta.routes, len(eq(10_000)));
    expect_that!(delta.apply(&old), ok(eq(&new)));
    expect_that!(conflicts(&old.tables, &new.tables, &version(2, 3).tables), len(eq(10_000)));
}

/// Canonical text with fields that a later release has in rows, in the objects of rows and in the tables.
const LATER_TEXT: &str = concat!(
    r#"{"routes":[{"name":"lookup","match":{"host":"","path":"/","methods":[],"zeta":{"b":1,"c":[null]}},"#,
    r#""pool":"tally","split":[],"repeat":"once","deadline":"1s","retries":1,"priority":0,"objective":"1s","#,
    r#""public":true,"mirror":"tally","cache":30}],"#,
    r#""pools":[{"name":"tally","service":"tally","balance":"two-choices","limits":{"in_flight":1024,"#,
    r#""queue":32,"queue_wait":"100ms","bytes":18446744073709551615},"prefer":"domain","drain":"30s","#,
    r#""ejection":{"failures":5,"share":33,"time":"10s","rate":0.25},"capacity":"learned","zones":[],"hedge":-1}],"#,
    r#""workspaces":[{"name":"w","keys":[],"priority":null,"rate":2.5,"burst":0,"tags":{"a":"b"}}],"#,
    r#""certificates":[{"name":"c"}],"alerts":[]}"#,
);

/// Guards against a daemon that refuses a version because of fields that a later release added, or that
/// computes another hash for it or passes it on without them.
#[gtest]
fn fields_of_a_later_release_are_kept() {
    let tables = Tables::from_canonical(LATER_TEXT).expect("tables");
    expect_that!(tables.canonical(), eq(LATER_TEXT));
    expect_that!(tables.pools[0].limits.queue, eq(32));
    let old = Version::new(1, tables);
    let next = LATER_TEXT.replace("\"cache\":30", "\"cache\":60");
    let next = Version::new(2, Tables::from_canonical(&next).expect("tables"));
    let delta = Delta::between(&old, &next);
    expect_that!(delta.len(), eq(1));
    let text = serde_json::to_string(&delta).expect("text");
    let text = text.replacen('{', "{\"later\":1,", 1);
    let delta: Delta = serde_json::from_str(&text).expect("delta");
    expect_that!(delta.apply(&old), ok(eq(&next)));
    // A delta has no rows of the tables that are not known; the receiver asks for all rows.
    let alerts = LATER_TEXT.replace("\"alerts\":[]", "\"alerts\":[1]");
    let alerts = Version::new(2, Tables::from_canonical(&alerts).expect("tables"));
    let error = DeltaError::HashMismatch { number: 2 };
    expect_that!(Delta::between(&old, &alerts).apply(&old), err(eq(&error)));
}
