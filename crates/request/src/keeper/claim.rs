use std::{sync::Arc, time::Duration};

use dw_tables::Name;

use crate::{Reason, Record, Refusal, StoredAnswer};

/// How long a record is kept after its key was first claimed.
pub const RECORD_WINDOW: Duration = Duration::from_secs(600);

/// How long keys without a first-sent time are refused after a keeper died. It exceeds the longest
/// deadline plus [`CLOCK_SKEW`], so no request that the keeper forwarded can start afterwards.
pub const KEEPER_HOLD: Duration = Duration::from_secs(30);

/// Assumed upper bound on the difference between the wall clocks of two hosts.
pub const CLOCK_SKEW: Duration = Duration::from_millis(500);

/// Size of the largest response that is stored for repeats.
pub const MAX_STORED_ANSWER_BYTES: usize = 64 * 1024;

/// Identity and limits of a [`crate::Keeper`].
#[derive(Clone, Debug)]
pub struct KeeperConfig {
    /// The host of this daemon.
    pub host: Name,
    /// The failure domain of this daemon.
    pub domain: Name,
    /// How long a record is kept.
    pub window: Duration,
    /// How long keys without a first-sent time are refused after a keeper died, and after the start
    /// of a keeper that finds no earlier one to ask.
    pub hold: Duration,
    /// Clock tolerance when the first-sent time of a caller is compared with the death of a keeper.
    pub skew: Duration,
    /// Maximum number of records.
    pub max_records: usize,
    /// Maximum total size of stored responses.
    pub max_bytes: usize,
}

impl Default for KeeperConfig {
    fn default() -> Self {
        Self {
            host: Name::default(),
            domain: Name::default(),
            window: RECORD_WINDOW,
            hold: KEEPER_HOLD,
            skew: CLOCK_SKEW,
            max_records: 100_000,
            max_bytes: 32 * 1024 * 1024,
        }
    }
}

/// Whether a request with a key may be forwarded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Claim {
    /// Forward it, then call [`crate::Keeper::settle`].
    New,
    /// An earlier request with the key is in progress.
    InProgress,
    /// An earlier request was answered; return the same response.
    Answered(Arc<StoredAnswer>),
    /// An earlier request was answered, but its response was not stored.
    NotKept,
    /// An earlier request may have been run.
    Unknown,
    /// An earlier request may have been forwarded by a keeper whose records are lost.
    Lost,
    /// There is no room for another record.
    Full,
    /// Another daemon is the keeper of the key; send the claim there.
    Elsewhere(Name),
    /// Ask this daemon with [`crate::Keeper::cede`] first, then call [`crate::Keeper::resume`].
    Ask(Name),
}

impl Claim {
    /// The refusal to return to the caller; `None` if the claim does not refuse the request.
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

/// The reply of an earlier keeper to a newer one that asks for a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CedeReply {
    /// It has no record and will not forward a request with the key from now on.
    Free,
    /// It has a record of the key.
    Record(Record),
    /// There may have been a record that was lost.
    Lost,
    /// It cannot tell; ask this daemon instead.
    Ask(Name),
}

/// A part of the records that a leaving daemon sends to one of its successors.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HandOver {
    /// The successor that receives the part.
    pub to: Name,
    /// The records; may be empty.
    pub records: Vec<Record>,
    /// Whether this is the last part, which has no records. Every successor gets one, so that it
    /// knows that nothing is missing.
    pub last: bool,
    /// Digest of all successors among which the records were divided. A successor with a different
    /// view of membership may expect records that were sent to another one.
    pub successor_digest: u64,
}
