//! Compares the page `docs/OPERATIONS.md` with the reasons, metrics and log lines of the code.

#![allow(clippy::expect_used)]

mod support;

use dw_log::{Field, Kind};
use dw_mesh::RolloutState;
use dw_request::Reason;
use googletest::prelude::*;
use support::{fetch, get, settings, start};

const PAGE: &str = include_str!("../../../docs/OPERATIONS.md");

/// The cells of each row of the table below a heading, without backticks.
fn rows(heading: &str) -> Vec<Vec<String>> {
    let (_, rest) = PAGE.split_once(&format!("\n## {heading}\n")).expect("a section");
    let section = rest.split("\n## ").next().expect("a section").split("\n### ").next();
    let lines = section.expect("a section").lines().filter(|line| line.starts_with("| `"));
    let cells = |row: &str| {
        row.trim_matches('|').split('|').map(|cell| cell.trim().replace('`', "")).collect()
    };
    lines.map(cells).collect()
}

/// Guards against a reason that the page does not list, or lists with another status or outcome, and
/// against a reason that only the page lists.
#[gtest]
fn page_lists_every_reason() {
    let listed: Vec<_> = rows("Reasons").iter().map(|row| row[..3].join(" ")).collect();
    let known: Vec<_> = Reason::ALL
        .iter()
        .map(|reason| format!("{reason} {} {}", reason.status(), reason.outcome()))
        .collect();
    expect_that!(listed, eq(&known));
}

/// Guards against a metric that the page does not list, or lists with another name or type.
#[gtest]
#[tokio::test]
async fn page_lists_every_metric() -> Result<()> {
    let running = start(settings("p1", "portland")).await;
    let text = fetch(running.addrs().admin, get("/metrics")).await?;
    let known: Vec<_> = text.lines().filter_map(|line| line.strip_prefix("# TYPE ")).collect();
    let listed: Vec<_> = rows("Metrics").iter().map(|row| row[..2].join(" ")).collect();
    expect_that!(listed, eq(&known));
    running.kill().await;
    Ok(())
}

/// Guards against an event or field that the page does not explain, and against an event that it lists
/// with another level.
#[gtest]
fn page_lists_every_event_and_field() {
    let listed: Vec<_> = rows("Log events").iter().map(|row| row.join("|")).collect();
    let known: Vec<_> = Kind::ALL
        .iter()
        .map(|kind| format!("{}|{}|{}", kind.as_str(), kind.level(), text_of(kind.meaning())))
        .collect();
    expect_that!(listed, eq(&known));

    let listed: Vec<_> = rows("Log fields").iter().map(|row| row.join("|")).collect();
    let known: Vec<_> = Field::ALL
        .iter()
        .map(|field| format!("{}|{}", field.as_str(), text_of(field.meaning())))
        .collect();
    expect_that!(listed, eq(&known));
}

/// The documentation in the form that a table cell contains.
fn text_of(doc: &str) -> String {
    doc.replace('`', "").trim().to_owned()
}

/// Guards against a state of a version that the page does not explain.
#[gtest]
fn page_lists_every_state() {
    // The match does not compile if a new state is missing here.
    let text = |state: RolloutState| match state {
        RolloutState::InForce => "in force",
        RolloutState::Spreading => "spreading",
        RolloutState::Behind => "behind",
        RolloutState::Unknown => "unknown",
        RolloutState::Refused => "refused",
    };
    let states = [
        RolloutState::InForce,
        RolloutState::Spreading,
        RolloutState::Behind,
        RolloutState::Unknown,
        RolloutState::Refused,
    ]
    .map(text);
    let listed: Vec<_> =
        rows("States in `damaskwick status`").iter().map(|row| row[0].clone()).collect();
    expect_that!(listed, eq(&states.map(str::to_owned)));
}
