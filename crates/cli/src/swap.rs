use std::time::Duration;

use bytes::Bytes;
use dw_platform::{Commit, Guard, Platform, PlatformError, Put, Txn};
use dw_tables::{HEAD_KEY, Head, history_key};
use tokio::time::{Instant, timeout};

use crate::{
    Failure,
    store::{StoredHead, backoff, read_head, read_history},
};

/// Time limit for reading back the head and the history. It leaves time for another attempt if the
/// platform answers slowly.
const READ_BACK_TIMEOUT: Duration = Duration::from_secs(3);

/// The outcome of publishing a head.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum SwapOutcome {
    /// The head was accepted.
    Done,
    /// The head was not accepted and cannot be accepted any more, because the platform's head has
    /// changed.
    Stale,
    /// The head may or may not have been accepted.
    Unknown,
    /// The head was not accepted, because no attempt took effect.
    Failed(PlatformError),
}

/// Which write the platform holds for a version number.
enum WriteStatus {
    /// The write of this run.
    Own,
    /// The write of another operator.
    Other,
    /// No write yet.
    Absent,
}

/// Replaces the platform's head with `head` if the key still has the revision in `stored`, and
/// determines the outcome after a lost response.
///
/// The change id in the head, or in the history if a newer head has been accepted since, tells
/// whether the write took effect. If the id is not found, the write may still be in flight, so a
/// read alone proves nothing and the same transaction is sent again. Its guards let at most one of
/// the copies take effect.
pub(crate) async fn swap<P: Platform>(
    platform: &P,
    stored: &StoredHead,
    head: &Head,
    limit: Duration,
) -> Result<SwapOutcome, Failure> {
    let txn = transaction(stored, head)?;
    let deadline = Instant::now() + limit;
    let mut ambiguous = false;
    for attempt in 0.. {
        let error = match platform.commit(txn.clone()).await {
            Ok(Commit::Done { .. }) => return Ok(SwapOutcome::Done),
            Ok(Commit::Conflict { .. }) => match read_back(platform, head).await {
                Ok(WriteStatus::Own) => return Ok(SwapOutcome::Done),
                Ok(WriteStatus::Other) => return Ok(SwapOutcome::Stale),
                // An earlier attempt may have been accepted before the platform was restored from
                // an older copy.
                Ok(WriteStatus::Absent) if ambiguous => return Ok(SwapOutcome::Unknown),
                Ok(WriteStatus::Absent) => return Ok(SwapOutcome::Stale),
                // The client may have sent the transaction twice, so this may be a conflict with
                // the first copy.
                Err(_) => PlatformError::Unanswered,
            },
            Err(error) => error,
        };
        match error {
            PlatformError::Unanswered | PlatformError::Protocol(_) => ambiguous = true,
            PlatformError::Unreachable { .. }
            | PlatformError::Overloaded
            | PlatformError::BudgetExhausted => {}
            // The transaction had no effect, and a retry would fail in the same way.
            _ if !ambiguous => return Ok(SwapOutcome::Failed(error)),
            _ => return Ok(SwapOutcome::Unknown),
        }
        if ambiguous {
            match read_back(platform, head).await {
                Ok(WriteStatus::Own) => return Ok(SwapOutcome::Done),
                Ok(WriteStatus::Other) => return Ok(SwapOutcome::Stale),
                Ok(WriteStatus::Absent) | Err(_) => {}
            }
        }
        if Instant::now() >= deadline {
            return Ok(if ambiguous { SwapOutcome::Unknown } else { SwapOutcome::Failed(error) });
        }
        tokio::time::sleep(backoff(attempt)).await;
    }
    Ok(SwapOutcome::Unknown)
}

fn transaction(stored: &StoredHead, head: &Head) -> Result<Txn, Failure> {
    let value = serde_json::to_vec(head).map_err(|e| {
        Failure::new(crate::Exit::Failed, format!("the head cannot be encoded: {e}"))
    })?;
    let value = Bytes::from(value);
    let history = history_key(head.number);
    Ok(Txn {
        guards: vec![
            Guard { key: HEAD_KEY.to_owned(), revision: stored.revision },
            // The history entry must not exist: an accepted version is never replaced.
            Guard { key: history.clone(), revision: 0 },
        ],
        puts: vec![
            Put { key: HEAD_KEY.to_owned(), value: value.clone(), lease: None },
            Put { key: history, value, lease: None },
        ],
        deletes: Vec::new(),
    })
}

async fn read_back<P: Platform>(platform: &P, own: &Head) -> Result<WriteStatus, Failure> {
    let on_timeout = |_| Failure::from(PlatformError::Unanswered);
    timeout(READ_BACK_TIMEOUT, find_write(platform, own)).await.map_err(on_timeout)?
}

async fn find_write<P: Platform>(platform: &P, own: &Head) -> Result<WriteStatus, Failure> {
    let stored = read_head(platform).await?;
    let found = match stored.head {
        Some(head) if head.number == own.number => Some(head),
        Some(head) if head.number > own.number => read_history(platform, own.number).await?,
        _ => None,
    };
    Ok(match found {
        Some(head) if head.change == own.change => WriteStatus::Own,
        Some(_) => WriteStatus::Other,
        None => WriteStatus::Absent,
    })
}
