use std::net::SocketAddr;

use dw_request::RolloutPolicy;
use dw_tables::{Findings, Name};
use jsonc_parser::{
    ParseOptions,
    ast::{Object, Value},
    common::Ranged,
    parse_to_ast,
};

use super::{LogSettings, ProcessLimits, Settings, TargetSettings, fields::FieldReader};

const SETTINGS_FIELDS: [&str; 17] = [
    "host", "domain", "region", "callers", "peers", "data", "admin", "quota", "link", "targets",
    "platform", "join", "limits", "preset", "log", "grace", "rollouts",
];
const TARGET_FIELDS: [&str; 5] = ["service", "address", "slots", "connections", "version"];
const ACCEPTED_ADDRESS: &str = "an IP address and a port, such as \"127.0.0.1:7100\"";
const ACCEPTED_NAME: &str = "a name";

/// The largest exposure: all requests, per mille.
const MAX_EXPOSURE: u32 = 1000;

/// Parses settings from JSON with comments; findings refer to the file as `file`.
///
/// # Errors
/// Returns all findings with their lines.
pub fn parse_settings(file: &str, text: &str) -> Result<Settings, Findings> {
    let mut fields = FieldReader { file, text, findings: Findings::default() };
    let settings = match parse_to_ast(text, &Default::default(), &ParseOptions::default()) {
        Ok(tree) => match tree.value {
            Some(Value::Object(object)) => read_settings(&mut fields, &object),
            Some(other) => {
                fields.report(other.start(), "settings", "the file is not an object", "an object");
                None
            }
            None => {
                fields.report(0, "settings", "the file is empty", "an object");
                None
            }
        },
        Err(error) => {
            let message = error.kind().to_string();
            fields.report(error.range().start, "settings", &message, "JSON with comments");
            None
        }
    };
    match settings {
        Some(settings) => fields.findings.into_result(settings),
        None => Err(sort_by_place(fields.findings)),
    }
}

fn sort_by_place(mut findings: Findings) -> Findings {
    findings.list.sort_by(|a, b| a.place.cmp(&b.place));
    findings
}

