use std::time::Duration;

use bytes::Bytes;
use dw_platform::{Commit, Guard, Platform, PlatformError, Put, Txn};
use dw_tables::{HEAD_KEY, Head, history_key};
use tokio::time::{Instant, timeout};

use crate::{
    Failure,
    store::{StoredHead, backoff, read_head, read_history},
};

/// The longest look at head and history, so that a platform that answers slowly leaves time for
/// another attempt.
const READ_BACK_TIMEOUT: Duration = Duration::from_secs(3);

/// What became of an edit.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum SwapOutcome {
    /// It is accepted.
    Done,
    /// It is not accepted and cannot be any more, because the head has changed.
    Stale,
    /// It may be accepted or not.
    Unknown,
    /// It is not accepted: no attempt reached the platform.
    Failed(PlatformError),
}

/// What the platform shows of an edit.
enum WriteStatus {
    Own,
    Other,
    Absent,
}

/// Makes `head` the platform's head if it still has the revision in `held`, and finds out the
/// outcome after a lost response.
///
/// The change id in the head, or in the history if the head has moved on, tells whether the write
/// took effect. If it is not there, the write may still be on its way, so a read alone proves
/// nothing: the same transaction is sent again. Its guard lets at most one of the copies take
/// effect.
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
                // An earlier attempt may have been accepted and the platform then restored from
                // an older copy.
                Ok(WriteStatus::Absent) if ambiguous => return Ok(SwapOutcome::Unknown),
                Ok(WriteStatus::Absent) => return Ok(SwapOutcome::Stale),
                // The client may have sent the transaction twice, so the conflict may be with
                // the first copy.
                Err(_) => PlatformError::Unanswered,
            },
            Err(error) => error,
        };
        match error {
            PlatformError::Unanswered | PlatformError::Protocol(_) => ambiguous = true,
            PlatformError::Unreachable { .. }
            | PlatformError::Overloaded
            | PlatformError::Budget => {}
            // Nothing was done, and repeating it would not help.
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
        Failure::new(crate::Exit::Failed, format!("the head cannot be written: {e}"))
    })?;
    let value = Bytes::from(value);
    let history = history_key(head.number);
    Ok(Txn {
        guards: vec![
            Guard { key: HEAD_KEY.to_owned(), revision: stored.revision },
            // An accepted version is never replaced in the history.
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
