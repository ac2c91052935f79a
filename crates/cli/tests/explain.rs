//! `damaskwick explain` on logs of requests whose outcome has a known cause.

#![allow(clippy::expect_used)]

mod common;

use common::{FakeAdmin, MemoryPlatform, empty_dir, run_tool};
use dw_cli::Exit;
use googletest::prelude::*;

/// Writes a log and returns its path.
fn log(dir: &str, host: &str, lines: &[&str]) -> String {
    let path = format!("{dir}/{host}.log");
    let text: Vec<_> = lines
        .iter()
        .map(|line| {
            let (ms, rest) = line.split_once(' ').expect("a time and fields");
            format!("{{\"time\":\"2026-12-03T10:00:{ms}Z\",\"host\":\"{host}\",{rest}}}")
        })
        .collect();
    std::fs::write(&path, text.join("\n")).expect("the log is written");
    path
}

fn dir(test: &str) -> String {
    empty_dir(test).to_string_lossy().into_owned()
}

async fn explain(line: &str) -> (Exit, String) {
    run_tool(&MemoryPlatform::default(), &FakeAdmin::default(), "", &format!("explain {line}"))
        .await
}

/// Guards against a refusal by a rate limit that is explained as if the target were full.
#[gtest]
#[tokio::test]
async fn a_refusal_for_a_limit_names_it() {
    let dir = dir("explain_limit");
    let entry = log(
        &dir,
        "h1",
        &[
            r#"01.000 "event":"placed","request":"r1","target":"h2","attempt":1,"limit":"5""#,
            r#"01.004 "event":"attempt-failed","request":"r1","target":"h2","reason":"rate-limit","outcome":"not-run","took_ms":4"#,
            r#"01.004 "event":"refused","request":"r1","reason":"rate-limit","outcome":"not-run","status":503,"retry_ms":20"#,
        ],
    );
    let away = r#"01.002 "event":"turned-away","request":"r1","reason":"rate-limit","in_flight":0,"slots":1,"limit":"5","wait_ms":169"#;
    let target = log(&dir, "h2", &[away]);
    let (exit, text) = explain(&format!("r1 {entry} {target}")).await;
    expect_that!(exit, eq(Exit::Ok));
    let first = text.lines().next().unwrap_or_default();
    expect_that!(first, contains_substring("h2 turned it away, rate-limit: 0 of 1 slots"));
    expect_that!(first, ends_with("the target takes 5 requests a second"));
}

/// Guards against an explanation of a refusal that does not say how loaded the target was.
#[gtest]
#[tokio::test]
async fn a_refusal_is_explained_by_the_load_of_the_target() {
    let dir = dir("explain_refused");
    let entry = log(
        &dir,
        "h1",
        &[
            r#"01.000 "event":"placed","request":"r1","target":"h2","attempt":1"#,
            r#"01.004 "event":"attempt-failed","request":"r1","target":"h2","reason":"queue-full","outcome":"not-run","took_ms":4"#,
            r#"01.004 "event":"refused","request":"r1","reason":"queue-full","outcome":"not-run","status":503,"retry_ms":90"#,
            r#"01.004 "event":"answered","request":"other","status":200"#,
        ],
    );
    let target = log(
        &dir,
        "h2",
        &[
            r#"01.002 "event":"turned-away","request":"r1","reason":"queue-full","in_flight":12,"slots":12,"queued":9,"wait_ms":61,"left_ms":400"#,
        ],
    );
    let (exit, text) = explain(&format!("r1 {entry} {target}")).await;
    expect_that!(exit, eq(Exit::Ok));
    let first = text.lines().next().unwrap_or_default();
    expect_that!(first, contains_substring("answered 503 by h1, queue-full, outcome not-run"));
    expect_that!(first, contains_substring("told to return after 90 ms"));
    expect_that!(
        first,
        contains_substring("h2 turned it away, queue-full: 12 of 12 slots taken and 9 waiting")
    );
    expect_that!(text, not(contains_substring("missing:")));
    expect_that!(text, contains_substring("+2 ms  h2  turned-away"));
}

