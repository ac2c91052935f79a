//! Compression of rows.

#![allow(clippy::expect_used)]

use dw_wire::{MAX_FRAME_BYTES, compress, decompress};
use googletest::prelude::*;
use proptest::prelude::*;

proptest! {
    /// Guards against rows that differ after compression and decompression.
    #[test]
    fn compressed_rows_are_restored(rows in prop::collection::vec(any::<u8>(), 0..4096)) {
        prop_assert_eq!(decompress(&compress(&rows)).expect("rows"), rows);
    }

    /// Guards against a peer whose bytes crash the process.
    #[test]
    fn any_bytes_are_decompressed_or_refused(bytes in prop::collection::vec(any::<u8>(), 0..4096)) {
        // Success and error are both fine; the call must only not panic.
        let _ = decompress(&bytes);
    }
}

/// Guards against a small frame whose rows take more memory than the largest frame may.
#[gtest]
fn rows_above_the_frame_limit_are_refused() {
    expect_that!(decompress(&compress(&vec![b'x'; MAX_FRAME_BYTES])), ok(anything()));
    expect_that!(decompress(&compress(&vec![b'x'; MAX_FRAME_BYTES + 1])), err(anything()));
}

/// Guards against truncated rows that are accepted as complete.
#[gtest]
fn truncated_rows_are_refused() {
    let compressed = compress(&[b"lookup".repeat(100), b"claim".repeat(100)].concat());
    expect_that!(decompress(&compressed[..compressed.len() - 1]), err(anything()));
}
