//! Versions for the simulated fleet.

use std::sync::Arc;

use dw_tables::{Hash, Tables, Version, parse_pools, parse_routes};

use super::World;

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
fn with_rows(version: Version, rows: usize) -> Version {
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

impl World {
    /// Operators accept the next version.
    pub(crate) fn apply(&mut self) -> u64 {
        let parent = self.accepted.last().map(|v| v.hash).unwrap_or_default();
        let number = self.accepted.len() as u64 + 1;
        let version = Arc::new(with_rows(version(number, "accepted"), self.rows));
        let event = self.platform.write(&version, parent);
        self.accepted.push(version);
        self.notify(&event);
        number
    }

    /// The operator writes the newest version once more.
    pub(crate) fn rewrite(&mut self) {
        let newest = self.accepted.last().expect("a version").clone();
        let parent = self.accepted.iter().rev().nth(1).map(|v| v.hash).unwrap_or_default();
        let event = self.platform.write(&newest, parent);
        self.notify(&event);
    }

    /// Puts an arbitrary version in place of the platform's head.
    pub(crate) fn overwrite(&mut self, version: &Version, parent: Hash) {
        let event = self.platform.write(version, parent);
        self.notify(&event);
    }
}
