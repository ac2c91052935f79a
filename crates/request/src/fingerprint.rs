use derive_more::{Debug, Display};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// Identifies a request across daemons and repeats, so that a request that crashes targets can be
/// recognized.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[debug("{_0:032x}")]
#[display("{_0:032x}")]
#[serde(transparent)]
pub struct Fingerprint(u128);

impl Fingerprint {
    /// The fingerprint of a request with an idempotency key.
    #[must_use]
    pub fn of_key(key: &str) -> Self {
        Self::digest(&[b"key", key.as_bytes()])
    }

    /// The fingerprint of a request without a key.
    #[must_use]
    pub fn of_request(method: &str, path: &str, body: &[u8; 32]) -> Self {
        Self::digest(&[b"request", method.as_bytes(), path.as_bytes(), body])
    }

    /// Decodes a fingerprint from the bytes of a broadcast.
    #[must_use]
    pub const fn from_bytes(bytes: [u8; 16]) -> Self {
        Self(u128::from_be_bytes(bytes))
    }

    /// Encodes the fingerprint for a broadcast.
    #[must_use]
    pub const fn to_bytes(self) -> [u8; 16] {
        self.0.to_be_bytes()
    }

    /// The part of the fingerprint by which daemons tell each other of the request.
    #[must_use]
    pub const fn short(self) -> u64 {
        (self.0 >> 64) as u64
    }

    /// Hashes each part with its length, so that `("a", "bc")` and `("ab", "c")` differ.
    fn digest(parts: &[&[u8]]) -> Self {
        let mut hasher = Sha256::new();
        for part in parts {
            hasher.update((part.len() as u64).to_be_bytes());
            hasher.update(part);
        }
        let hash: [u8; 32] = hasher.finalize().into();
        let mut bytes = [0; 16];
        bytes.copy_from_slice(&hash[..16]);
        Self::from_bytes(bytes)
    }
}
