//! Packed rows.

#![allow(clippy::expect_used)]

use dw_wire::{MAX_FRAME_BYTES, compress, decompress};
use googletest::prelude::*;
use proptest::prelude::*;

proptest! {
    /// Guards against rows that do not come back as they were sent.
    #[test]
    fn packed_rows_come_back(rows in prop::collection::vec(any::<u8>(), 0..4096)) {
        prop_assert_eq!(decompress(&compress(&rows)).expect("rows"), rows);
    }

    /// Guards against a peer whose bytes end the process.
    #[test]
    fn any_bytes_are_read_or_refused(bytes in prop::collection::vec(any::<u8>(), 0..4096)) {
        // Either is fine; what counts is that it returns.
        let _ = decompress(&bytes);
    }
}

/// Guards against a small frame that takes more memory than the largest one may.
#[gtest]
fn rows_above_the_frame_limit_are_refused() {
    expect_that!(decompress(&compress(&vec![b'x'; MAX_FRAME_BYTES])), ok(anything()));
    expect_that!(decompress(&compress(&vec![b'x'; MAX_FRAME_BYTES + 1])), err(anything()));
}

/// Guards against rows that are cut short and taken as whole.
#[gtest]
fn rows_cut_short_are_refused() {
    let packed = compress(&[b"lookup".repeat(100), b"claim".repeat(100)].concat());
    expect_that!(decompress(&packed[..packed.len() - 1]), err(anything()));
}
