use std::collections::{HashMap, HashSet};

use crate::{
    Finding, Findings, KeyHash, Match, Name, Place, Pool, Route, Tables, Workspace,
    field::Row,
    read::{RowLocation, Rows},
};

/// The maximum number of rows of a table.
pub const MAX_ROWS: usize = 10_000;

/// The maximum size of the canonical text of the tables. A snapshot of it fits into a frame of
/// 4 MiB between daemons, with room for the other fields of the message.
pub const MAX_CANONICAL_BYTES: usize = 3 * 1024 * 1024;

/// The maximum number of pool names in a finding; a longer list would hide the finding itself.
const MAX_LISTED_POOLS: usize = 12;

/// The rows of one table with their locations.
pub(crate) struct LocatedRows<'a, T> {
    pub file: &'a str,
    pub rows: &'a [T],
    /// The locations of the rows in their file, or `None` if they were not read from a file.
    pub locations: Option<&'a [RowLocation]>,
    /// Whether the table could be parsed; false after a syntax error.
    pub parsed: bool,
}

impl<'a, T: Row> LocatedRows<'a, T> {
    /// Rows read from a file.
    pub(crate) fn from_file(file: &'a str, rows: &'a Rows<T>) -> Self {
        Self { file, rows: &rows.list, locations: Some(&rows.locations), parsed: rows.parsed }
    }

    /// Rows that were not read from a file.
    pub(crate) const fn without_file(file: &'a str, rows: &'a [T]) -> Self {
        Self { file, rows, locations: None, parsed: true }
    }

    /// Checks for duplicate names and for too many rows. The fields of rows that were not read from
    /// a file are checked first, by the rules that the parser applies.
    pub(crate) fn check_rows(&self, findings: &mut Findings) {
        if self.locations.is_none() {
            self.check_fields(findings);
        }
        self.check_names(findings);
        if self.rows.len() > MAX_ROWS {
            findings.push(Finding {
                place: Place { file: self.file.to_owned(), line: 0, row: 0 },
                name: self.file.to_owned(),
                message: format!("the table has {} rows", self.rows.len()),
                accepted: format!("at most {MAX_ROWS} rows"),
            });
        }
    }

    fn check_fields(&self, findings: &mut Findings) {
        for (idx, row) in self.rows.iter().enumerate() {
            for (field, value) in T::FIELDS.iter().zip(row.values()) {
                if let Some(message) = field.kind.value_error(value) {
                    let message = format!("{}: {message}", field.path);
                    self.report(findings, idx, field.path, message, field.kind.accepted());
                }
            }
        }
    }

    fn check_names(&self, findings: &mut Findings) {
        let mut seen: HashMap<&Name, usize> = HashMap::with_capacity(self.rows.len());
        for (idx, row) in
            self.rows.iter().enumerate().filter(|(idx, _)| self.is_valid(*idx, "name"))
        {
            if let Some(first) = seen.get(row.name()) {
                let message = format!("row {} has the same name", self.row_number(*first));
                let accepted = "a name that is unique in its table".to_owned();
                self.report(findings, idx, "name", message, accepted);
            } else {
                seen.insert(row.name(), idx);
            }
        }
    }

    /// Whether the field was read without a finding.
    fn is_valid(&self, idx: usize, path: &str) -> bool {
        self.locations.is_none_or(|locations| !locations[idx].invalid.contains(&path))
    }

    /// The number of the row in its table, from 1.
    fn row_number(&self, idx: usize) -> usize {
        self.locations.map_or(idx + 1, |locations| locations[idx].row)
    }

    fn report(
        &self,
        findings: &mut Findings,
        idx: usize,
        path: &str,
        message: String,
        accepted: String,
    ) {
        let line = self.locations.map_or(0, |locations| {
            let row = &locations[idx];
            row.fields.iter().find(|(field, _)| *field == path).map_or(row.line, |(_, l)| *l)
        });
        let place = Place { file: self.file.to_owned(), line, row: self.row_number(idx) };
        let name = self.rows[idx].name().to_string();
        findings.push(Finding { place, name, message, accepted });
    }
}

