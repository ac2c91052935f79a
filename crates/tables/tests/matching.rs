//! Matching of requests to routes.

use dw_tables::{Match, Name};
use googletest::prelude::*;

fn conditions(host: &str, path: &str, methods: &[&str]) -> Match {
    let methods = methods.iter().copied().map(Name::new).collect();
    Match { host: host.into(), path: path.into(), methods, ..Match::default() }
}

/// Guards against a prefix that matches a path with a longer segment.
#[gtest]
fn prefix_ends_at_a_segment() {
    let credits = conditions("", "/credits", &["POST"]);
    for (path, matched) in [
        ("/credits", true),
        ("/credits/", true),
        ("/credits/7", true),
        ("/creditsheet", false),
        ("/", false),
    ] {
        expect_that!(credits.is_match("any", path, "POST"), eq(matched), "{path}");
    }
    expect_that!(credits.is_match("any", "/credits", "GET"), eq(false));
    expect_that!(conditions("", "/", &[]).is_match("any", "/creditsheet", "TRACE"), eq(true));
    expect_that!(conditions("a", "/", &[]).is_match("b", "/", "GET"), eq(false));
}

/// Guards against an order other than the one of `docs/tables.md`.
#[gtest]
fn more_specific_routes_rank_first() {
    let ordered = [
        conditions("a", "/x/y", &["GET"]),
        conditions("a", "/x/y", &[]),
        conditions("a", "/", &[]),
        conditions("", "/x/y/z", &["GET"]),
        conditions("", "/x", &[]),
        conditions("", "/", &["GET"]),
    ];
    expect_that!(ordered.iter().map(Match::rank).is_sorted_by(|a, b| a < b), eq(true));
}
