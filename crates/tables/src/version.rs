use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::Tables;

/// A SHA-256 content hash, written in hexadecimal.
#[derive(Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Hash([u8; 32]);

impl Hash {
    /// The hash of `data`.
    #[must_use]
    pub fn of(data: &[u8]) -> Self {
        Self(Sha256::digest(data).into())
    }

    /// A hash from its bytes, or `None` for a wrong length.
    #[must_use]
    pub fn from_bytes(bytes: &[u8]) -> Option<Self> {
        bytes.try_into().ok().map(Self)
    }

    /// The bytes of the hash.
    #[must_use]
    pub const fn as_bytes(&self) -> &[u8; 32] {
        &self.0
    }

    /// The first four bytes. Probes carry them, which is enough to notice two different versions
    /// with the same number.
    #[must_use]
    pub const fn prefix(&self) -> u32 {
        u32::from_be_bytes([self.0[0], self.0[1], self.0[2], self.0[3]])
    }
}

impl fmt::Display for Hash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|b| write!(f, "{b:02x}"))
    }
}

impl fmt::Debug for Hash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:08x}", self.prefix())
    }
}

impl From<Hash> for String {
    fn from(hash: Hash) -> Self {
        hash.to_string()
    }
}

impl FromStr for Hash {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let error = || format!("{text:?} is not a hash of 64 hexadecimal digits");
        if text.len() != 64 || !text.is_ascii() {
            return Err(error());
        }
        let mut bytes = [0; 32];
        for (idx, byte) in bytes.iter_mut().enumerate() {
            *byte = u8::from_str_radix(&text[2 * idx..2 * idx + 2], 16).map_err(|_| error())?;
        }
        Ok(Self(bytes))
    }
}

impl TryFrom<String> for Hash {
    type Error = String;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        text.parse()
    }
}

/// Identifies a version by its number and hash, without its rows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct VersionId {
    /// The version number; 0 stands for no version.
    pub number: u64,
    /// The content hash.
    pub hash: Hash,
}

/// One accepted configuration: all rows of both tables, never changed once accepted.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Version {
    /// Incremented with each accepted edit; 0 stands for no version.
    pub number: u64,
    /// Hash of the canonical text of the tables.
    pub hash: Hash,
    /// The rows.
    pub tables: Tables,
}

impl Version {
    /// A version of the given number, with its hash computed.
    #[must_use]
    pub fn new(number: u64, tables: Tables) -> Self {
        let tables = tables.sorted();
        let hash = Hash::of(tables.canonical().as_bytes());
        Self { number, hash, tables }
    }

    /// The number and hash of the version.
    #[must_use]
    pub const fn id(&self) -> VersionId {
        VersionId { number: self.number, hash: self.hash }
    }
}
