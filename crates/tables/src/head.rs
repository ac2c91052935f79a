use serde::{Deserialize, Serialize};

use crate::{Hash, Name, VersionMark};

/// The record that the platform keeps of the newest accepted version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Head {
    /// The version number.
    pub number: u64,
    /// The content hash of the whole tables.
    pub hash: Hash,
    /// The content hash of the version before.
    pub parent: Hash,
    /// Random id of the edit, by which a tool finds its own write after a lost answer.
    pub change: Name,
    /// Hashes of the parts, in order.
    pub parts: Vec<Hash>,
    /// Who made the edit.
    pub author: Name,
    /// When it was accepted, in ms since the Unix epoch.
    pub time: u64,
}

impl Head {
    /// Number and hash.
    #[must_use]
    pub const fn mark(&self) -> VersionMark {
        VersionMark { number: self.number, hash: self.hash }
    }
}

/// Splits canonical text into parts of at most `limit` bytes, each with its hash.
#[must_use]
pub fn split_parts(text: &str, limit: usize) -> Vec<(Hash, Vec<u8>)> {
    text.as_bytes().chunks(limit.max(1)).map(|part| (Hash::of(part), part.to_vec())).collect()
}

/// Joins parts and returns the text if it is UTF-8 and its hash is `hash`.
#[must_use]
pub fn join_parts(parts: &[Vec<u8>], hash: Hash) -> Option<String> {
    let bytes = parts.concat();
    (Hash::of(&bytes) == hash).then(|| String::from_utf8(bytes).ok()).flatten()
}