/// Guards against an unknown outcome that is not attributed to the host that failed.
#[gtest]
#[tokio::test]
async fn an_unknown_outcome_is_explained_by_the_host_that_was_lost() {
    let dir = dir("explain_lost");
    let entry = log(
        &dir,
        "h1",
        &[
            r#"01.000 "event":"placed","request":"r1","target":"h2","attempt":1"#,
            r#"01.500 "event":"attempt-failed","request":"r1","target":"h2","reason":"connection-unresponsive","outcome":"unknown","took_ms":500"#,
            r#"01.500 "event":"refused","request":"r1","reason":"connection-unresponsive","outcome":"unknown","status":504"#,
            r#"02.100 "event":"member-changed","target":"h2","state":"suspect""#,
            r#"02.200 "event":"member-changed","target":"h9","state":"dead""#,
        ],
    );
    let target = log(&dir, "h2", &[r#"09.000 "event":"started""#]);
    let (exit, text) = explain(&format!("r1 {entry} {target}")).await;
    expect_that!(exit, eq(Exit::Ok));
    let first = text.lines().next().unwrap_or_default();
    expect_that!(first, contains_substring("connection-unresponsive, outcome unknown"));
    expect_that!(first, contains_substring("h2 gave no answer within 500 ms"));
    expect_that!(first, contains_substring("h1 held it for suspect 1100 ms after"));
    expect_that!(text, contains_substring("missing: h2 says nothing of it: it was killed"));
    expect_that!(text, not(contains_substring("h9")));
}

/// Guards against a late answer that is not attributed to the step that took the time.
#[gtest]
#[tokio::test]
async fn a_late_answer_is_explained_by_the_longest_step() {
    let dir = dir("explain_late");
    let entry = log(
        &dir,
        "h1",
        &[
            r#"01.000 "event":"placed","request":"r1","target":"h2","attempt":1"#,
            r#"01.640 "event":"answered","request":"r1","status":200,"took_ms":640,"late":true"#,
        ],
    );
    let target = log(
        &dir,
        "h2",
        &[
            r#"01.010 "event":"admitted","request":"r1","wait_ms":8"#,
            r#"01.630 "event":"ran","request":"r1","status":200,"took_ms":620"#,
        ],
    );
    let (exit, text) = explain(&format!("r1 {entry} {target}")).await;
    expect_that!(exit, eq(Exit::Ok));
    let first = text.lines().next().unwrap_or_default();
    expect_that!(first, contains_substring("answered late, status 200 after 640 ms"));
    expect_that!(first, contains_substring("620 ms of it at the target on h2"));
    let (exit, text) = explain(&format!("r1 {entry} --json")).await;
    expect_that!(exit, eq(Exit::Ok));
    let json: serde_json::Value = serde_json::from_str(&text).expect("one object");
    expect_that!(json["lines"].as_array().map(Vec::len), some(eq(2)));
    expect_that!(json["missing"][0].as_str().unwrap_or_default(), contains_substring("not given"));
}

/// Guards against missing log lines that are taken for a request that did not arrive.
#[gtest]
#[tokio::test]
async fn missing_lines_are_reported() {
    let dir = dir("explain_missing");
    let entry = log(
        &dir,
        "h1",
        &[
            r#"01.000 "event":"placed","request":"r1","target":"h2","attempt":1"#,
            r#"01.640 "event":"answered","request":"r1","status":200,"took_ms":640,"late":true"#,
        ],
    );
    let sampled = log(&dir, "h2", &[r#"01.900 "event":"requests-sampled","count":40"#]);
    let (_, text) = explain(&format!("r1 {entry} {sampled}")).await;
    expect_that!(text, contains_substring("missing: h2 says nothing of it: it left requests out"));
    let lost = log(&dir, "h2", &[r#"01.900 "event":"lines-dropped","count":40"#]);
    let (_, text) = explain(&format!("r1 {entry} {lost}")).await;
    expect_that!(text, contains_substring("missing: h2 says nothing of it: its output lost lines"));

    let away = log(
        &dir,
        "h3",
        &[
            r#"01.002 "event":"turned-away","request":"r3","reason":"deadline-unmet","in_flight":12,"slots":12,"queued":9,"wait_ms":61,"left_ms":40"#,
        ],
    );
    let (exit, text) = explain(&format!("r3 {away} {lost}")).await;
    expect_that!(exit, eq(Exit::Ok));
    expect_that!(
        text,
        contains_substring("no line says what its caller was told; h3 turned it away")
    );
    expect_that!(text, contains_substring("missing: the daemon that took it from its caller"));
    expect_that!(text, contains_substring("hosts that left requests out: h2"));

    let (exit, text) = explain(&format!("r2 {entry} {lost}")).await;
    expect_that!(exit, eq(Exit::Failed));
    expect_that!(text, contains_substring("no line names request r2 among 3 log lines"));
    let (exit, _) = explain("r2").await;
    expect_that!(exit, eq(Exit::Usage));
    let (exit, _) = explain(&format!("r2 {dir}/none.log")).await;
    expect_that!(exit, eq(Exit::Failed));
}
