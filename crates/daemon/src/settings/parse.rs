use std::net::SocketAddr;

use dw_tables::{Findings, Name};
use jsonc_parser::{
    ParseOptions,
    ast::{Object, Value},
    common::Ranged,
    parse_to_ast,
};

use super::{LogSettings, ProcessLimits, Settings, TargetSettings, fields::Fields};

const FIELDS: [&str; 15] = [
    "host", "domain", "region", "callers", "peers", "data", "admin", "link", "targets", "platform",
    "join", "limits", "preset", "log", "grace",
];
const TARGET_FIELDS: [&str; 4] = ["service", "address", "slots", "connections"];
const ADDRESS: &str = "an IP address and a port, such as \"127.0.0.1:7100\"";
const NAME: &str = "a name";

/// Reads settings from JSON with comments; `file` is the name used in findings.
///
/// # Errors
/// Every finding with its line.
pub fn parse_settings(file: &str, text: &str) -> Result<Settings, Findings> {
    let mut fields = Fields { file, text, findings: Findings::default() };
    let settings = match parse_to_ast(text, &Default::default(), &ParseOptions::default()) {
        Ok(tree) => match tree.value {
            Some(Value::Object(object)) => read(&mut fields, &object),
            Some(other) => {
                fields.find(other.start(), "settings", "the file is not an object", "an object");
                None
            }
            None => {
                fields.find(0, "settings", "the file is empty", "an object");
                None
            }
        },
        Err(error) => {
            let message = error.kind().to_string();
            fields.find(error.range().start, "settings", &message, "JSON with comments");
            None
        }
    };
    match settings {
        Some(settings) => fields.findings.into_result(settings),
        None => Err(sorted(fields.findings)),
    }
}

fn sorted(mut findings: Findings) -> Findings {
    findings.list.sort_by(|a, b| a.place.cmp(&b.place));
    findings
}

fn read(fields: &mut Fields<'_>, object: &Object<'_>) -> Option<Settings> {
    fields.known(object, &FIELDS);
    let host = fields.required(object, "host", NAME, Fields::name);
    let domain = fields.required(object, "domain", NAME, Fields::name);
    let region = fields.required(object, "region", NAME, Fields::name);
    let callers = fields.required(object, "callers", ADDRESS, Fields::address);
    let peers = fields.required(object, "peers", ADDRESS, Fields::address);
    let admin = fields.required(object, "admin", ADDRESS, Fields::address);
    let mut data = peers.map(|addr| SocketAddr::new(addr.ip(), 0));
    fields.optional(object, "data", &mut data, |f, n, v| Some(f.address(n, v)));
    let mut out = Settings::new(Name::default(), Name::default(), Name::default());
    fields.optional(object, "link", &mut out.link, Fields::count);
    fields.optional(object, "targets", &mut out.targets, targets);
    fields.optional(object, "platform", &mut out.platform, Fields::remotes);
    fields.optional(object, "join", &mut out.join, Fields::remotes);
    fields.optional(object, "limits", &mut out.limits, limits);
    let preset = "cooperative, verband";
    fields.optional(object, "preset", &mut out.preset, |f, n, v| f.choice(n, v, preset));
    fields.optional(object, "log", &mut out.log, log);
    fields.optional(object, "grace", &mut out.grace, Fields::duration);
    if out.platform.is_empty() && out.join.is_empty() {
        let message = "neither the platform nor a peer is named, so no tables can be found";
        fields.find(object.range.start, "platform", message, "addresses in platform or join");
    }
    Some(Settings {
        host: host?,
        domain: domain?,
        region: region?,
        callers: callers?,
        peers: peers?,
        data: data?,
        admin: admin?,
        ..out
    })
}

fn targets(fields: &mut Fields<'_>, name: &str, value: &Value<'_>) -> Option<Vec<TargetSettings>> {
    let array = fields.array(name, value, "an array of targets")?;
    let read: Vec<_> = array.elements.iter().map(|v| target(fields, name, v)).collect();
    let list: Vec<_> = read.into_iter().collect::<Option<_>>()?;
    for (idx, target) in list.iter().enumerate() {
        if list[..idx].iter().any(|t| t.address == target.address) {
            let at = array.elements[idx].start();
            fields.find(at, "address", "two targets have the same address", "one address each");
        }
    }
    Some(list)
}

fn target(fields: &mut Fields<'_>, name: &str, value: &Value<'_>) -> Option<TargetSettings> {
    let object = fields.object(name, value)?;
    fields.known(object, &TARGET_FIELDS);
    let service = fields.required(object, "service", NAME, Fields::name);
    let address = fields.required(object, "address", ADDRESS, Fields::remote);
    let slots = fields.required(object, "slots", "a whole number above 0", Fields::count);
    let mut connections = slots;
    fields.optional(object, "connections", &mut connections, |f, n, v| Some(f.count(n, v)));
    if let (Some(slots), Some(connections)) = (slots, connections)
        && connections < slots
    {
        let message = "fewer connections than slots; HTTP/1.1 needs one for each request";
        fields.find(object.range.start, "connections", message, &format!("{slots} or more"));
    }
    Some(TargetSettings {
        service: service?,
        address: address?,
        slots: slots?,
        connections: connections?,
    })
}

fn limits(fields: &mut Fields<'_>, name: &str, value: &Value<'_>) -> Option<ProcessLimits> {
    let object = fields.object(name, value)?;
    fields.known(object, &["requests", "retry_body"]);
    let mut out = ProcessLimits::default();
    fields.optional(object, "requests", &mut out.requests, Fields::count);
    fields.optional(object, "retry_body", &mut out.retry_body, Fields::count);
    Some(out)
}

fn log(fields: &mut Fields<'_>, name: &str, value: &Value<'_>) -> Option<LogSettings> {
    let object = fields.object(name, value)?;
    fields.known(object, &["level", "format"]);
    let mut out = LogSettings::default();
    let levels = "off, error, warn, info, debug";
    fields.optional(object, "level", &mut out.level, |f, n, v| f.choice(n, v, levels));
    fields.optional(object, "format", &mut out.format, |f, n, v| f.choice(n, v, "text, json"));
    Some(out)
}
