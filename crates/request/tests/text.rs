//! Texts of headers and metrics.

use std::{collections::HashSet, time::Duration};

use dw_request::{Load, Outcome, Reason};
use googletest::prelude::*;

/// Guards against two reasons with the same text, a header that another daemon cannot parse, and a
/// status that contradicts the outcome.
#[gtest]
fn reasons_have_stable_texts() {
    let texts: HashSet<_> = Reason::ALL.iter().map(|r| r.as_str()).collect();
    expect_that!(texts.len(), eq(Reason::ALL.len()));
    for reason in Reason::ALL {
        let text = reason.as_str();
        expect_that!(text.parse::<Reason>(), ok(eq(*reason)));
        expect_that!(text.bytes().all(|b| b.is_ascii_lowercase() || b == b'-'), eq(true), "{text}");
        let proven = matches!(reason.status(), 503 | 404 | 401 | 429);
        let denial = text.starts_with("retry-");
        expect_that!(reason.outcome() == Outcome::NotRun || denial, eq(proven), "{text}");
    }
    expect_that!("no-such-reason".parse::<Reason>(), err(anything()));
}

/// Guards against a load header that is parsed wrongly.
#[gtest]
fn loads_round_trip_through_the_header() {
    for leaving in [false, true] {
        let load =
            Load { in_flight: 3, slots: 12, queued: 7, shedding: true, leaving, ..Load::default() };
        expect_that!(load.to_string().parse::<Load>(), ok(eq(load)));
        let timed = Load { service: Some(Duration::from_micros(63_000)), ..load };
        expect_that!(timed.to_string().parse::<Load>(), ok(eq(timed)));
        expect_that!(timed.to_string(), eq(&format!("{load}/us=63000")));
        let limited = Load { limit: "31.5".parse().ok(), ..load };
        expect_that!(limited.to_string().parse::<Load>(), ok(eq(limited)));
    }
    for text in [
        "",
        "1/2/3",
        "1/2/3/0/0",
        "1/2/-3/0",
        "a/b/c/d",
        "1/2/3/0/",
        "1/2/3/leaving",
        "1/2/3/0/limit=-1",
        "1/2/3/0/us=-1",
        "1/2/3/0/us=",
    ] {
        expect_that!(text.parse::<Load>(), err(anything()), "{text}");
    }
}
