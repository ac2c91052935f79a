use std::io::{self, Read, Write};

use bytes::Bytes;
use flate2::{Compression, read::DeflateDecoder, write::DeflateEncoder};

use crate::MAX_FRAME_BYTES;

/// Compresses rows with DEFLATE, RFC 1951.
///
/// Rows repeat their field names, so that they shrink to about a tenth. The fastest level is used: the
/// next ones take three times as long for a tenth less.
#[must_use]
pub fn compress(rows: &[u8]) -> Bytes {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    // Writing to a vector does not fail.
    let _ = encoder.write_all(rows);
    encoder.finish().unwrap_or_default().into()
}

/// Reads packed rows.
///
/// # Errors
/// They are no DEFLATE stream, or more than a frame can hold.
pub fn decompress(packed: &[u8]) -> io::Result<Bytes> {
    let limit = MAX_FRAME_BYTES as u64;
    let mut rows = Vec::new();
    // One byte more than allowed tells rows that are cut from rows that fit.
    DeflateDecoder::new(packed).take(limit + 1).read_to_end(&mut rows)?;
    if rows.len() as u64 > limit {
        let reason = format!("packed rows of more than {limit} bytes");
        return Err(io::Error::new(io::ErrorKind::InvalidData, reason));
    }
    Ok(rows.into())
}