fn read_settings(fields: &mut FieldReader<'_>, object: &Object<'_>) -> Option<Settings> {
    fields.check_known(object, &SETTINGS_FIELDS);
    let host = fields.required(object, "host", ACCEPTED_NAME, FieldReader::name);
    let domain = fields.required(object, "domain", ACCEPTED_NAME, FieldReader::name);
    let region = fields.required(object, "region", ACCEPTED_NAME, FieldReader::name);
    let callers = fields.required(object, "callers", ACCEPTED_ADDRESS, FieldReader::address);
    let peers = fields.required(object, "peers", ACCEPTED_ADDRESS, FieldReader::address);
    let admin = fields.required(object, "admin", ACCEPTED_ADDRESS, FieldReader::address);
    let mut data = peers.map(|addr| SocketAddr::new(addr.ip(), 0));
    fields.optional(object, "data", &mut data, |f, n, v| Some(f.address(n, v)));
    let mut out = Settings::new(Name::default(), Name::default(), Name::default());
    fields.optional(object, "quota", &mut out.quota, |f, n, v| Some(f.remote_address(n, v)));
    fields.optional(object, "link", &mut out.link_mbps, FieldReader::count);
    fields.optional(object, "targets", &mut out.targets, targets);
    fields.optional(object, "platform", &mut out.platform, FieldReader::remote_addresses);
    fields.optional(object, "join", &mut out.join, FieldReader::remote_addresses);
    fields.optional(object, "limits", &mut out.limits, limits);
    let preset = "cooperative, verband";
    fields.optional(object, "preset", &mut out.preset, |f, n, v| f.choice(n, v, preset));
    fields.optional(object, "log", &mut out.log, log);
    fields.optional(object, "grace", &mut out.grace, FieldReader::duration);
    fields.optional(object, "rollouts", &mut out.rollouts, |f, n, v| Some(rollouts(f, n, v)));
    if out.platform.is_empty() && out.join.is_empty() {
        let message = "neither the platform nor a peer is named, so no tables can be found";
        fields.report(object.range.start, "platform", message, "addresses in platform or join");
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

fn targets(
    fields: &mut FieldReader<'_>,
    name: &str,
    value: &Value<'_>,
) -> Option<Vec<TargetSettings>> {
    let array = fields.array(name, value, "an array of targets")?;
    let read: Vec<_> = array.elements.iter().map(|v| target(fields, name, v)).collect();
    let list: Vec<_> = read.into_iter().collect::<Option<_>>()?;
    for (idx, target) in list.iter().enumerate() {
        if list[..idx].iter().any(|t| t.address == target.address) {
            let offset = array.elements[idx].start();
            fields.report(
                offset,
                "address",
                "two targets have the same address",
                "one address each",
            );
        }
    }
    Some(list)
}

fn target(fields: &mut FieldReader<'_>, name: &str, value: &Value<'_>) -> Option<TargetSettings> {
    let object = fields.object(name, value)?;
    fields.check_known(object, &TARGET_FIELDS);
    let service = fields.required(object, "service", ACCEPTED_NAME, FieldReader::name);
    let address = fields.required(object, "address", ACCEPTED_ADDRESS, FieldReader::remote_address);
    let slots = fields.required(object, "slots", "a whole number above 0", FieldReader::count);
    let mut connections = slots;
    fields.optional(object, "connections", &mut connections, |f, n, v| Some(f.count(n, v)));
    if let (Some(slots), Some(connections)) = (slots, connections)
        && connections < slots
    {
        let message = "fewer connections than slots; HTTP/1.1 needs one for each request";
        fields.report(object.range.start, "connections", message, &format!("{slots} or more"));
    }
    let mut version = None;
    fields.optional(object, "version", &mut version, |f, n, v| Some(f.name(n, v)));
    Some(TargetSettings {
        service: service?,
        address: address?,
        slots: slots?,
        connections: connections?,
        version,
    })
}

/// Reads the bounds on the requests that a bad version may receive. An empty object enables rollouts with the
/// default bounds.
fn rollouts(fields: &mut FieldReader<'_>, name: &str, value: &Value<'_>) -> Option<RolloutPolicy> {
    let object = fields.object(name, value)?;
    fields.check_known(object, &["exposure", "slack"]);
    let defaults = RolloutPolicy::default();
    let (mut exposure, mut slack) = (defaults.exposure, 0);
    fields.optional(object, "exposure", &mut exposure, FieldReader::count);
    fields.optional(object, "slack", &mut slack, FieldReader::count);
    if exposure > MAX_EXPOSURE {
        let message = "the part is larger than the whole";
        fields.report(object.range.start, "exposure", message, "1 to 1000, per mille");
    }
    let slack = if slack == 0 { defaults.slack } else { slack.into() };
    Some(defaults.with_exposure(exposure, slack))
}

fn limits(fields: &mut FieldReader<'_>, name: &str, value: &Value<'_>) -> Option<ProcessLimits> {
    let object = fields.object(name, value)?;
    fields.check_known(object, &["requests", "retry_body"]);
    let mut out = ProcessLimits::default();
    fields.optional(object, "requests", &mut out.requests, FieldReader::count);
    fields.optional(object, "retry_body", &mut out.retry_body, FieldReader::count);
    Some(out)
}

fn log(fields: &mut FieldReader<'_>, name: &str, value: &Value<'_>) -> Option<LogSettings> {
    let object = fields.object(name, value)?;
    fields.check_known(object, &["level", "format"]);
    let mut out = LogSettings::default();
    let levels = "off, error, warn, info, debug";
    fields.optional(object, "level", &mut out.level, |f, n, v| f.choice(n, v, levels));
    fields.optional(object, "format", &mut out.format, |f, n, v| f.choice(n, v, "text, json"));
    Some(out)
}
