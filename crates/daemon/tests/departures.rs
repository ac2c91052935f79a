//! What a process that starts knows of the targets that left before.

use dw_daemon::Departures;
use dw_tables::Tombstone;
use googletest::prelude::*;

fn tombstones(name: &str) -> Vec<Tombstone> {
    vec![Tombstone::of_departed(name.into(), 100)]
}

/// Guards against a target that is opened on the word of a peer that was not told of its end, while the
/// store, which was, has not answered yet.
#[gtest]
fn the_word_of_a_peer_does_not_replace_the_stores() {
    let mut departures = Departures::default();
    departures.add_from_peer(Vec::new());
    expect_that!(departures.is_complete(), eq(false));
    departures.add_from_store(tombstones("a"));
    expect_that!(departures.is_complete(), eq(true));
    expect_that!(departures.tombstones(), eq(&tombstones("a")));
}

/// Guards against targets that stay closed while the store is down, although a peer has told.
#[gtest]
fn a_peer_suffices_while_the_store_is_down() {
    let mut departures = Departures::default();
    departures.set_store_failed();
    expect_that!(departures.is_complete(), eq(false));
    departures.add_from_peer(tombstones("a"));
    expect_that!(departures.is_complete(), eq(true));
    expect_that!(departures.tombstones(), eq(&tombstones("a")));
    departures.add_from_store(tombstones("b"));
    departures.set_store_failed();
    expect_that!(departures.is_complete(), eq(true));
    expect_that!(departures.tombstones().len(), eq(2));
}
