use serde::{Deserialize, Serialize};

use crate::{Hash, MAX_CANONICAL_BYTES, Name, VersionId};

/// The record of the newest accepted version, as stored in the platform.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// The version number.
    pub number: u64,
    /// The content hash of both tables.
    pub hash: Hash,
    /// The content hash of the previous version.
    pub parent: Hash,
    /// Random id of the edit, by which a tool recognizes its own write if the answer to it was lost.
    pub change: Name,
    /// Hashes of the parts of the canonical text, in order.
    pub parts: Vec<Hash>,
    /// Who made the edit.
    pub author: Name,
    /// When it was accepted, in ms since the Unix epoch.
    pub time: u64,
}

impl Head {
    /// The number and hash of the version.
    #[must_use]
    pub const fn version_id(&self) -> VersionId {
        VersionId { number: self.number, hash: self.hash }
    }
}

/// The key of the head in the platform.
pub const HEAD_KEY: &str = "damaskwick/head";

/// The maximum size of a part. Its base64 form, in which the platform's JSON gateway carries it, has
/// 1 MiB.
pub const MAX_PART_BYTES: usize = 768 * 1024;

/// Digits of a version number in a key: enough for any `u64`, so that keys sort by version.
const NUMBER_DIGITS: usize = 20;

/// The key of a part in the platform.
#[must_use]
pub fn part_key(hash: Hash) -> String {
    format!("damaskwick/part/{hash}")
}

/// The key of the head of version `number` in the history.
#[must_use]
pub fn history_key(number: u64) -> String {
    format!("damaskwick/history/{number:0NUMBER_DIGITS$}")
}

/// Splits canonical text into parts of at most `limit` bytes, each with its hash.
#[must_use]
pub fn split_parts(text: &str, limit: usize) -> Vec<(Hash, Vec<u8>)> {
    text.as_bytes().chunks(limit.max(1)).map(|part| (Hash::of(part), part.to_vec())).collect()
}

/// Joins parts. Returns the text if it has at most [`MAX_CANONICAL_BYTES`] bytes, is UTF-8, and its hash
/// is `hash`.
#[must_use]
pub fn join_parts(parts: &[Vec<u8>], hash: Hash) -> Option<String> {
    let size = parts.iter().fold(0_usize, |sum, part| sum.saturating_add(part.len()));
    if size > MAX_CANONICAL_BYTES {
        return None;
    }
    let bytes = parts.concat();
    (Hash::of(&bytes) == hash).then(|| String::from_utf8(bytes).ok()).flatten()
}
