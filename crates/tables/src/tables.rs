use std::io;

use serde::{Deserialize, Serialize};

use crate::{
    Finding, Findings, Place, Pool, Route, Source, UnknownFields, Workspace,
    check::{LocatedRows, check_keys, check_references, check_shadowed, check_size},
    read::read_rows,
};

/// The tables that operators edit.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Tables {
    /// The table of routes.
    pub routes: Vec<Route>,
    /// The table of pools.
    pub pools: Vec<Pool>,
    /// The table of workspaces; without any, requests need no key.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub workspaces: Vec<Workspace>,
    /// Tables of a later release.
    #[serde(flatten)]
    pub unknown: UnknownFields,
}

impl Tables {
    /// The same rows sorted by name, so that the hash does not depend on the order of rows.
    #[must_use]
    pub fn sorted(mut self) -> Self {
        self.routes.sort_by(|a, b| a.name.cmp(&b.name));
        self.pools.sort_by(|a, b| a.name.cmp(&b.name));
        self.workspaces.sort_by(|a, b| a.name.cmp(&b.name));
        self
    }

    /// The number of rows of all tables.
    #[must_use]
    pub fn len(&self) -> usize {
        self.routes.len() + self.pools.len() + self.workspaces.len()
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

    /// The size of the canonical text in bytes.
    pub(crate) fn size(&self) -> usize {
        let mut count = ByteCounter(0);
        // Neither the counter nor the serialization of rows can fail.
        serde_json::to_writer(&mut count, self).map_or(0, |()| count.0)
    }

    /// Reads canonical text.
    ///
    /// # Errors
    /// The text is not JSON of the tables.
    pub fn from_canonical(text: &str) -> Result<Self, serde_json::Error> {
        serde_json::from_str(text)
    }
}

/// A writer that only counts the bytes written to it.
struct ByteCounter(usize);

impl io::Write for ByteCounter {
    fn write(&mut self, data: &[u8]) -> io::Result<usize> {
        self.0 += data.len();
        Ok(data.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Reads routes and pools from JSON with comments and checks them.
///
/// # Errors
/// Those of [`parse_with_workspaces`].
pub fn parse_tables(routes: Source<'_>, pools: Source<'_>) -> Result<Tables, Findings> {
    parse_with_workspaces(routes, pools, None)
}

/// Reads the tables from JSON with comments and checks them; the file of workspaces may be absent.
///
/// # Errors
/// Every finding of all files, with its location. A file with a syntax error yields that finding
/// only, and references to its rows are not checked then.
pub fn parse_with_workspaces(
    routes: Source<'_>,
    pools: Source<'_>,
    workspaces: Option<Source<'_>>,
) -> Result<Tables, Findings> {
    let mut findings = Findings::default();
    let read_routes = read_rows::<Route>(routes, "routes", &mut findings);
    let read_pools = read_rows::<Pool>(pools, "pools", &mut findings);
    let workspaces = workspaces.map_or_else(Vec::new, |s| read_workspaces(s, &mut findings));
    check(
        &LocatedRows::from_file(routes.file, &read_routes),
        &LocatedRows::from_file(pools.file, &read_pools),
        &mut findings,
    );
    let (routes, pools) = (read_routes.list, read_pools.list);
    let tables = Tables { routes, pools, workspaces, unknown: UnknownFields::default() };
    check_size(&tables, &mut findings);
    findings.into_result(tables)
}

/// Reads the table of routes from JSON with comments. References to pools are not checked.
///
/// # Errors
/// Every finding with its location.
pub fn parse_routes(file: &str, text: &str) -> Result<Vec<Route>, Findings> {
    let mut findings = Findings::default();
    let rows = read_rows::<Route>(Source::new(file, text), "routes", &mut findings);
    let located = LocatedRows::from_file(file, &rows);
    located.check_rows(&mut findings);
    check_shadowed(&located, &mut findings);
    findings.into_result(rows.list)
}

/// Reads the table of pools from JSON with comments.
///
/// # Errors
/// Every finding with its location.
pub fn parse_pools(file: &str, text: &str) -> Result<Vec<Pool>, Findings> {
    let mut findings = Findings::default();
    let rows = read_rows::<Pool>(Source::new(file, text), "pools", &mut findings);
    LocatedRows::from_file(file, &rows).check_rows(&mut findings);
    findings.into_result(rows.list)
}

/// Reads the table of workspaces from JSON with comments.
///
/// # Errors
/// Every finding with its location. No finding contains a key or its hash.
pub fn parse_workspaces(file: &str, text: &str) -> Result<Vec<Workspace>, Findings> {
    let mut findings = Findings::default();
    let list = read_workspaces(Source::new(file, text), &mut findings);
    findings.into_result(list)
}

fn read_workspaces(source: Source<'_>, findings: &mut Findings) -> Vec<Workspace> {
    let before = findings.list.len();
    let rows = read_rows::<Workspace>(source, "workspaces", findings);
    let located = LocatedRows::from_file(source.file, &rows);
    located.check_rows(findings);
    check_keys(&located, findings);
    if rows.parsed && rows.list.is_empty() && findings.list.len() == before {
        findings.push(Finding {
            place: Place { file: source.file.to_owned(), line: 1, row: 0 },
            name: "workspaces".to_owned(),
            message: "the table has no rows, so that no request would need a key".to_owned(),
            accepted: "at least one row, or no file".to_owned(),
        });
    }
    rows.list
}

/// Checks tables that were not parsed from files, by the same rules as [`parse_tables`]. The
/// locations of its findings have no line.
#[must_use]
pub fn validate(tables: &Tables) -> Findings {
    let mut findings = Findings::default();
    let routes = LocatedRows::without_file("routes", &tables.routes);
    let pools = LocatedRows::without_file("pools", &tables.pools);
    check(&routes, &pools, &mut findings);
    let workspaces = LocatedRows::without_file("workspaces", &tables.workspaces);
    workspaces.check_rows(&mut findings);
    check_keys(&workspaces, &mut findings);
    check_size(tables, &mut findings);
    findings
}

fn check(routes: &LocatedRows<'_, Route>, pools: &LocatedRows<'_, Pool>, findings: &mut Findings) {
    routes.check_rows(findings);
    pools.check_rows(findings);
    check_shadowed(routes, findings);
    check_references(routes, pools, findings);
}
