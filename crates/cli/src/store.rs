use std::{future::Future, time::Duration};

use bytes::Bytes;
use dw_platform::{Commit, Platform, PlatformError, Put, Txn};
use dw_tables::{
    HEAD_KEY, Hash, Head, MAX_PART_BYTES, Tables, Version, history_key, join_parts, part_key,
    split_parts,
};

use crate::{Exit, Failure};

/// Maximum number of attempts of a read or an idempotent write.
const MAX_ATTEMPTS: u32 = 4;
/// Upper bound of the pause after the first attempt; it doubles with each further attempt.
const BASE_BACKOFF: Duration = Duration::from_millis(100);
/// Upper bound of the pause between any two attempts.
const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// The head as stored in the platform.
#[derive(Clone, Debug)]
pub(crate) struct StoredHead {
    /// The head, or `None` before the first version.
    pub head: Option<Head>,
    /// The revision of the head's key; 0 if the key does not exist.
    pub revision: u64,
}

impl StoredHead {
    /// The number of the newest version; 0 before the first version.
    pub(crate) fn number(&self) -> u64 {
        self.head.as_ref().map_or(0, |head| head.number)
    }

    /// The content hash of the newest version.
    pub(crate) fn hash(&self) -> Hash {
        self.head.as_ref().map(|head| head.hash).unwrap_or_default()
    }
}

/// Reads the head from the platform.
pub(crate) async fn read_head<P: Platform>(platform: &P) -> Result<StoredHead, Failure> {
    let Some(entry) = retry(|| platform.get(HEAD_KEY)).await? else {
        return Ok(StoredHead { head: None, revision: 0 });
    };
    let head = parse_head(HEAD_KEY, &entry.value)?;
    Ok(StoredHead { head: Some(head), revision: entry.revision })
}

/// Reads the head of version `number` from the history.
pub(crate) async fn read_history<P: Platform>(
    platform: &P,
    number: u64,
) -> Result<Option<Head>, Failure> {
    let key = history_key(number);
    let entry = retry(|| platform.get(&key)).await?;
    entry.map(|entry| parse_head(&key, &entry.value)).transpose()
}

/// Reads the tables of a version. Version 0 stands for empty tables.
pub(crate) async fn read_version<P: Platform>(
    platform: &P,
    stored: &StoredHead,
    number: u64,
) -> Result<Tables, Failure> {
    match &stored.head {
        _ if number == 0 => Ok(Tables::default()),
        Some(head) if head.number == number => read_parts(platform, head).await,
        _ => match read_history(platform, number).await? {
            Some(head) => read_parts(platform, &head).await,
            None => Err(Failure::new(
                Exit::Failed,
                format!("version {number} is not in the history of the platform"),
            )),
        },
    }
}

async fn read_parts<P: Platform>(platform: &P, head: &Head) -> Result<Tables, Failure> {
    let corrupt =
        |what: &str| Failure::new(Exit::Failed, format!("version {}: {what}", head.number));
    let mut parts = Vec::with_capacity(head.parts.len());
    for hash in &head.parts {
        let key = part_key(*hash);
        let entry = retry(|| platform.get(&key)).await?;
        let entry = entry.ok_or_else(|| corrupt(&format!("part {hash} is missing")))?;
        parts.push(entry.value.to_vec());
    }
    let text = join_parts(&parts, head.hash)
        .ok_or_else(|| corrupt("the parts do not match the content hash"))?;
    Tables::from_canonical(&text).map_err(|e| corrupt(&format!("the tables cannot be parsed: {e}")))
}

/// Writes the parts of a version and returns their hashes. Parts are keyed by their content hash,
/// so a retry after a lost response changes nothing.
pub(crate) async fn write_parts<P: Platform>(
    platform: &P,
    version: &Version,
) -> Result<Vec<Hash>, Failure> {
    let mut hashes = Vec::new();
    for (hash, part) in split_parts(&version.tables.canonical(), MAX_PART_BYTES) {
        let put = Put { key: part_key(hash), value: Bytes::from(part), lease: None };
        let txn = Txn { puts: vec![put], ..Txn::default() };
        match retry(|| platform.commit(txn.clone())).await? {
            Commit::Done { .. } => hashes.push(hash),
            Commit::Conflict { .. } => {
                let message = format!("the platform refused to write part {hash}");
                return Err(Failure::new(Exit::Failed, message));
            }
        }
    }
    Ok(hashes)
}

/// The pause before attempt `attempt + 1`: exponential backoff with full jitter.
pub(crate) fn backoff(attempt: u32) -> Duration {
    let longest = BASE_BACKOFF.saturating_mul(1 << attempt.min(10)).min(MAX_BACKOFF);
    longest.mul_f64(rand::random::<f64>())
}

fn parse_head(key: &str, value: &[u8]) -> Result<Head, Failure> {
    serde_json::from_slice(value)
        .map_err(|e| Failure::new(Exit::Failed, format!("{key} in the platform is damaged: {e}")))
}

pub(crate) async fn retry<T, F>(call: impl Fn() -> F) -> Result<T, PlatformError>
where
    F: Future<Output = Result<T, PlatformError>>,
{
    for attempt in 1..MAX_ATTEMPTS {
        match call().await {
            Err(
                PlatformError::Unreachable { .. }
                | PlatformError::Unanswered
                | PlatformError::Overloaded
                | PlatformError::BudgetExhausted,
            ) => tokio::time::sleep(backoff(attempt - 1)).await,
            other => return other,
        }
    }
    call().await
}
