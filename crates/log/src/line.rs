use std::{
    fmt::Write as _,
    time::{SystemTime, UNIX_EPOCH},
};

use dw_tables::Name;
use humantime::format_rfc3339_millis;

use crate::{Event, Field, LogFormat, LogLevel, field::push_quoted};

/// Formats an event as a line, without the newline.
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
            let request_field = request.map(|id| (Field::Request, id.into()));
            for (field, value) in request_field.iter().chain(&event.fields) {
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
            let request_field = request.map(|id| (Field::Request, id.into()));
            for (field, value) in request_field.iter().chain(&event.fields) {
                let _ = write!(out, " {}=", field.as_str());
                value.push_text(&mut out);
            }
        }
    }
    out
}

fn push_level(level: LogLevel, prefix: &str, out: &mut String) {
    // Writing to a string does not fail.
    let _ = write!(out, "{prefix}{level}");
}

fn push_time(time: SystemTime, out: &mut String) {
    // Times before 1970 cannot be formatted.
    let _ = write!(out, "{}", format_rfc3339_millis(time.max(UNIX_EPOCH)));
}
