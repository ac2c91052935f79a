//! Versions for the simulated fleet.

use std::sync::Arc;

use dw_tables::{Hash, Tables, Version, parse_pools, parse_routes};

use super::World;

/// Creates a version with the given number, whose hash depends on the text.
pub(crate) fn version(number: u64, text: &str) -> Version {
    let routes = format!(
        r#"{{ "routes": [{{ "name": "lookup", "match": {{ "path": "/{text}" }}, "pool": "tally",
            "deadline": "{number}ms" }}] }}"#
    );
    let pools = r#"{ "pools": [{ "name": "tally", "service": "tally" }] }"#;
    let routes = parse_routes("routes", &routes).expect("routes");
    let pools = parse_pools("pools", pools).expect("pools");
    Version::new(number, Tables { routes, pools, ..Tables::default() })
}

/// Adds routes that are the same in every version.
fn with_rows(version: Version, rows: usize) -> Version {
    let mut tables = version.tables;
    for idx in 0..rows as u64 {
        let mut route = tables.routes[0].clone();
        // Names without a pattern, like those that operators choose, so that the rows compress no
        // better than real ones.
        let digits = idx.wrapping_mul(0x9e37_79b9_7f4a_7c15).rotate_left(23);
        route.name = format!("row-{:x}", digits >> 24).as_str().into();
        route.matches.path = format!("/row/{digits:x}").as_str().into();
        route.deadline = 1_000.into();
        tables.routes.push(route);
    }
    Version::new(version.number, tables)
}

impl World {
    /// Writes the next version to the platform, as an operator does, and returns its number.
    pub(crate) fn apply(&mut self) -> u64 {
        let parent = self.accepted.last().map(|v| v.hash).unwrap_or_default();
        let number = self.accepted.len() as u64 + 1;
        let version = Arc::new(with_rows(version(number, "accepted"), self.rows));
        let event = self.platform.write(&version, parent);
        self.accepted.push(version);
        self.notify(&event);
        number
    }

    /// Writes the newest version once more, as an operator does.
    pub(crate) fn rewrite(&mut self) {
        let newest = self.accepted.last().expect("a version").clone();
        let parent = self.accepted.iter().rev().nth(1).map(|v| v.hash).unwrap_or_default();
        let event = self.platform.write(&newest, parent);
        self.notify(&event);
    }

    /// Replaces the platform's head with an arbitrary version.
    pub(crate) fn overwrite(&mut self, version: &Version, parent: Hash) {
        let event = self.platform.write(version, parent);
        self.notify(&event);
    }
}
