//! Tests of `dw_bench model`, run as a program.

#![allow(clippy::expect_used)]

use std::{env, fs, process::Command};

use googletest::prelude::*;
use serde_json::Value;

/// Four hosts, two of which serve the calls of the other two, under more requests than they can serve.
const SCENARIO: &str = r#"{
  "name": "small", "time": "6s", "near": "1ms", "far": "2ms", "notice": "500ms",
  "hosts": [
    { "domain": "a", "service": "front", "slots": 4, "speed": 1.0 },
    { "domain": "b", "service": "front", "slots": 4, "speed": 1.0 },
    { "domain": "a", "service": "back", "slots": 4, "speed": 1.0 },
    { "domain": "b", "service": "back", "slots": 4, "speed": 1.0 }
  ],
  "routes": [
    { "name": "front", "service": "front", "rate": 60, "work": "100ms", "spread": 0.3,
      "objective": "300ms", "deadline": "1s", "priority": 1, "returns": 1, "worth": 1,
      "calls": [{ "route": "back", "times": 1, "share": 1.0 }] },
    { "name": "back", "service": "back", "work": "20ms", "spread": 0.3, "objective": "80ms",
      "deadline": "300ms", "priority": 2, "repeat": "idempotent", "worth": 0 }
  ],
  "faults": [{ "at": "2s", "kind": "lose", "host": 1 }]
}"#;

/// Runs the scenario and returns its rows.
fn run_scenario(name: &str, options: &[&str]) -> Vec<Value> {
    let dir = env::temp_dir().join(format!("dw-model-{name}-{}", std::process::id()));
    fs::create_dir_all(&dir).expect("a directory");
    let (scenario, json) = (dir.join("scenario.jsonc"), dir.join("figures.json"));
    fs::write(&scenario, SCENARIO).expect("the scenario is written");
    let mut command = Command::new(env!("CARGO_BIN_EXE_dw_bench"));
    command.arg("model").arg(&scenario).args(options).arg("--json").arg(&json);
    let output = command.output().expect("the program runs");
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    let text = fs::read_to_string(&json).expect("the figures are written");
    fs::remove_dir_all(&dir).expect("the directory is removed");
    let figures: Value = serde_json::from_str(&text).expect("the figures are JSON");
    figures[0][1].as_array().expect("rows").clone()
}

/// Sum of one count over the windows of a route.
fn total(row: &Value, route: usize, count: &str) -> u64 {
    let windows = row["runs"][0]["routes"][route].as_array().expect("windows");
    windows.iter().filter_map(|window| window[count].as_u64()).sum()
}

/// Guards against figures that depend on anything but the scenario, the policies and the seed.
#[gtest]
fn a_seed_gives_the_same_figures_again() {
    let options = ["--seeds", "1", "--without", "moves"];
    expect_that!(run_scenario("first", &options), eq(&run_scenario("second", &options)));
}

/// Guards against requests that are lost or counted twice, and against an upper bound below the share of
/// timely responses.
#[gtest]
fn every_request_ends_once_and_no_policy_beats_the_bound() {
    for row in run_scenario("ends", &["--seeds", "1"]) {
        let sum = |counts: &[&str]| counts.iter().map(|count| total(&row, 0, count)).sum::<u64>();
        let (asked, ended) = (sum(&["asked"]), sum(&["timely", "late", "refused", "failed"]));
        expect_that!(ended, eq(asked), "{}", row["name"]);
        let (asked, timely) = (f64::from(u32::try_from(asked).unwrap_or(0)), sum(&["timely"]));
        let share = f64::from(u32::try_from(timely).unwrap_or(0)) / asked;
        expect_that!(share, le(row["bounds"][0].as_f64().unwrap_or(0.0)), "{}", row["name"]);
    }
}

/// Guards against a simulation of a scenario that contains a mistake.
#[gtest]
fn a_scenario_with_a_fault_of_an_unknown_host_is_refused() {
    let dir = env::temp_dir().join(format!("dw-model-refused-{}", std::process::id()));
    fs::create_dir_all(&dir).expect("a directory");
    let scenario = dir.join("scenario.jsonc");
    fs::write(&scenario, SCENARIO.replace("\"host\": 1", "\"host\": 9"))
        .expect("the scenario is written");
    let mut command = Command::new(env!("CARGO_BIN_EXE_dw_bench"));
    let output = command.arg("model").arg(&scenario).output().expect("the program runs");
    fs::remove_dir_all(&dir).expect("the directory is removed");
    expect_that!(output.status.code(), some(eq(2)));
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    expect_that!(text, contains_substring("names host 9 of 4"));
}
