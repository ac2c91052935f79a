//! Compares the page `docs/tables.md` and the example tables with the code.

#![allow(clippy::expect_used)]

use dw_tables::{
    Field, MAX_CANONICAL_BYTES, MAX_FILE_BYTES, MAX_PART_BYTES, MAX_ROWS, POOL_FIELDS,
    ROUTE_FIELDS, Source, Tables, WORKSPACE_FIELDS, parse_tables, parse_workspaces,
};
use googletest::prelude::*;

const PAGE: &str = include_str!("../../../docs/tables.md");

fn parse(routes: &str, pools: &str) -> Tables {
    parse_tables(Source::new("routes", routes), Source::new("pools", pools)).expect("valid tables")
}

/// Guards against a page that states a field, default or limit which the code does not have.
#[gtest]
fn page_lists_every_field() {
    let (_, rest) = PAGE.split_once("## Routes").expect("routes");
    let (routes, rest) = rest.split_once("## Pools").expect("pools");
    let (pools, workspaces) = rest.split_once("## Workspaces").expect("workspaces");
    let sections = [(routes, ROUTE_FIELDS), (pools, POOL_FIELDS), (workspaces, WORKSPACE_FIELDS)];
    for (section, fields) in sections {
        let rows: Vec<&str> = section.lines().filter(|l| l.starts_with("| `")).collect();
        expect_that!(rows.len(), eq(fields.len()));
        for (row, field) in rows.iter().zip(fields) {
            let default = field.default.map_or("required".to_owned(), |text| format!("`{text}`"));
            expect_that!(*row, starts_with(format!("| `{}` | ", field.path)));
            expect_that!(*row, ends_with(format!(" | {} | {default} |", field.kind.accepted())));
        }
    }
    for limit in [MAX_ROWS, MAX_FILE_BYTES, MAX_CANONICAL_BYTES, MAX_PART_BYTES] {
        expect_that!(
            PAGE,
            contains_substring(format!(" {limit} ")).or(contains_substring(format!(" {limit}\n")))
        );
    }
}

/// Guards against a documented default that differs from the one a row gets.
#[gtest]
fn defaults_are_those_of_the_rows() {
    let routes = r#"{ "routes": [{ "name": "r", "match": { "path": "/" }, "pool": "p" }] }"#;
    let pools = r#"{ "pools": [{ "name": "p", "service": "s" }] }"#;
    let mut tables = parse(routes, pools);
    tables.workspaces = parse_workspaces("w", r#"{ "workspaces": [{ "name": "w" }] }"#).expect("w");
    let mut json = serde_json::to_value(&tables).expect("rows");
    // The only field that the canonical text omits at its default.
    expect_that!(json.pointer("/routes/0/public"), none());
    json["routes"][0]["public"] = tables.routes[0].public.into();
    let check = |table: &str, fields: &[Field]| {
        for (field, default) in fields.iter().filter_map(|f| f.default.map(|d| (f, d))) {
            let value = json.pointer(&format!("/{table}/0/{}", field.path.replace('.', "/")));
            if field.path == "capacity" {
                // Omitted at its default, so that the hash of tables without the field is unchanged.
                let stated = pools.replace(" }]", &format!(r#", "capacity": {default} }}]"#));
                expect_that!(stated, not(eq(pools)));
                expect_that!(parse(routes, &stated), eq(&parse(routes, pools)));
                expect_that!(value, none());
                continue;
            }
            let default: serde_json::Value = serde_json::from_str(default).expect("default");
            expect_that!(value, some(eq(&default)), "{}", field.path);
        }
    };
    check("routes", ROUTE_FIELDS);
    check("pools", POOL_FIELDS);
    check("workspaces", WORKSPACE_FIELDS);
}

/// Guards against an example that operators copy and the tool refuses.
#[gtest]
fn examples_are_accepted() {
    let blocks: Vec<&str> =
        PAGE.split("```jsonc\n").skip(1).filter_map(|b| b.split("```").next()).collect();
    expect_that!(parse(blocks[0], blocks[1]).routes, len(eq(1)));
    expect_that!(parse_workspaces("workspaces", blocks[2]), ok(len(eq(1))));
    let cooperative = parse(
        include_str!("../../../examples/cooperative/routes.jsonc"),
        include_str!("../../../examples/cooperative/pools.jsonc"),
    );
    let verband = parse(
        include_str!("../../../examples/verband/routes.jsonc"),
        include_str!("../../../examples/verband/pools.jsonc"),
    );
    let services = |tables: &Tables| -> Vec<String> {
        tables.pools.iter().map(|pool| pool.service.to_string()).collect()
    };
    expect_that!(services(&cooperative), elements_are![eq("tally"), eq("ledger"), eq("clearing")]);
    expect_that!(
        services(&verband),
        elements_are![eq("enquiry-board"), eq("claim-desk"), eq("diary")]
    );
}
