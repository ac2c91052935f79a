//! The commands with a table of workspaces.

#![allow(clippy::expect_used)]

mod common;

use common::{Capture, FakeAdmin, MemoryPlatform, empty_dir, run_tool, write_tables};
use dw_cli::{Console, Exit, hash_key};
use dw_tables::KeyHash;
use googletest::prelude::*;

const PLATFORM: &str = "--platform 192.0.2.1:2379";

fn hash(key: &str) -> String {
    KeyHash::of(key.as_bytes()).expect("a key").to_hex()
}

fn write_workspaces(dir: &str, keys: &[&str]) {
    let keys: Vec<String> = keys.iter().map(|key| hash(key)).collect();
    let text = format!(r#"{{ "workspaces": [{{ "name": "harbour", "keys": {keys:?} }}] }}"#);
    std::fs::write(format!("{dir}/workspaces.jsonc"), text).expect("workspaces");
}

/// Guards against a diff that shows hashes, a `get` whose files can't be applied again, and a directory
/// without the file that removes the check of keys.
#[gtest]
#[tokio::test(start_paused = true)]
async fn workspaces_are_published_and_kept() {
    let (platform, daemons) = (MemoryPlatform::default(), FakeAdmin::default());
    let dir = write_tables("workspaces", "2s", "3s");
    write_workspaces(&dir, &["key-1"]);
    let (_, text) = run_tool(&platform, &daemons, "", &format!("check --tables {dir}")).await;
    expect_that!(text, contains_substring("2 routes, 1 pool and 1 workspace"));
    let line = format!("apply --tables {dir} {PLATFORM} --base 0");
    let (exit, text) = run_tool(&platform, &daemons, "c1", &line).await;
    expect_that!(exit, eq(Exit::Ok), "{text}");
    expect_that!(text, contains_substring("workspace \"harbour\" added"));
    expect_that!(text, not(contains_substring(&hash("key-1")[..8])));

    let out = empty_dir("workspaces-get").display().to_string();
    let (exit, _) = run_tool(&platform, &daemons, "", &format!("get {PLATFORM} --out {out}")).await;
    expect_that!(exit, eq(Exit::Ok));
    let (_, text) =
        run_tool(&platform, &daemons, "", &format!("diff --tables {out} {PLATFORM}")).await;
    expect_that!(text, contains_substring("0 rows differ"));

    write_workspaces(&out, &["key-1", "key-2"]);
    let line = format!("apply --tables {out} {PLATFORM} --base 1");
    let (exit, text) = run_tool(&platform, &daemons, "c2", &line).await;
    expect_that!(exit, eq(Exit::Ok), "{text}");
    expect_that!(text, contains_substring("2 keys, 1 added"));
    for key in ["key-1", "key-2"] {
        expect_that!(text, not(contains_substring(&hash(key)[..8])));
    }

    std::fs::remove_file(format!("{out}/workspaces.jsonc")).expect("remove");
    let line = format!("apply --tables {out} {PLATFORM} --base 2");
    let (exit, text) = run_tool(&platform, &daemons, "c3", &line).await;
    expect_that!(exit, eq(Exit::Failed));
    expect_that!(text, contains_substring("workspaces.jsonc is missing"));
    let (exit, text) =
        run_tool(&platform, &daemons, "c3", &format!("{line} --drop-workspaces")).await;
    expect_that!(exit, eq(Exit::Ok), "{text}");
    let out = empty_dir("workspaces-none");
    run_tool(&platform, &daemons, "", &format!("get {PLATFORM} --out {}", out.display())).await;
    expect_that!(out.join("pools.jsonc").exists(), eq(true));
    expect_that!(out.join("workspaces.jsonc").exists(), eq(false));
}

/// Guards against a hash that daemons compute otherwise, such as with the line end, and against an error
/// that shows the key.
#[gtest]
fn keys_are_hashed_from_the_first_line() {
    let run = |input: &[u8]| {
        let capture = Capture::default();
        let (out, err) = (Box::new(capture.clone()), Box::new(capture.clone()));
        let mut console = Console::new(false, out, err);
        let result = hash_key(input, &mut console);
        (console.finish(result), capture.text())
    };
    for input in ["key-1", "key-1\n", "key-1\r\n", "key-1\nkey-2\n"] {
        expect_that!(run(input.as_bytes()), eq(&(Exit::Ok, format!("{}\n", hash("key-1")))));
    }
    let longest = "k".repeat(4096);
    expect_that!(run(format!("{longest}\r\n").as_bytes()).0, eq(Exit::Ok));
    for input in ["", "\n", "key 1", "key-1\u{e9}", &format!("{longest}key")] {
        let (exit, text) = run(input.as_bytes());
        expect_that!(exit, eq(Exit::Failed));
        expect_that!(text, not(contains_substring("key-")));
        expect_that!(text, contains_substring("the key "));
    }
}
