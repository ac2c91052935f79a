use std::time::Duration;

use bytes::Bytes;
use dw_platform::{Commit, Guard, Platform, PlatformError, Put, Txn};
use dw_tables::{HEAD_KEY, Head, history_key};
use tokio::time::{Instant, timeout};

use crate::{
    Failure,
    store::{Held, pause, read_head, read_history},
};

/// The longest look at head and history, so that a platform that answers slowly leaves time for
/// another attempt.
const LOOK_TIMEOUT: Duration = Duration::from_secs(3);

/// What became of an edit.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Swap {
    /// It is accepted.
    Done,
    /// It is not accepted and cannot be any more, because the head has changed.
    Lost,
    /// It may be accepted or not.
    Unknown,
    /// It is not accepted: no attempt reached the platform.
    Failed(PlatformError),
}

/// What the platform shows of an edit.
enum Seen {
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
    held: &Held,
    head: &Head,
    limit: Duration,
) -> Result<Swap, Failure> {
    let txn = transaction(held, head)?;
    let end = Instant::now() + limit;
    let mut doubt = false;
    for attempt in 0.. {
        let error = match platform.commit(txn.clone()).await {
            Ok(Commit::Done { .. }) => return Ok(Swap::Done),
            Ok(Commit::Conflict { .. }) => match look(platform, head).await {
                Ok(Seen::Own) => return Ok(Swap::Done),
                Ok(Seen::Other) => return Ok(Swap::Lost),
                // An earlier attempt may have been accepted and the platform then restored from
                // an older copy.
                Ok(Seen::Absent) if doubt => return Ok(Swap::Unknown),
                Ok(Seen::Absent) => return Ok(Swap::Lost),
                // The client may have sent the transaction twice, so the conflict may be with
                // the first copy.
                Err(_) => PlatformError::Unanswered,
            },
            Err(error) => error,
        };
        match error {
            PlatformError::Unanswered | PlatformError::Protocol(_) => doubt = true,
            PlatformError::Unreachable { .. }
            | PlatformError::Overloaded
            | PlatformError::BudgetExhausted => {}
            // Nothing was done, and repeating it would not help.
            _ if !doubt => return Ok(Swap::Failed(error)),
            _ => return Ok(Swap::Unknown),
        }
        if doubt {
            match look(platform, head).await {
                Ok(Seen::Own) => return Ok(Swap::Done),
                Ok(Seen::Other) => return Ok(Swap::Lost),
                Ok(Seen::Absent) | Err(_) => {}
            }
        }
        if Instant::now() >= end {
            return Ok(if doubt { Swap::Unknown } else { Swap::Failed(error) });
        }
        tokio::time::sleep(pause(attempt)).await;
    }
    Ok(Swap::Unknown)
}

fn transaction(held: &Held, head: &Head) -> Result<Txn, Failure> {
    let value = serde_json::to_vec(head).map_err(|e| {
        Failure::new(crate::Exit::Failed, format!("the head cannot be written: {e}"))
    })?;
    let value = Bytes::from(value);
    let history = history_key(head.number);
    Ok(Txn {
        guards: vec![
            Guard { key: HEAD_KEY.to_owned(), revision: held.revision },
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

async fn look<P: Platform>(platform: &P, own: &Head) -> Result<Seen, Failure> {
    let late = |_| Failure::from(PlatformError::Unanswered);
    timeout(LOOK_TIMEOUT, find(platform, own)).await.map_err(late)?
}

async fn find<P: Platform>(platform: &P, own: &Head) -> Result<Seen, Failure> {
    let held = read_head(platform).await?;
    let found = match held.head {
        Some(head) if head.number == own.number => Some(head),
        Some(head) if head.number > own.number => read_history(platform, own.number).await?,
        _ => None,
    };
    Ok(match found {
        Some(head) if head.change == own.change => Seen::Own,
        Some(_) => Seen::Other,
        None => Seen::Absent,
    })
}