/// Checks that each route references a pool that exists.
pub(crate) fn check_references(
    routes: &LocatedRows<'_, Route>,
    pools: &LocatedRows<'_, Pool>,
    findings: &mut Findings,
) {
    if !pools.parsed {
        return;
    }
    let names: HashSet<&Name> = pools.rows.iter().map(|pool| &pool.name).collect();
    for (idx, route) in routes.rows.iter().enumerate() {
        if routes.is_valid(idx, "pool") && !names.contains(&route.pool) {
            let message = format!("pool {:?} does not exist", route.pool.as_str());
            routes.report(findings, idx, "pool", message, accepted_pools(pools.rows));
        }
        if !routes.is_valid(idx, "split") {
            continue;
        }
        for share in route.split.iter().filter(|share| !names.contains(&share.pool)) {
            let message = format!("pool {:?} does not exist", share.pool.as_str());
            routes.report(findings, idx, "split", message, accepted_pools(pools.rows));
        }
    }
}

fn accepted_pools(pools: &[Pool]) -> String {
    let names: Vec<&str> = pools.iter().take(MAX_LISTED_POOLS).map(|p| p.name.as_str()).collect();
    match pools.len() {
        0 => "the name of a pool; the table of pools has no rows".to_owned(),
        len if len > MAX_LISTED_POOLS => {
            format!("one of {} and {} more", names.join(", "), len - MAX_LISTED_POOLS)
        }
        _ => format!("one of {}", names.join(", ")),
    }
}

/// Checks that no two routes match the same request with the same rank (`Match::rank`). Nothing else
/// could decide between them: the order of rows has no meaning, because the canonical text sorts
/// rows by name.
pub(crate) fn check_shadowed(routes: &LocatedRows<'_, Route>, findings: &mut Findings) {
    let mut taken: HashMap<(&Name, &Name, &str), usize> = HashMap::with_capacity(routes.rows.len());
    for (idx, route) in routes.rows.iter().enumerate() {
        let fields = ["match.host", "match.path", "match.methods"];
        if !fields.iter().all(|path| routes.is_valid(idx, path)) {
            continue;
        }
        let Match { host, path, methods, .. } = &route.matches;
        let any = methods.is_empty().then_some("");
        let mut clashes = Vec::new();
        for method in any.into_iter().chain(methods.iter().map(Name::as_str)) {
            let first = *taken.entry((host, path, method)).or_insert(idx);
            if first != idx {
                clashes.push((method, first));
            }
        }
        if !clashes.is_empty() {
            let message = shadow_message(routes, &clashes, methods.len().max(1));
            let accepted = "a combination of host, path and methods that no other row takes";
            routes.report(findings, idx, "match.path", message, accepted.to_owned());
        }
    }
}

fn shadow_message(
    routes: &LocatedRows<'_, Route>,
    clashes: &[(&str, usize)],
    methods: usize,
) -> String {
    let mut rows: Vec<usize> = clashes.iter().map(|(_, first)| *first).collect();
    rows.sort_unstable();
    rows.dedup();
    let rows: Vec<String> = rows
        .iter()
        .map(|idx| format!("row {} {:?}", routes.row_number(*idx), routes.rows[*idx].name.as_str()))
        .collect();
    let rows = rows.join(" and ");
    if clashes.len() == methods {
        return format!("the route can never match: its requests are taken by {rows}");
    }
    let clashes: Vec<&str> = clashes.iter().map(|(method, _)| *method).collect();
    format!("{} of the same host and path is taken by {rows}", clashes.join(", "))
}

/// Checks that no key belongs to two workspaces: the name that a target receives would be arbitrary.
pub(crate) fn check_keys(workspaces: &LocatedRows<'_, Workspace>, findings: &mut Findings) {
    let keys = workspaces.rows.iter().map(|row| row.keys.len()).sum();
    let mut owners: HashMap<KeyHash, usize> = HashMap::with_capacity(keys);
    for (idx, workspace) in workspaces.rows.iter().enumerate() {
        for (key, hash) in (1..).zip(&workspace.keys) {
            let owner = *owners.entry(*hash).or_insert(idx);
            if owner != idx {
                let first = workspaces.row_number(owner);
                let message = format!("key {key} also belongs to row {first}");
                let accepted = "keys that no other workspace has".to_owned();
                workspaces.report(findings, idx, "keys", message, accepted);
            }
        }
    }
}

/// Checks the size of the canonical text.
pub(crate) fn check_size(tables: &Tables, findings: &mut Findings) {
    let size = tables.size();
    if size > MAX_CANONICAL_BYTES {
        findings.push(Finding {
            place: Place { file: "tables".to_owned(), ..Place::default() },
            name: "tables".to_owned(),
            message: format!("the canonical text has {size} bytes"),
            accepted: format!("at most {MAX_CANONICAL_BYTES} bytes"),
        });
    }
}
