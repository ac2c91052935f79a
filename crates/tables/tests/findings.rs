//! Findings of both table files.

#![allow(clippy::expect_used)]

use dw_tables::{Findings, Name, Source, Tables, parse_tables, validate};
use googletest::prelude::*;

fn parse(routes: &str, pools: &str) -> std::result::Result<Tables, Findings> {
    parse_tables(Source::new("routes", routes), Source::new("pools", pools))
}

/// The findings as text, without the accepted values.
fn findings(routes: &str, pools: &str) -> Vec<String> {
    let list = parse(routes, pools).expect_err("findings").list;
    list.iter().map(|f| format!("{}: {}: {}", f.place, f.name, f.message)).collect()
}

const POOLS: &str = r#"{ "pools": [{ "name": "p", "service": "s" }] }"#;

fn routes(rows: &[&str]) -> String {
    format!("{{ \"routes\": [\n{}\n] }}", rows.join(",\n"))
}

fn valid() -> Tables {
    let rows = routes(&[r#"{ "name": "r", "match": { "path": "/" }, "pool": "p" }"#]);
    parse(&rows, POOLS).expect("valid tables")
}

/// Guards against a check that stops at the first finding, or reports one with a wrong location.
#[gtest]
fn all_findings_of_both_files_are_reported() {
    let routes = r#"{
  "routes": [
    { "name": "a", "match": { "path": "/a", "hosts": "x" }, "pool": "legder" },
    { "name": "a", "match": { "path": "/b", "host": "X", "methods": ["get"] }, "pool": "ledger",
      "deadline": "2 s",
      "retries": 6 },
    { "name": "", "match": 5, "color": 1 },
    7,
  ],
  "route": []
}"#;
    let pools = r#"{ "pools": [
    { "name": "ledger", "service": "ledger", "balance": "best",
      "limits": { "queue": 0, "in_flight": 18446744073709551616, "queue_wait": 5 },
      "drain": "2h", "drain": "1h" },
    { "name": "a b", "service": true, "limits": { "in_flight": -1 }, "ejection": { "share": 34 } }
] }"#;
    expect_that!(
        findings(routes, pools),
        elements_are![
            eq("pools:2: row 1: ledger: balance: \"best\" is not known"),
            eq("pools:3: row 1: ledger: limits.queue: 0 is a limit of zero"),
            eq("pools:3: row 1: ledger: limits.in_flight: 18446744073709551616 is too large"),
            eq("pools:3: row 1: ledger: limits.queue_wait: the number 5 is not a text"),
            eq("pools:4: row 1: ledger: drain: 2h is too large"),
            eq("pools:4: row 1: ledger: the field \"drain\" is given twice"),
            eq("pools:5: row 2: a b: name: \"a b\" is not a name"),
            eq("pools:5: row 2: a b: service: true is not a text"),
            eq("pools:5: row 2: a b: limits.in_flight: -1 is not a whole number"),
            eq("pools:5: row 2: a b: ejection.share: 34 is too large"),
            eq("routes:3: row 1: a: the field \"match.hosts\" is unknown"),
            eq("routes:3: row 1: a: pool \"legder\" does not exist"),
            eq("routes:4: row 2: a: match.host: \"X\" is not a host name"),
            eq("routes:4: row 2: a: match.methods: \"get\" is not a known method"),
            eq("routes:4: row 2: a: row 1 has the same name"),
            eq("routes:5: row 2: a: deadline: \"2 s\" is not a duration"),
            eq("routes:6: row 2: a: retries: 6 is too large"),
            eq("routes:7: row 3: : name: the name is empty"),
            eq("routes:7: row 3: : the field \"match\" is not an object"),
            eq("routes:7: row 3: : the field \"color\" is unknown"),
            eq("routes:7: row 3: : the field \"pool\" is missing"),
            eq("routes:8: row 4: : the row is not an object"),
            eq("routes:10: route: the field is unknown"),
        ]
    );
    let list = parse(routes, pools).expect_err("findings").list;
    expect_that!(list.iter().all(|finding| !finding.accepted.is_empty()), eq(true));
}

/// Guards against a syntax error in one file that hides the findings of the other, or that reports
/// every reference to it as missing.
#[gtest]
fn syntax_error_is_one_finding() {
    let rows = routes(&[r#"{ "name": "r", "match": { "path": "x" }, "pool": "p" }"#]);
    expect_that!(
        findings(&rows, "{ \"pools\": [\n{ \"name\": \"p\" \"service\": \"s\" }] }"),
        elements_are![
            eq("pools:2: syntax: a comma is missing before this value"),
            eq("routes:2: row 1: r: match.path: the path \"x\" does not start with '/'"),
        ]
    );
    for text in ["", "{", "[]", "// nothing", "{ routes: [] }", "{}", "{ \"routes\": 1 }"] {
        expect_that!(findings(text, POOLS), len(eq(1)), "{text}");
    }
}

/// Guards against a stack overflow: the parser recurses on each level.
#[gtest]
fn deep_nesting_is_refused() {
    let text = "[".repeat(1_000_000);
    expect_that!(findings(&text, POOLS), elements_are![contains_substring("deeper than 32")]);
}

/// Guards against two routes between which only the order of rows could decide.
#[gtest]
fn shadowed_routes_are_refused() {
    let row = |name: &str, matches: &str| {
        format!(r#"{{ "name": "{name}", "match": {{ {matches} }}, "pool": "p" }}"#)
    };
    let rows = [
        row("a", r#""path": "/x", "methods": ["GET", "HEAD"]"#),
        row("b", r#""path": "/x", "methods": ["GET"]"#),
        row("c", r#""path": "/x", "methods": ["HEAD", "POST"]"#),
        row("d", r#""path": "/x""#),
        row("e", r#""path": "/x""#),
        row("f", r#""path": "/x", "host": "h", "methods": ["GET"]"#),
        row("g", r#""path": "/x/y", "methods": ["GET"]"#),
    ];
    let rows: Vec<&str> = rows.iter().map(String::as_str).collect();
    expect_that!(
        findings(&routes(&rows), POOLS),
        elements_are![
            ends_with("b: the route can never match: its requests are taken by row 1 \"a\""),
            ends_with("c: HEAD of the same host and path is taken by row 1 \"a\""),
            ends_with("e: the route can never match: its requests are taken by row 4 \"d\""),
        ]
    );
}

/// Guards against a daemon that accepts tables which the command-line tool would refuse.
#[gtest]
fn assembled_tables_are_checked_alike() {
    expect_that!(validate(&valid()).list, is_empty());
    let mut tables = valid();
    tables.routes[0].deadline = 29_001.into();
    tables.routes[0].pool = Name::new("gone");
    tables.routes[0].matches.path = Name::new("/x/");
    tables.routes.push(tables.routes[0].clone());
    tables.pools[0].limits.queue = 0;
    let found: Vec<String> = validate(&tables).list.iter().map(ToString::to_string).collect();
    expect_that!(found, len(eq(9)));
    let expected = "routes: row 2: \"r\": row 1 has the same name; accepted: a name that is \
                    unique in its table";
    expect_that!(found, contains(eq(expected)));
    expect_that!(found, contains(contains_substring("limits.queue: 0 is a limit of zero")));
    expect_that!(found, contains(contains_substring("pool \"gone\" does not exist")));
}
