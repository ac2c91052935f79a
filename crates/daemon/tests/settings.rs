//! Tests of settings files: their defaults, and that all findings are reported at once.

use dw_daemon::{LogFormat, PresetName, parse_settings};
use googletest::prelude::*;

const GOOD: &str = r#"{
  // One host of portland.
  "host": "p1", "domain": "portland", "region": "new-england",
  "callers": "127.0.0.1:7000", "peers": "127.0.0.1:7100", "admin": "127.0.0.1:7200",
  "platform": ["127.0.0.1:2379"],
  "targets": [{"service": "tally", "address": "127.0.0.1:9000", "slots": 12, "connections": 120}],
  "log": {"format": "json"},
}"#;

/// Guards against defaults that differ from the documented ones.
#[gtest]
fn fills_in_defaults() -> Result<()> {
    let settings = parse_settings("p1.jsonc", GOOD).or_fail()?;
    expect_that!(settings.preset, eq(PresetName::Cooperative));
    expect_that!(settings.grace.get(), eq(30_000));
    expect_that!(settings.log.format, eq(LogFormat::Json));
    expect_that!(settings.targets[0].connections, eq(120));
    Ok(())
}

/// Guards against a check that stops at the first error, so that each error costs another restart.
#[gtest]
fn reports_every_finding_with_its_line() {
    let text = "{\n\"host\": \"\",\n\"domain\": 3,\n\"callers\": \"nowhere\",\n\
        \"peers\": \"0.0.0.0:1\",\n\"admin\": \"127.0.0.1:1\",\n\"colour\": 1,\n\
        \"grace\": \"soon\",\n\"preset\": \"Verband\",\n\"join\": [\"127.0.0.1:0\"],\n\
        \"targets\": [{\"service\": \"a\", \"slots\": 0}]}";
    let findings = parse_settings("bad.jsonc", text).expect_err("the settings must be refused");
    let found: Vec<_> = findings.list.iter().map(|f| (f.place.line, f.name.as_str())).collect();
    expect_that!(
        found,
        unordered_elements_are![
            eq(&(1, "region")),
            eq(&(1, "platform")),
            eq(&(2, "host")),
            eq(&(3, "domain")),
            eq(&(4, "callers")),
            eq(&(5, "peers")),
            eq(&(7, "colour")),
            eq(&(8, "grace")),
            eq(&(9, "preset")),
            eq(&(10, "join")),
            eq(&(11, "address")),
            eq(&(11, "slots")),
        ]
    );
}

/// Guards against a syntax error that is reported without its line.
#[gtest]
fn names_the_line_of_a_syntax_error() {
    let findings = parse_settings("bad.jsonc", "{\n\n  \"host\" \"p1\"}").expect_err("refused");
    expect_that!(findings.list.len(), eq(1));
    expect_that!(findings.list[0].place.line, eq(3));
}

/// Guards against example files that the parser refuses.
#[gtest]
fn accepts_the_examples() -> Result<()> {
    let root = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples");
    let domains = [
        ("cooperative", ["portland", "worcester", "hartford", "providence"]),
        ("verband", ["gva-a", "gva-b", "lau-a", "lau-b"]),
    ];
    for (deployment, names) in domains {
        for name in names {
            let file = format!("{root}/{deployment}/{name}.jsonc");
            let settings = parse_settings(&file, &std::fs::read_to_string(&file)?).or_fail()?;
            expect_that!(settings.domain.as_str(), eq(name));
            expect_that!(settings.preset.to_string(), eq(deployment));
        }
    }
    Ok(())
}
