use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use thiserror::Error;

/// The maximum length of a workspace key.
pub const MAX_KEY_BYTES: usize = 4096;

/// The number of hexadecimal digits of a key hash.
const HASH_DIGITS: usize = 64;

/// The SHA-256 hash of a workspace key, written in hexadecimal. Tables, deltas and daemons hold only
/// the hash, and `Debug` does not print it.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct KeyHash([u8; 32]);

/// Why a text is not a workspace key. The text itself is never part of the error.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum KeyError {
    /// The key has no characters.
    #[error("the key is empty")]
    Empty,
    /// The key is too long.
    #[error("the key has more than {MAX_KEY_BYTES} bytes")]
    TooLong,
    /// The key has a character that a bearer token cannot contain.
    #[error("the key has a character other than visible ASCII")]
    Malformed,
}

/// The text is not the hash of a key. The text itself is never part of the error.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("the hash of a key has {HASH_DIGITS} hexadecimal digits")]
pub struct ParseKeyHashError;

impl KeyHash {
    /// The hash of a key.
    ///
    /// # Errors
    /// The key is empty, too long, or contains other bytes than visible ASCII.
    pub fn of(key: &[u8]) -> Result<Self, KeyError> {
        match key {
            [] => Err(KeyError::Empty),
            _ if key.len() > MAX_KEY_BYTES => Err(KeyError::TooLong),
            _ if !key.iter().all(u8::is_ascii_graphic) => Err(KeyError::Malformed),
            _ => Ok(Self(Sha256::digest(key).into())),
        }
    }

    /// Whether it is the hash of the empty text, which is not a key.
    pub(crate) fn is_of_empty(self) -> bool {
        self.0 == <[u8; 32]>::from(Sha256::digest([]))
    }

    /// The hexadecimal digits, as written in the table of workspaces.
    #[must_use]
    pub fn to_hex(self) -> String {
        self.0.iter().map(|byte| format!("{byte:02x}")).collect()
    }
}

impl fmt::Debug for KeyHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyHash(..)")
    }
}

impl From<KeyHash> for String {
    fn from(hash: KeyHash) -> Self {
        hash.to_hex()
    }
}

impl FromStr for KeyHash {
    type Err = ParseKeyHashError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        if text.len() != HASH_DIGITS || !text.bytes().all(|byte| byte.is_ascii_hexdigit()) {
            return Err(ParseKeyHashError);
        }
        let mut bytes = [0; 32];
        for (idx, byte) in bytes.iter_mut().enumerate() {
            let digits = &text[2 * idx..2 * idx + 2];
            *byte = u8::from_str_radix(digits, 16).map_err(|_| ParseKeyHashError)?;
        }
        Ok(Self(bytes))
    }
}

impl TryFrom<String> for KeyHash {
    type Error = ParseKeyHashError;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        text.parse()
    }
}
