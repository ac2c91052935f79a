//! Compares the page `docs/proofs.md` with the tests that it names.

#![allow(clippy::expect_used)]

use std::fs;

use googletest::prelude::*;

const PAGE: &str = include_str!("../../../docs/proofs.md");

/// Guards against a claim that refers to a test which was renamed or removed.
#[gtest]
fn named_tests_exist() {
    let named: Vec<_> = PAGE
        .split('`')
        .skip(1)
        .step_by(2)
        .filter_map(|text| text.split_once("::"))
        .filter(|(path, _)| *path != "CRATE/FILE")
        .collect();
    expect_that!(named.len(), gt(40));
    for (path, test) in named {
        let (krate, file) = path.split_once('/').expect("a crate and a file");
        // The folder of the adapter's crate has another name and is not next to the other crates.
        let folder = if krate == "sidecar" { "../platform" } else { krate };
        let file = format!("{}/../{folder}/tests/{file}.rs", env!("CARGO_MANIFEST_DIR"));
        let code = fs::read_to_string(&file).unwrap_or_default();
        expect_that!(code.contains(&format!("fn {test}(")), eq(true), "{path}::{test}");
    }
}

/// Guards against an invariant that the page leaves out.
#[gtest]
fn page_lists_every_invariant() {
    let (table, _) = PAGE.split_once("## Commands").expect("the table of invariants");
    let rows = |n: &u32| table.lines().filter(|l| l.starts_with(&format!("| P{n} "))).count();
    for invariant in 1..=9 {
        expect_that!(rows(&invariant), eq(1), "P{invariant}");
    }
}
