//! The table of workspaces.

#![allow(clippy::expect_used)]

use dw_tables::{
    Delta, Findings, KeyError, KeyHash, RequestRate, Source, TableName, Tables, UnknownFields,
    Version, changes, conflicts, parse_pools, parse_routes, parse_tables, parse_with_workspaces,
    parse_workspaces, validate,
};
use googletest::prelude::*;

const ROUTES: &str = r#"{ "routes": [{ "name": "r", "match": { "path": "/" }, "pool": "p" }] }"#;
const POOLS: &str = r#"{ "pools": [{ "name": "p", "service": "s" }] }"#;

fn hash(key: &str) -> String {
    KeyHash::of(key.as_bytes()).expect("a key").to_hex()
}

/// The findings as text, without the accepted values.
fn findings(rows: &[String]) -> Vec<String> {
    let text = format!("{{ \"workspaces\": [\n{}\n] }}", rows.join(",\n"));
    let list = parse_workspaces("w", &text).expect_err("findings").list;
    list.iter().map(|f| format!("{}: {}: {}", f.place, f.name, f.message)).collect()
}

fn version(number: u64, rows: &str) -> Version {
    let text = format!(r#"{{ "workspaces": [{rows}] }}"#);
    let tables = Tables {
        routes: parse_routes("routes", ROUTES).expect("routes"),
        pools: parse_pools("pools", POOLS).expect("pools"),
        workspaces: parse_workspaces("workspaces", &text).expect("workspaces"),
        unknown: UnknownFields::default(),
    };
    Version::new(number, tables)
}

/// Guards against versions of deployments without workspaces that get another hash, and so a fork,
/// with this release.
#[gtest]
fn canonical_text_without_workspaces_is_unchanged() {
    let tables = parse_tables(Source::new("r", ROUTES), Source::new("p", POOLS)).expect("tables");
    let text = r#"{"routes":[{"name":"r","match":{"host":"","path":"/","methods":[]},"pool":"p","split":[],"repeat":"once","deadline":"2s","retries":1,"priority":0,"objective":"1s"}],"pools":[{"name":"p","service":"s","balance":"two-choices","limits":{"in_flight":1024,"queue":32,"queue_wait":"100ms"},"prefer":"domain","drain":"30s","ejection":{"failures":5,"share":33,"time":"10s"}}]}"#;
    expect_that!(tables.canonical(), eq(text));
    expect_that!(Tables::from_canonical(text), ok(eq(&tables)));
    let delta = Delta::between(&Version::default(), &Version::new(1, tables));
    let delta = serde_json::to_string(&delta).expect("delta");
    expect_that!(delta, not(contains_substring("workspaces")));
}

/// Guards against an unusable row that is accepted, or a finding with a wrong location.
#[gtest]
fn findings_name_the_row() {
    let (one, two) = (hash("one"), hash("two"));
    let empty = "e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855";
    let rows = [
        format!(r#"{{ "name": "a", "keys": ["{one}", "{two}"], "rate": 2.5, "burst": 4 }}"#),
        format!(r#"{{ "name": "a", "keys": ["{two}"], "priority": 101, "rate": 1000001 }}"#),
        format!(r#"{{ "name": "c", "keys": ["{empty}"], "rate": 0.0001, "burst": 1000001 }}"#),
        format!(r#"{{ "name": "d", "keys": ["{one}", "{one}"], "rate": -1, "priority": null }}"#),
        r#"{ "name": "e", "keys": [""], "rate": "5" }"#.to_owned(),
    ];
    expect_that!(
        findings(&rows),
        elements_are![
            eq("w:3: row 2: a: priority: 101 is too large"),
            starts_with("w:3: row 2: a: rate: 1000001: not a number from 0 to"),
            eq("w:3: row 2: a: row 1 has the same name"),
            eq("w:3: row 2: a: key 1 also belongs to row 1"),
            eq("w:4: row 3: c: keys: key 1 is the hash of an empty key"),
            starts_with("w:4: row 3: c: rate: 0.0001: not a number"),
            eq("w:4: row 3: c: burst: 1000001 is too large"),
            eq("w:5: row 4: d: keys: key 2 is listed twice"),
            starts_with("w:5: row 4: d: rate: -1: not a number"),
            eq("w:6: row 5: e: keys: key 1 is empty"),
            eq("w:6: row 5: e: rate: \"5\" is not a number"),
        ]
    );
}

/// Guards against an error message, and so a terminal or a log, that shows a key or a hash which was
/// written in the wrong place.
#[gtest]
fn no_finding_shows_a_key() {
    let secret = "s3cret-key";
    for keys in [
        format!("\"{secret}\""),
        format!("[\"{secret}\"]"),
        format!("[[\"{secret}\"]]"),
        format!("{{\"key\": \"{secret}\"}}"),
        format!("[\"{0}\", \"{0}\"]", hash(secret)),
    ] {
        let text = findings(&[format!(r#"{{ "name": "a", "keys": {keys} }}"#)]).concat();
        expect_that!(text, contains_substring("row 1: a: keys: "));
        expect_that!(text, not(contains_substring(secret)));
        expect_that!(text, not(contains_substring(&hash(secret)[..8])));
    }
    let key = KeyHash::of(secret.as_bytes());
    expect_that!(format!("{key:?}"), eq("Ok(KeyHash(..))"));
}

/// Guards against an emptied file that removes the check of keys from all routes.
#[gtest]
fn a_table_without_rows_is_refused() {
    expect_that!(findings(&[]), elements_are![contains_substring("the table has no rows")]);
    let parse = |workspaces| {
        parse_with_workspaces(Source::new("r", ROUTES), Source::new("p", POOLS), workspaces)
    };
    expect_that!(parse(None), ok(anything()));
    let text = r#"{ "workspaces": [{ "name": "a b" }] }"#;
    let found: std::result::Result<Tables, Findings> = parse(Some(Source::new("w", text)));
    expect_that!(
        found.expect_err("findings").to_string(),
        starts_with("w:1: row 1: \"a b\": name")
    );
}

/// Guards against a daemon that accepts workspaces which the command-line tool would refuse.
#[gtest]
fn assembled_tables_are_checked_alike() {
    let row = format!(r#"{{ "name": "a", "keys": ["{}"] }}"#, hash("one"));
    let mut tables = version(1, &row).tables;
    expect_that!(validate(&tables).list, is_empty());
    let mut twin = tables.workspaces[0].clone();
    (twin.priority, twin.burst) = (Some(101), 1_000_001);
    tables.workspaces.push(twin);
    let found: Vec<String> = validate(&tables).list.iter().map(ToString::to_string).collect();
    expect_that!(
        found,
        unordered_elements_are![
            starts_with("workspaces: row 2: \"a\": priority: 101 is too large"),
            starts_with("workspaces: row 2: \"a\": burst: 1000001 is too large"),
            starts_with("workspaces: row 2: \"a\": row 1 has the same name"),
            starts_with("workspaces: row 2: \"a\": key 1 also belongs to row 1"),
        ]
    );
}

/// Guards against a delta that loses a key, and against a diff that shows hashes of keys.
#[gtest]
fn versions_differ_by_rows() {
    let (one, two) = (hash("one"), hash("two"));
    let old = version(1, &format!(r#"{{ "name": "a", "keys": ["{one}"] }}, {{ "name": "b" }}"#));
    let row = format!(r#"{{ "name": "a", "keys": ["{two}"], "rate": 0.5 }}, {{ "name": "c" }}"#);
    let new = version(2, &row);
    let delta = Delta::between(&old, &new);
    expect_that!((delta.workspaces.len(), delta.gone_workspaces.len()), eq((2, 1)));
    let text = serde_json::to_string(&delta).expect("delta");
    let read: Delta = serde_json::from_str(&text).expect("delta");
    expect_that!(read.apply(&old), ok(eq(&new)));

    let list = changes(&old.tables, &new.tables);
    expect_that!(list.iter().all(|row| row.table == TableName::Workspaces), eq(true));
    let names: Vec<&str> = list.iter().map(|row| row.name.as_str()).collect();
    expect_that!(names, eq(&["a", "b", "c"]));
    let keys = list[0].fields.iter().find(|field| field.path == "keys").expect("keys");
    expect_that!(keys.old, some(eq("1 keys, 1 removed")));
    expect_that!(keys.new, some(eq("1 keys, 1 added")));
    expect_that!(serde_json::to_string(&list).expect("list"), not(contains_substring(&two[..8])));

    let other = version(2, &format!(r#"{{ "name": "a", "keys": ["{one}"], "rate": 7 }}"#));
    let rows = conflicts(&old.tables, &new.tables, &other.tables);
    let names: Vec<&str> = rows.iter().map(|row| row.name.as_str()).collect();
    expect_that!(names, eq(&["a"]));
}

/// Guards against a rate that loses its decimals, or a small one that becomes no limit.
#[gtest]
fn rates_are_exact_to_a_thousandth() {
    for (text, thousandths) in [("0", 0), ("2", 2000), ("0.001", 1), ("33.1", 33_100)] {
        let rate: RequestRate = text.parse().expect("rate");
        expect_that!(rate.thousandths(), eq(thousandths));
        expect_that!(serde_json::to_string(&rate).expect("number"), eq(text));
        expect_that!(serde_json::from_str::<RequestRate>(text).expect("rate"), eq(rate));
    }
    for text in ["", ".", "1.", ".5", "1e3", "-1", "+1", "0.0001", "1000000.001"] {
        expect_that!(text.parse::<RequestRate>().is_err(), eq(true), "{text}");
    }
    expect_that!(RequestRate::try_from(0.0001).map(RequestRate::thousandths), ok(eq(1)));
    expect_that!(RequestRate::try_from(f64::NAN).is_err(), eq(true));
}

/// Guards against a text that can't be sent as a bearer token and is accepted as a key.
#[gtest]
fn keys_are_visible_ascii() {
    expect_that!(KeyHash::of(b""), err(eq(KeyError::Empty)));
    expect_that!(KeyHash::of(&[b'x'; 4096]), ok(anything()));
    expect_that!(KeyHash::of(&[b'x'; 4097]), err(eq(KeyError::TooLong)));
    for key in ["a b", "a\n", "é", "a\u{0}"] {
        expect_that!(KeyHash::of(key.as_bytes()), err(eq(KeyError::Malformed)), "{key:?}");
    }
}
