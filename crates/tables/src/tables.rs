use std::io;

use serde::{Deserialize, Serialize};

use crate::{
    Findings, Pool, Route, Source,
    check::{Placed, check_references, check_shadowed, check_size},
    read::read_rows,
};

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

    /// Rows of both tables.
    #[must_use]
    pub fn len(&self) -> usize {
        self.routes.len() + self.pools.len()
    }

    /// Whether there are no rows.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// The canonical text: JSON of the sorted rows, which the content hash covers.
    #[must_use]
    pub fn canonical(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }

    /// Bytes of the canonical text.
    pub(crate) fn size(&self) -> usize {
        let mut count = Count(0);
        // Counting cannot fail, and the rows can be written.
        serde_json::to_writer(&mut count, self).map_or(0, |()| count.0)
    }

    /// Reads canonical text.
    ///
    /// # Errors
    /// What the JSON reader found.
    pub fn from_canonical(text: &str) -> Result<Self, serde_json::Error> {
        serde_json::from_str(text)
    }
}

/// Counts what is written to it.
struct Count(usize);

impl io::Write for Count {
    fn write(&mut self, data: &[u8]) -> io::Result<usize> {
        self.0 += data.len();
        Ok(data.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Reads both tables from JSON with comments and checks them.
///
/// # Errors
/// Every finding of both files, with its place. A file with a syntax error gives only that one,
/// and then references to its rows are not checked.
pub fn parse_tables(routes: Source<'_>, pools: Source<'_>) -> Result<Tables, Findings> {
    let mut findings = Findings::default();
    let read_routes = read_rows::<Route>(routes, "routes", &mut findings);
    let read_pools = read_rows::<Pool>(pools, "pools", &mut findings);
    check(
        &Placed::read(routes.file, &read_routes),
        &Placed::read(pools.file, &read_pools),
        &mut findings,
    );
    let tables = Tables { routes: read_routes.list, pools: read_pools.list };
    check_size(&tables, &mut findings);
    findings.into_result(tables)
}

/// Reads the table of routes from JSON with comments. References to pools are not checked.
///
/// # Errors
/// Every finding with its place.
pub fn parse_routes(file: &str, text: &str) -> Result<Vec<Route>, Findings> {
    let mut findings = Findings::default();
    let rows = read_rows::<Route>(Source::new(file, text), "routes", &mut findings);
    let placed = Placed::read(file, &rows);
    placed.check_rows(&mut findings);
    check_shadowed(&placed, &mut findings);
    findings.into_result(rows.list)
}

/// Reads the table of pools from JSON with comments.
///
/// # Errors
/// Every finding with its place.
pub fn parse_pools(file: &str, text: &str) -> Result<Vec<Pool>, Findings> {
    let mut findings = Findings::default();
    let rows = read_rows::<Pool>(Source::new(file, text), "pools", &mut findings);
    Placed::read(file, &rows).check_rows(&mut findings);
    findings.into_result(rows.list)
}

/// Checks assembled tables by the same rules as [`parse_tables`]; places have no line.
#[must_use]
pub fn validate(tables: &Tables) -> Findings {
    let mut findings = Findings::default();
    let routes = Placed::assembled("routes", &tables.routes);
    let pools = Placed::assembled("pools", &tables.pools);
    check(&routes, &pools, &mut findings);
    check_size(tables, &mut findings);
    findings
}

fn check(routes: &Placed<'_, Route>, pools: &Placed<'_, Pool>, findings: &mut Findings) {
    routes.check_rows(findings);
    pools.check_rows(findings);
    check_shadowed(routes, findings);
    check_references(routes, pools, findings);
}
