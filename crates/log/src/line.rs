use std::{
    fmt::Write as _,
    time::{SystemTime, UNIX_EPOCH},
};

use dw_tables::Name;
use humantime::format_rfc3339_millis;

use crate::{Event, Field, LogFormat, LogLevel, field::push_quoted};

/// Writes one event as a line without its end.
pub(crate) fn line(
    event: &Event,
    host: &Name,
    request: Option<&Name>,
    format: LogFormat,
) -> String {
    let mut out = String::with_capacity(256);
    let level = event.kind.level();
    match format {
        LogFormat::Json => {
            out.push_str("{\"time\":\"");
            push_time(event.time, &mut out);
            push_level(level, "\",\"level\":\"", &mut out);
            out.push_str("\",\"host\":");
            push_quoted(host.as_str(), &mut out);
            out.push_str(",\"event\":\"");
            out.push_str(event.kind.as_str());
            out.push('"');
            let named = request.map(|id| (Field::Request, id.into()));
            for (field, value) in named.iter().chain(&event.fields) {
                out.push_str(",\"");
                out.push_str(field.as_str());
                out.push_str("\":");
                value.push_json(&mut out);
            }
            out.push('}');
        }
        LogFormat::Text => {
            push_time(event.time, &mut out);
            push_level(level, " ", &mut out);
            let _ = write!(out, " {host} {}", event.kind.as_str());
            let named = request.map(|id| (Field::Request, id.into()));
            for (field, value) in named.iter().chain(&event.fields) {
                let _ = write!(out, " {}=", field.as_str());
                value.push_text(&mut out);
            }
        }
    }
    out
}

fn push_level(level: LogLevel, before: &str, out: &mut String) {
    // Writing to a string does not fail.
    let _ = write!(out, "{before}{level}");
}

fn push_time(time: SystemTime, out: &mut String) {
    // A clock before 1970 has no text in this format.
    let _ = write!(out, "{}", format_rfc3339_millis(time.max(UNIX_EPOCH)));
}
