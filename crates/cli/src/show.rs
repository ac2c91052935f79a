use std::time::{Duration, UNIX_EPOCH};

use dw_tables::{FieldChange, Head, RowChange};
use serde_json::Value as Json;

use crate::DaemonStatus;

/// A count with its noun, such as `1 row` or `2 rows`.
pub(crate) fn counted(count: usize, noun: &str) -> String {
    if count == 1 { format!("{count} {noun}") } else { format!("{count} {noun}s") }
}

/// Formats the change of a row: one line for the kind of change, then one for each field that
/// differs.
pub(crate) fn row_lines(row: &RowChange) -> Vec<String> {
    let title = format!("{} {:?} {}", row.table, row.name.as_str(), row.change);
    std::iter::once(title).chain(row.fields.iter().map(field_line)).collect()
}

/// Formats the change of a row, with the fields that differ, as one line.
pub(crate) fn row_line(row: &RowChange) -> String {
    let fields: Vec<String> = row.fields.iter().map(|f| field_line(f).trim().to_owned()).collect();
    match fields.as_slice() {
        [] => row.change.to_string(),
        fields => format!("{} ({})", row.change, fields.join("; ")),
    }
}

/// Formats a version of the history as one line.
pub(crate) fn head_line(head: &Head) -> String {
    let time = UNIX_EPOCH + Duration::from_millis(head.time.min(MAX_TIME_MS));
    let time = httpdate::fmt_http_date(time);
    let Head { number, author, change, hash, .. } = head;
    format!("version {number}  {time}  by {author}  change {change}  hash {hash}")
}

/// The latest time that can be formatted, in ms since the Unix epoch: the end of the year 9999.
/// `httpdate` panics on later times.
const MAX_TIME_MS: u64 = 253_402_300_799_000;

/// Formats the status of a daemon.
pub(crate) fn status_lines(status: &DaemonStatus) -> Vec<String> {
    let version = &status.version;
    let mut lines = vec![format!(
        "host {} in {}: version {} ({}) is {}",
        status.host, status.domain, version.number, version.hash, status.state
    )];
    for domain in &status.domains {
        lines.push(format!(
            "  {}: {}, {} of {} members, highest version {}",
            domain.domain, domain.state, domain.applied, domain.members, domain.highest
        ));
        for (label, hosts) in [("behind", &domain.behind), ("unreachable", &domain.unreachable)] {
            if !hosts.is_empty() {
                lines.push(format!("    {label}: {}", hosts.join(", ")));
            }
        }
    }
    for refused in &status.refused {
        let (number, hash) = (refused.number, &refused.hash);
        lines.push(format!("  refused: version {number} ({hash}): {}", refused.reason));
    }
    lines
}

fn field_line(field: &FieldChange) -> String {
    match (&field.old, &field.new) {
        (Some(old), Some(new)) => format!("  {}: {old} -> {new}", field.path),
        (None, Some(value)) | (Some(value), None) => format!("  {}: {value}", field.path),
        (None, None) => format!("  {}: {}", field.path, Json::Null),
    }
}
