use std::collections::{HashMap, HashSet};

use crate::{
    Finding, Findings, Match, Name, Place, Pool, Route, Tables,
    field::Row,
    read::{Mark, Rows},
};

/// The most rows of a table.
pub const MAX_ROWS: usize = 10_000;

/// The longest canonical text of both tables, in bytes. A snapshot of it fits a frame of 4 MiB
/// between daemons, with room for the other fields of the message.
pub const MAX_CANONICAL_BYTES: usize = 3 * 1024 * 1024;

/// Names listed in a finding; more would hide the finding itself.
const MAX_LISTED: usize = 12;

/// Rows of one table with their places.
pub(crate) struct Placed<'a, T> {
    pub file: &'a str,
    pub rows: &'a [T],
    /// Where the rows stand in a file, or `None` if they come from no file.
    pub marks: Option<&'a [Mark]>,
    /// Whether the rows are known; not so after a syntax error.
    pub known: bool,
}

impl<'a, T: Row> Placed<'a, T> {
    /// Rows read from a file.
    pub(crate) fn read(file: &'a str, rows: &'a Rows<T>) -> Self {
        Self { file, rows: &rows.list, marks: Some(&rows.marks), known: rows.known }
    }

    /// Rows without a file.
    pub(crate) const fn assembled(file: &'a str, rows: &'a [T]) -> Self {
        Self { file, rows, marks: None, known: true }
    }

    /// Checks the fields of assembled rows by the rules that reading applies, then each name and
    /// the number of rows.
    pub(crate) fn check_rows(&self, findings: &mut Findings) {
        if self.marks.is_none() {
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
                if let Some(message) = field.kind.fault(value) {
                    let message = format!("{}: {message}", field.path);
                    self.report(findings, idx, field.path, message, field.kind.accepted());
                }
            }
        }
    }

    fn check_names(&self, findings: &mut Findings) {
        let mut seen: HashMap<&Name, usize> = HashMap::with_capacity(self.rows.len());
        for (idx, row) in self.rows.iter().enumerate().filter(|(idx, _)| self.intact(*idx, "name"))
        {
            if let Some(first) = seen.get(row.name()) {
                let message = format!("row {} has the same name", self.number(*first));
                let accepted = "a name that is unique in its table".to_owned();
                self.report(findings, idx, "name", message, accepted);
            } else {
                seen.insert(row.name(), idx);
            }
        }
    }

    /// Whether the field has no finding yet.
    fn intact(&self, idx: usize, path: &str) -> bool {
        self.marks.is_none_or(|marks| !marks[idx].broken.contains(&path))
    }

    /// The row in its table, from 1.
    fn number(&self, idx: usize) -> usize {
        self.marks.map_or(idx + 1, |marks| marks[idx].row)
    }

    fn report(
        &self,
        findings: &mut Findings,
        idx: usize,
        path: &str,
        message: String,
        accepted: String,
    ) {
        let line = self.marks.map_or(0, |marks| {
            let mark = &marks[idx];
            mark.fields.iter().find(|(field, _)| *field == path).map_or(mark.line, |(_, l)| *l)
        });
        let place = Place { file: self.file.to_owned(), line, row: self.number(idx) };
        let name = self.rows[idx].name().to_string();
        findings.push(Finding { place, name, message, accepted });
    }
}

/// Checks that each route references a pool that exists.
pub(crate) fn check_references(
    routes: &Placed<'_, Route>,
    pools: &Placed<'_, Pool>,
    findings: &mut Findings,
) {
    if !pools.known {
        return;
    }
    let names: HashSet<&Name> = pools.rows.iter().map(|pool| &pool.name).collect();
    for (idx, route) in routes.rows.iter().enumerate() {
        if routes.intact(idx, "pool") && !names.contains(&route.pool) {
            let message = format!("pool {:?} does not exist", route.pool.as_str());
            routes.report(findings, idx, "pool", message, listed(pools.rows));
        }
        if !routes.intact(idx, "split") {
            continue;
        }
        for share in route.split.iter().filter(|share| !names.contains(&share.pool)) {
            let message = format!("pool {:?} does not exist", share.pool.as_str());
            routes.report(findings, idx, "split", message, listed(pools.rows));
        }
    }
}

fn listed(pools: &[Pool]) -> String {
    let names: Vec<&str> = pools.iter().take(MAX_LISTED).map(|p| p.name.as_str()).collect();
    match pools.len() {
        0 => "the name of a pool; the table of pools has no rows".to_owned(),
        len if len > MAX_LISTED => {
            format!("one of {} and {} more", names.join(", "), len - MAX_LISTED)
        }
        _ => format!("one of {}", names.join(", ")),
    }
}

/// Checks that no two routes take the same request with the same rank (`Match::rank`). Row order
/// carries no meaning, because the canonical text sorts rows by name, so nothing else could decide
/// between them.
pub(crate) fn check_shadowed(routes: &Placed<'_, Route>, findings: &mut Findings) {
    let mut taken: HashMap<(&Name, &Name, &str), usize> = HashMap::with_capacity(routes.rows.len());
    for (idx, route) in routes.rows.iter().enumerate() {
        let fields = ["match.host", "match.path", "match.methods"];
        if !fields.iter().all(|path| routes.intact(idx, path)) {
            continue;
        }
        let Match { host, path, methods } = &route.matches;
        let any = methods.is_empty().then_some("");
        let mut clashes = Vec::new();
        for method in any.into_iter().chain(methods.iter().map(Name::as_str)) {
            let first = *taken.entry((host, path, method)).or_insert(idx);
            if first != idx {
                clashes.push((method, first));
            }
        }
        if !clashes.is_empty() {
            let message = shadow(routes, &clashes, methods.len().max(1));
            let accepted = "a combination of host, path and methods that no other row takes";
            routes.report(findings, idx, "match.path", message, accepted.to_owned());
        }
    }
}

fn shadow(routes: &Placed<'_, Route>, clashes: &[(&str, usize)], methods: usize) -> String {
    let mut rows: Vec<usize> = clashes.iter().map(|(_, first)| *first).collect();
    rows.sort_unstable();
    rows.dedup();
    let rows: Vec<String> = rows
        .iter()
        .map(|idx| format!("row {} {:?}", routes.number(*idx), routes.rows[*idx].name.as_str()))
        .collect();
    let rows = rows.join(" and ");
    if clashes.len() == methods {
        return format!("the route can never match: its requests are taken by {rows}");
    }
    let clashes: Vec<&str> = clashes.iter().map(|(method, _)| *method).collect();
    format!("{} of the same host and path is taken by {rows}", clashes.join(", "))
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
