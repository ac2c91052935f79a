//! Compares the page `docs/settings.md` with the settings that the daemon reads.

#![allow(clippy::expect_used)]

use dw_daemon::{Settings, parse_settings};
use googletest::prelude::*;

const PAGE: &str = include_str!("../../../docs/settings.md");

const REQUIRED: &str = r#""host": "h", "domain": "d", "region": "r", "callers": "127.0.0.1:1",
    "peers": "127.0.0.1:2", "admin": "127.0.0.1:3", "join": ["127.0.0.1:4"]"#;

/// The cells of each row of the table below a heading.
fn rows(heading: &str) -> Vec<Vec<&'static str>> {
    let (_, rest) = PAGE.split_once(&format!("\n## {heading}\n")).expect("a section");
    let section = rest.split("\n## ").next().expect("a section");
    let cells = |row: &'static str| row.trim_matches('|').split('|').map(str::trim).collect();
    section.lines().filter(|line| line.starts_with("| `")).map(cells).collect()
}

/// The fields that the parser accepts, which it lists in the finding about an unknown field.
fn accepted_fields(text: &str) -> Vec<String> {
    let findings = parse_settings("s.jsonc", text).expect_err("an unknown field is refused");
    let found = findings.list.iter().find(|f| f.name == "colour").expect("the unknown field");
    found.accepted.split(", ").map(|name| format!("`{name}`")).collect()
}

fn defaults() -> Settings {
    let target = r#""targets": [{"service": "s", "address": "127.0.0.1:5", "slots": 7}]"#;
    parse_settings("s.jsonc", &format!("{{{REQUIRED}, {target}}}")).expect("valid settings")
}

/// Guards against a field that the page does not list, and against one that only the page lists.
#[gtest]
fn page_lists_every_field() {
    for (heading, text) in [
        ("Fields", r#"{"colour": 1}"#),
        ("Each of `targets`", r#"{"targets": [{"colour": 1}]}"#),
        ("`limits`", r#"{"limits": {"colour": 1}}"#),
        ("`log`", r#"{"log": {"colour": 1}}"#),
        ("`rollouts`", r#"{"rollouts": {"colour": 1}}"#),
    ] {
        let fields: Vec<_> = rows(heading).iter().map(|row| row[0].to_owned()).collect();
        expect_that!(fields, eq(&accepted_fields(text)), "{heading}");
    }
}

/// Guards against a documented default that differs from the one a daemon uses.
#[gtest]
fn defaults_are_those_of_the_code() {
    let settings = defaults();
    let Settings {
        limits,
        preset,
        log,
        grace,
        targets,
        data,
        peers,
        platform,
        link_mbps,
        quota,
        rollouts,
        ..
    } = settings;
    let policy = parse_settings("s.jsonc", &format!(r#"{{{REQUIRED}, "rollouts": {{}}}}"#));
    let policy = policy.expect("valid settings").rollouts.expect("rollouts");
    let or_none = |text: Option<String>, none: &str| text.unwrap_or_else(|| none.to_owned());
    let expected = [
        ("Fields", "`rollouts`", or_none(rollouts.map(|_| String::new()), "not followed")),
        (
            "Each of `targets`",
            "`version`",
            or_none(targets[0].version.as_ref().map(ToString::to_string), "none"),
        ),
        ("`rollouts`", "`exposure`", format!("`{}`", policy.exposure)),
        ("`rollouts`", "`slack`", format!("`{}`", policy.slack)),
        ("Fields", "`quota`", "none".to_owned()),
        ("Fields", "`link`", "not known".to_owned()),
        ("Fields", "`platform`", "`[]`".to_owned()),
        ("Fields", "`targets`", "`[]`".to_owned()),
        ("Fields", "`join`", "`[]`".to_owned()),
        ("Fields", "`data`", "a free port of the IP address of `peers`".to_owned()),
        ("Fields", "`limits`", "the defaults below".to_owned()),
        ("Fields", "`log`", "the defaults below".to_owned()),
        ("Fields", "`preset`", format!("`\"{preset}\"`")),
        ("Fields", "`grace`", format!("`\"{grace}\"`")),
        ("Each of `targets`", "`connections`", "the value of `slots`".to_owned()),
        ("`limits`", "`requests`", format!("`{}`", limits.requests)),
        ("`limits`", "`retry_body`", format!("`{}`", limits.retry_body)),
        ("`log`", "`level`", format!("`\"{}\"`", log.level)),
        ("`log`", "`format`", format!("`\"{}\"`", log.format)),
    ];
    for heading in ["Fields", "Each of `targets`", "`limits`", "`log`", "`rollouts`"] {
        for row in rows(heading) {
            let default = expected.iter().find(|(h, field, _)| *h == heading && *field == row[0]);
            let default = default.map_or("required", |(_, _, text)| text);
            expect_that!(row.last(), some(eq(&default)), "{}", row[0]);
        }
    }
    expect_that!(link_mbps, eq(0));
    expect_that!(quota, none());
    expect_that!(platform, is_empty());
    expect_that!((data.ip(), data.port()), eq((peers.ip(), 0)));
    expect_that!(targets[0].connections, eq(targets[0].slots));
}

/// Guards against a field that only the page or only the parser treats as required.
#[gtest]
fn required_fields_are_those_of_the_code() {
    for (heading, text) in
        [("Fields", "{}"), ("Each of `targets`", r#"{"targets": [{"colour": 1}]}"#)]
    {
        let findings = parse_settings("s.jsonc", text).expect_err("fields are missing");
        let missing: Vec<_> =
            findings.list.iter().filter(|f| f.message == "the field is missing").collect();
        for row in rows(heading) {
            let refused = missing.iter().any(|f| format!("`{}`", f.name) == row[0]);
            expect_that!(row.last() == Some(&"required"), eq(refused), "{}", row[0]);
        }
    }
}

/// Guards against an example on the page that the parser refuses.
#[gtest]
fn example_is_accepted() {
    let (_, rest) = PAGE.split_once("```jsonc\n").expect("an example");
    let text = rest.split("```").next().expect("an example");
    let settings = parse_settings("example.jsonc", text).expect("valid settings");
    expect_that!(settings.targets, len(eq(1)));
}
