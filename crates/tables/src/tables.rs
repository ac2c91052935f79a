use serde::{Deserialize, Serialize};

use crate::{Finding, Findings, Place, Pool, Route};

/// The two tables that operators edit.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Tables {
    /// The table of routes.
    pub routes: Vec<Route>,
    /// The table of pools.
    pub pools: Vec<Pool>,
}

impl Tables {
    /// The same rows in the order of their names, so that the hash does not depend on row order.
    #[must_use]
    pub fn sorted(mut self) -> Self {
        self.routes.sort_by(|a, b| a.name.cmp(&b.name));
        self.pools.sort_by(|a, b| a.name.cmp(&b.name));
        self
    }

    /// The canonical text: JSON of the sorted rows, which the content hash covers.
    #[must_use]
    pub fn canonical(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }

    /// Reads canonical text.
    ///
    /// # Errors
    /// What the JSON reader found.
    pub fn from_canonical(text: &str) -> Result<Self, serde_json::Error> {
        serde_json::from_str(text)
    }
}

/// Reads the table of routes from JSON with comments.
///
/// # Errors
/// Every finding with its place.
pub fn parse_routes(file: &str, text: &str) -> Result<Vec<Route>, Findings> {
    parse_rows(file, text, "routes")
}

/// Reads the table of pools from JSON with comments.
///
/// # Errors
/// Every finding with its place.
pub fn parse_pools(file: &str, text: &str) -> Result<Vec<Pool>, Findings> {
    parse_rows(file, text, "pools")
}

fn parse_rows<T: serde::de::DeserializeOwned>(
    file: &str,
    text: &str,
    key: &str,
) -> Result<Vec<T>, Findings> {
    let refuse = |message: String| {
        let place = Place { file: file.to_owned(), line: 1, row: 0 };
        let accepted = format!("an object with the array {key:?}");
        Findings { list: vec![Finding { place, name: key.to_owned(), message, accepted }] }
    };
    let value: serde_json::Value =
        jsonc_parser::parse_to_serde_value(text, &jsonc_parser::ParseOptions::default())
            .map_err(|e| refuse(e.to_string()))?
            .ok_or_else(|| refuse("the file is empty".to_owned()))?;
    let rows = value.get(key).cloned().ok_or_else(|| refuse(format!("{key:?} is missing")))?;
    serde_json::from_value(rows).map_err(|e| refuse(e.to_string()))
}

/// Checks rows against each other and against the limits of their fields.
#[must_use]
pub fn validate(tables: &Tables) -> Findings {
    let mut findings = Findings::default();
    for (idx, route) in tables.routes.iter().enumerate() {
        if tables.pools.iter().all(|pool| pool.name != route.pool) {
            let place = Place { file: "routes".to_owned(), line: 0, row: idx + 1 };
            let names: Vec<&str> = tables.pools.iter().map(|p| p.name.as_str()).collect();
            findings.push(Finding {
                place,
                name: route.pool.to_string(),
                message: format!(
                    "route {:?} names a pool that does not exist",
                    route.name.as_str()
                ),
                accepted: format!("one of: {}", names.join(", ")),
            });
        }
    }
    findings
}
