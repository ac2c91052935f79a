use std::{sync::Arc, time::Duration};

use dw_tables::Name;

use crate::{Reason, Record, Refusal, StoredAnswer};

/// How long a record is kept after the key was first claimed.
pub const RECORD_WINDOW: Duration = Duration::from_secs(600);

/// How long after a keeper's death keys without a stated first time are refused. Longer than the
/// longest deadline plus [`CLOCK_SKEW`], so that nothing the keeper forwarded starts afterwards.
pub const KEEPER_HOLD: Duration = Duration::from_secs(30);

/// Assumed bound of the difference between the wall clocks of two hosts.
pub const CLOCK_SKEW: Duration = Duration::from_millis(500);

/// The largest response that is kept for repeats, in bytes.
pub const MAX_STORED_ANSWER_BYTES: usize = 64 * 1024;

/// Limits of one keeper.
#[derive(Clone, Debug)]
pub struct KeeperConfig {
    /// Own host.
    pub host: Name,
    /// Own failure domain.
    pub domain: Name,
    /// How long a record is kept.
    pub window: Duration,
    /// How long keys without a stated first time are refused after a keeper's death, and after the
    /// start of a keeper that finds no earlier one to ask.
    pub hold: Duration,
    /// Tolerance when a caller's stated time is compared with a death.
    pub skew: Duration,
    /// Records at most.
    pub records: usize,
    /// Bytes of kept responses at most.
    pub bytes: usize,
}

impl Default for KeeperConfig {
    fn default() -> Self {
        Self {
            host: Name::default(),
            domain: Name::default(),
            window: RECORD_WINDOW,
            hold: KEEPER_HOLD,
            skew: CLOCK_SKEW,
            records: 100_000,
            bytes: 32 * 1024 * 1024,
        }
    }
}

/// Whether a request with a key may be forwarded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Claim {
    /// Forward it, then call [`crate::Keeper::settle`].
    New,
    /// An earlier one is in progress.
    InProgress,
    /// An earlier one was answered; return the same response.
    Answered(Arc<StoredAnswer>),
    /// An earlier one was answered; the response was not kept.
    NotKept,
    /// An earlier one may have been run.
    Unknown,
    /// An earlier one may have been run by a keeper whose records are lost.
    Lost,
    /// There is no room for another record.
    Full,
    /// Another daemon keeps the key; send the claim there.
    Elsewhere(Name),
    /// Ask this daemon with [`crate::Keeper::cede`] first, then call [`crate::Keeper::resume`].
    Ask(Name),
}

impl Claim {
    /// The response to the caller where the claim alone decides it.
    #[must_use]
    pub const fn refusal(&self) -> Option<Refusal> {
        let reason = match self {
            Self::New | Self::Answered(_) | Self::Ask(_) => return None,
            Self::InProgress => Reason::InProgress,
            Self::NotKept => Reason::AnswerNotKept,
            Self::Unknown => Reason::RecordUnknown,
            Self::Lost => Reason::RecordLost,
            Self::Full => Reason::KeeperFull,
            Self::Elsewhere(_) => Reason::KeeperMoved,
        };
        Some(Refusal::new(reason))
    }
}

/// The reply of an earlier keeper to a newer one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CedeReply {
    /// It has no record and will forward no request with the key any more.
    Free,
    /// It has this record.
    Record(Record),
    /// The record may have been lost before.
    Lost,
    /// It does not know; ask this daemon.
    Ask(Name),
}

/// A part of the records for one daemon that takes over from one that leaves.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HandOver {
    /// The daemon that takes over.
    pub to: Name,
    /// The records; may be empty.
    pub records: Vec<Record>,
    /// Whether this is the last part, without records. Every daemon that takes over gets one, so
    /// that it knows that nothing is missing.
    pub last: bool,
    /// Digest of the daemons among which the records were divided. One that knows of others may
    /// expect records that went elsewhere.
    pub successor_digest: u64,
}
