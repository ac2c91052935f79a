//! Which route takes a request.

use dw_tables::{Match, Name};
use googletest::prelude::*;

fn rule(host: &str, path: &str, methods: &[&str]) -> Match {
    let methods = methods.iter().copied().map(Name::new).collect();
    Match { host: host.into(), path: path.into(), methods }
}

/// Guards against a prefix that takes a request of a longer segment.
#[gtest]
fn prefix_ends_at_a_segment() {
    let credits = rule("", "/credits", &["POST"]);
    for (path, taken) in [
        ("/credits", true),
        ("/credits/", true),
        ("/credits/7", true),
        ("/creditsheet", false),
        ("/", false),
    ] {
        expect_that!(credits.is_match("any", path, "POST"), eq(taken), "{path}");
    }
    expect_that!(credits.is_match("any", "/credits", "GET"), eq(false));
    expect_that!(rule("", "/", &[]).is_match("any", "/creditsheet", "TRACE"), eq(true));
    expect_that!(rule("a", "/", &[]).is_match("b", "/", "GET"), eq(false));
}

/// Guards against an order other than the one of `docs/tables.md`.
#[gtest]
fn more_specific_routes_rank_first() {
    let ordered = [
        rule("a", "/x/y", &["GET"]),
        rule("a", "/x/y", &[]),
        rule("a", "/", &[]),
        rule("", "/x/y/z", &["GET"]),
        rule("", "/x", &[]),
        rule("", "/", &["GET"]),
    ];
    expect_that!(ordered.iter().map(Match::rank).is_sorted_by(|a, b| a < b), eq(true));
}
