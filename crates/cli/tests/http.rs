//! The tool over HTTP against the stand-in of the platform.

#![allow(clippy::expect_used)]

mod common;

use common::{Capture, write_tables};
use dw_cli::{Console, Edit, Exit, HttpAdmin, Invocation, parse_args, run};
use dw_fakes::Standin;
use dw_platform::HttpPlatform;
use googletest::prelude::*;

async fn run_tool(change: &str, line: &str) -> (Exit, String) {
    let raw_args: Vec<String> = line.split_whitespace().map(str::to_owned).collect();
    let Invocation::Run(args) = parse_args(&raw_args) else { return (Exit::Usage, String::new()) };
    let command = args.command.expect("command");
    let capture = Capture::default();
    let (out, err) = (Box::new(capture.clone()), Box::new(capture.clone()));
    let mut console = Console::new(command.json(), out, err);
    let edit = Edit { author: "ada".into(), change: change.into(), time: 0 };
    let exit = run(&command, &edit, HttpPlatform::new, &HttpAdmin, &mut console).await;
    (exit, capture.text())
}

/// Guards against keys, guards or values that the protocol handles differently than the in-memory
/// platform of the other tests, and against a write that is accepted twice over HTTP.
#[gtest]
#[tokio::test]
async fn edits_survive_lost_answers() {
    let platform = Standin::new().start().await.expect("stand-in");
    let addr = platform.addr();
    for (base, deadline) in [(0, "1s"), (1, "2s"), (2, "3s")] {
        let dir = write_tables("http", deadline, "1s");
        // Two lost responses are those to the writes of the part and of the head.
        platform.lose_answers(base);
        let line = format!("apply --base {base} --tables {dir} --platform {addr}");
        let (exit, text) = run_tool(&format!("change-{base}"), &line).await;
        expect_that!(exit, eq(Exit::Ok), "{text}");
    }
    let (exit, text) = run_tool("", &format!("history --json --platform {addr}")).await;
    expect_that!(exit, eq(Exit::Ok));
    let json: serde_json::Value = serde_json::from_str(&text).expect("one object");
    expect_that!(json["head"].as_u64(), some(eq(3)));
    expect_that!(json["versions"][0]["change"].as_str(), some(eq("change-2")));
    platform.down().await;
    let (exit, text) = run_tool("", &format!("get --platform {addr}")).await;
    expect_that!(exit, eq(Exit::Unreachable), "{text}");
    platform.close().await;
}
