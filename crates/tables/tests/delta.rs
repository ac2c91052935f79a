//! Deltas between versions.

#![allow(clippy::expect_used)]

use dw_tables::{Delta, DeltaError, Tables, Version, parse_pools, parse_routes};
use googletest::prelude::*;

fn version(number: u64, deadline: &str) -> Version {
    let routes = format!(
        r#"{{ "routes": [{{ "name": "lookup", "match": {{ "path": "/" }}, "pool": "tally",
            "repeat": "idempotent", "deadline": "{deadline}" }}] }}"#
    );
    let pools = r#"{ "pools": [{ "name": "tally", "service": "tally" }] }"#;
    let routes = parse_routes("routes", &routes).expect("routes");
    let pools = parse_pools("pools", pools).expect("pools");
    Version::new(number, Tables { routes, pools })
}

/// Guards against a delta that yields rows other than those the operators accepted.
#[gtest]
fn delta_reproduces_the_new_version() {
    let (old, new) = (version(1, "1s"), version(2, "2s"));
    let delta = Delta::between(&old, &new);
    expect_that!(delta.apply(&old), ok(eq(&new)));
    expect_that!(delta.apply(&new), err(eq(&DeltaError::Base { wanted: 1, held: 2 })));
}
