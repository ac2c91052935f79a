use sha2::{Digest, Sha256};

/// Returns the first eight bytes of the SHA-256 of `parts`, each preceded by its length.
///
/// Daemons of different builds have to agree on ranks and digests, hence a standard hash.
pub(crate) fn hash64(parts: &[&[u8]]) -> u64 {
    let mut sha = Sha256::new();
    for part in parts {
        sha.update((part.len() as u64).to_be_bytes());
        sha.update(part);
    }
    let bytes: [u8; 32] = sha.finalize().into();
    bytes[..8].iter().fold(0, |sum, b| sum << 8 | u64::from(*b))
}

/// Returns the rank by which rendezvous hashing orders a host under a key.
pub(crate) fn rank(key: &[u8], host: &str) -> u64 {
    hash64(&[b"rank", key, host.as_bytes()])
}

/// Identifies one process on a host in acknowledgement sums and in digests of a domain's processes.
pub(crate) fn process(host: &str, started: u64) -> u64 {
    hash64(&[b"process", host.as_bytes(), &started.to_be_bytes()])
}

/// Identifies one member record in table digests.
pub(crate) fn record(host: &str, incarnation: u64) -> u64 {
    hash64(&[b"record", host.as_bytes(), &incarnation.to_be_bytes()])
}
