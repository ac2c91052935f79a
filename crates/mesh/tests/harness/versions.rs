//! Versions for the simulated fleet.

use dw_tables::{Tables, Version, parse_pools, parse_routes};

/// A version with the given number and a text that makes its hash differ.
pub(crate) fn version(number: u64, text: &str) -> Version {
    let routes = format!(
        r#"{{ "routes": [{{ "name": "lookup", "match": {{ "path": "/{text}" }}, "pool": "tally",
            "deadline": "{number}ms" }}] }}"#
    );
    let pools = r#"{ "pools": [{ "name": "tally", "service": "tally" }] }"#;
    let routes = parse_routes("routes", &routes).expect("routes");
    let pools = parse_pools("pools", pools).expect("pools");
    Version::new(number, Tables { routes, pools })
}

/// Adds routes that are the same in each version.
pub(crate) fn with_rows(version: Version, rows: usize) -> Version {
    let mut tables = version.tables;
    for idx in 0..rows as u64 {
        let mut route = tables.routes[0].clone();
        // Names without a pattern, as operators choose them, so that rows do not compress better.
        let digits = idx.wrapping_mul(0x9e37_79b9_7f4a_7c15).rotate_left(23);
        route.name = format!("row-{:x}", digits >> 24).as_str().into();
        route.matches.path = format!("/row/{digits:x}").as_str().into();
        route.deadline = 1_000.into();
        tables.routes.push(route);
    }
    Version::new(version.number, tables)
}
