use std::{collections::HashSet, marker::PhantomData};

use jsonc_parser::{
    ast::{Object, Value as Ast},
    common::Ranged,
};
use serde::de::DeserializeOwned;
use serde_json::{Map, Value as Json};

use crate::{
    Finding, Findings, Place, Source,
    field::{Field, Row},
    leaf::read_leaf,
    source::LineIndex,
};

/// The location of a row and its fields in a file.
#[derive(Clone, Debug, Default)]
pub(crate) struct RowLocation {
    /// The number of the row in its table, from 1.
    pub row: usize,
    /// The line of the row.
    pub line: usize,
    /// The lines of the fields that are present.
    pub fields: Vec<(&'static str, usize)>,
    /// Fields with a finding, whose value is therefore a placeholder or the default.
    pub invalid: Vec<&'static str>,
}

/// The rows read from one file.
pub(crate) struct Rows<T> {
    pub list: Vec<T>,
    pub locations: Vec<RowLocation>,
    /// Whether the table could be parsed; false after a syntax error.
    pub parsed: bool,
}

/// Reads the rows of `source`, an object with the array `key`, and adds every error to `findings`.
pub(crate) fn read_rows<T: Row + DeserializeOwned>(
    source: Source<'_>,
    key: &str,
    findings: &mut Findings,
) -> Rows<T> {
    let lines = LineIndex::new(source.text);
    let mut reader = Reader { source, lines, findings, row_type: PhantomData };
    let mut rows = Rows { list: Vec::new(), locations: Vec::new(), parsed: false };
    let Some(elements) = reader.read_table(key) else { return rows };
    rows.parsed = true;
    for (idx, element) in elements.iter().enumerate() {
        if let Some((row, location)) = reader.read_row(idx + 1, element) {
            rows.list.push(row);
            rows.locations.push(location);
        }
    }
    rows
}

struct Reader<'a, 'f, T> {
    source: Source<'a>,
    lines: LineIndex,
    findings: &'f mut Findings,
    row_type: PhantomData<T>,
}

/// A row that is being read.
struct Draft {
    name: String,
    location: RowLocation,
    /// Paths of the fields and nested objects read so far.
    seen: HashSet<String>,
    json: Map<String, Json>,
}

impl<'a, T: Row + DeserializeOwned> Reader<'a, '_, T> {
    fn read_table(&mut self, key: &str) -> Option<Vec<Ast<'a>>> {
        let accepted = format!("an object with the one field {key:?}, an array of rows");
        let root = match self.source.parse() {
            Ok(root) => root,
            Err(finding) => {
                self.findings.push(finding);
                return None;
            }
        };
        let line = self.line(&root);
        let Ast::Object(object) = root else {
            self.report(line, 0, key, "the file is not an object".to_owned(), accepted);
            return None;
        };
        let mut table = None;
        for prop in object.properties {
            let (line, name) = (self.line(&prop), prop.name.as_str());
            match prop.value {
                _ if name != key => {
                    self.report(line, 0, name, "the field is unknown".to_owned(), accepted.clone());
                }
                _ if table.is_some() => {
                    let message = "the field is given twice".to_owned();
                    self.report(line, 0, key, message, accepted.clone());
                }
                Ast::Array(array) => table = Some(array.elements),
                _ => {
                    let message = "the field is not an array".to_owned();
                    self.report(line, 0, key, message, accepted.clone());
                    return None;
                }
            }
        }
        if table.is_none() {
            self.report(line, 0, key, "the field is missing".to_owned(), accepted);
        }
        table
    }

    fn read_row(&mut self, row: usize, element: &Ast<'a>) -> Option<(T, RowLocation)> {
        let line = self.line(element);
        let Ast::Object(object) = element else {
            let message = "the row is not an object".to_owned();
            self.report(line, row, "", message, format!("an object with {}", field_names::<T>("")));
            return None;
        };
        let name = object.get_string("name").map(|s| s.value.to_string()).unwrap_or_default();
        let location = RowLocation { row, line, ..RowLocation::default() };
        let mut draft = Draft { name, location, seen: HashSet::new(), json: Map::new() };
        self.read_level(&mut draft, "", object);
        self.fill_required(&mut draft);
        let Draft { name, location, json, .. } = draft;
        match serde_json::from_value(Json::Object(json)) {
            Ok(value) => Some((value, location)),
            Err(e) => {
                self.report(line, row, &name, e.to_string(), "a row of this table".to_owned());
                None
            }
        }
    }

    fn read_level(&mut self, draft: &mut Draft, prefix: &str, object: &Object<'a>) {
        for prop in &object.properties {
            let line = self.line(prop);
            let path = format!("{prefix}{}", prop.name.as_str());
            let group = format!("{path}.");
            if draft.seen.contains(&path) {
                let message = format!("the field {path:?} is given twice");
                self.report_row(draft, line, message, "each field once".to_owned());
            } else if let Some(field) = T::FIELDS.iter().find(|f| f.path == path) {
                self.read_field(draft, field, line, &prop.value);
            } else if T::FIELDS.iter().any(|f| f.path.starts_with(&group)) {
                self.read_group(draft, &group, line, &prop.value);
            } else {
                let message = format!("the field {path:?} is unknown");
                self.report_row(draft, line, message, field_names::<T>(prefix));
            }
            draft.seen.insert(path);
        }
    }

    fn read_group(&mut self, draft: &mut Draft, group: &str, line: usize, value: &Ast<'a>) {
        if let Ast::Object(object) = value {
            return self.read_level(draft, group, object);
        }
        let fields = T::FIELDS.iter().filter(|f| f.path.starts_with(group));
        draft.location.invalid.extend(fields.map(|f| f.path));
        let message = format!("the field {:?} is not an object", group.trim_end_matches('.'));
        self.report_row(
            draft,
            line,
            message,
            format!("an object with {}", field_names::<T>(group)),
        );
    }

    fn read_field(
        &mut self,
        draft: &mut Draft,
        field: &'static Field,
        line: usize,
        value: &Ast<'a>,
    ) {
        draft.location.fields.push((field.path, line));
        match read_leaf(field.kind, value) {
            Ok(json) => draft.insert(field.path, json),
            Err(message) => {
                draft.location.invalid.push(field.path);
                let message = format!("{}: {message}", field.path);
                self.report_row(draft, line, message, field.kind.accepted());
            }
        }
    }

    /// Reports required fields that are missing, and sets placeholders for those and for invalid
    /// ones, so that the row can still be checked against others. All required fields are strings.
    fn fill_required(&mut self, draft: &mut Draft) {
        for field in T::FIELDS.iter().filter(|f| f.default.is_none()) {
            let invalid = draft.location.invalid.contains(&field.path);
            if !invalid && draft.seen.contains(field.path) {
                continue;
            }
            if !invalid {
                let message = format!("the field {:?} is missing", field.path);
                self.report_row(draft, draft.location.line, message, field.kind.accepted());
                draft.location.invalid.push(field.path);
            }
            draft.insert(field.path, Json::String(String::new()));
        }
    }

    fn report_row(&mut self, draft: &Draft, line: usize, message: String, accepted: String) {
        self.report(line, draft.location.row, &draft.name, message, accepted);
    }

    fn report(&mut self, line: usize, row: usize, name: &str, message: String, accepted: String) {
        let place = Place { file: self.source.file.to_owned(), line, row };
        self.findings.push(Finding { place, name: name.to_owned(), message, accepted });
    }

    fn line(&self, node: &impl Ranged) -> usize {
        self.lines.at(node.start())
    }
}

impl Draft {
    /// Sets the value of a field; paths have one or two segments.
    fn insert(&mut self, path: &str, value: Json) {
        let Some((group, leaf)) = path.split_once('.') else {
            self.json.insert(path.to_owned(), value);
            return;
        };
        let group = self.json.entry(group).or_insert_with(|| Json::Object(Map::new()));
        if let Json::Object(group) = group {
            group.insert(leaf.to_owned(), value);
        }
    }
}

/// The names of the fields and nested objects below `prefix`, for findings.
fn field_names<T: Row>(prefix: &str) -> String {
    let mut names: Vec<&str> = T::FIELDS
        .iter()
        .filter_map(|f| f.path.strip_prefix(prefix))
        .map(|rest| rest.split('.').next().unwrap_or(rest))
        .collect();
    names.dedup();
    format!("the fields {}", names.join(", "))
}
