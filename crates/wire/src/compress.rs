use std::io::{self, Read, Write};

use bytes::Bytes;
use flate2::{Compression, read::DeflateDecoder, write::DeflateEncoder};

use crate::MAX_FRAME_BYTES;

/// Compresses rows with DEFLATE, RFC 1951.
///
/// Rows repeat their field names and shrink to about a tenth. The fastest level is used, because the
/// next ones take three times as long for a size that is a tenth smaller.
#[must_use]
pub fn compress(rows: &[u8]) -> Bytes {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    // Writing to a `Vec` cannot fail.
    let _ = encoder.write_all(rows);
    encoder.finish().unwrap_or_default().into()
}

/// Decompresses rows.
///
/// # Errors
/// The bytes are not a DEFLATE stream, or the rows exceed [`MAX_FRAME_BYTES`].
pub fn decompress(compressed: &[u8]) -> io::Result<Bytes> {
    let limit = MAX_FRAME_BYTES as u64;
    let mut rows = Vec::new();
    // Reading one byte more than allowed shows whether the rows exceed the limit.
    DeflateDecoder::new(compressed).take(limit + 1).read_to_end(&mut rows)?;
    if rows.len() as u64 > limit {
        let reason = format!("decompressed rows exceed {limit} bytes");
        return Err(io::Error::new(io::ErrorKind::InvalidData, reason));
    }
    Ok(rows.into())
}
