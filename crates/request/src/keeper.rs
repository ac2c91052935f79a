use std::{collections::HashMap, sync::Arc, time::Duration};

use dw_tables::Name;
use tokio::time::Instant;

use crate::{KeyOutcome, Member, Reason, Record, RecordState, Refusal, StoredAnswer};

/// How long a record is kept after the key was first claimed.
pub const RECORD_WINDOW: Duration = Duration::from_secs(600);

/// How long after a keeper's death keys without a stated first time are refused. Longer than the
/// longest deadline plus [`CLOCK_SKEW`], so that nothing the keeper forwarded starts afterwards.
pub const KEEPER_HOLD: Duration = Duration::from_secs(30);

/// Assumed bound of the difference between the wall clocks of two hosts.
pub const CLOCK_SKEW: Duration = Duration::from_millis(500);

/// The largest response that is kept for repeats, in bytes.
pub const ANSWER_LIMIT: usize = 64 * 1024;

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
    /// Forward it, then call [`Keeper::settle`].
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
    /// Ask this daemon with [`Keeper::cede`] first, then call [`Keeper::resume`].
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
pub enum Held {
    /// It has no record and will forward no request with the key any more.
    Free,
    /// It has this record.
    Record(Record),
    /// The record may have been lost before.
    Lost,
    /// It does not know; ask this daemon.
    Ask(Name),
}

/// Records for one daemon that takes over from one that leaves.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HandOver {
    /// The daemon that takes over.
    pub to: Name,
    /// Its records; may be empty, which also tells it that nothing is missing.
    pub records: Vec<Record>,
}

/// The at-most-once records of the keys that this daemon keeps.
///
/// A key must identify one request of one caller: the daemon combines what the caller sent with
/// whatever separates callers, so that nobody receives the response to another's request.
#[derive(Debug)]
pub struct Keeper {
    config: KeeperConfig,
    records: HashMap<Name, RecordState>,
}

impl Keeper {
    /// A keeper without records or members.
    #[must_use]
    pub fn new(config: KeeperConfig) -> Self {
        Self { config, records: HashMap::new() }
    }

    /// Replaces the view of the daemons; those of other domains are ignored.
    pub fn set_members(&mut self, _members: &[Member], _now: Instant) {}

    /// Decides whether a request may be forwarded, and records the key if so.
    pub fn claim(&mut self, key: &Name, _first_sent: Option<Instant>, _now: Instant) -> Claim {
        match self.records.get(key) {
            None if self.records.len() >= self.config.records => Claim::Full,
            None => {
                self.records.insert(key.clone(), RecordState::InProgress);
                Claim::New
            }
            Some(RecordState::InProgress) => Claim::InProgress,
            Some(RecordState::Answered(answer)) => Claim::Answered(Arc::clone(answer)),
            Some(RecordState::NotKept) => Claim::NotKept,
            Some(RecordState::Unknown) => Claim::Unknown,
        }
    }

    /// Records how a claimed request ended. Must be called for every [`Claim::New`].
    pub fn settle(&mut self, key: &Name, outcome: KeyOutcome, _now: Instant) {
        let state = match outcome {
            KeyOutcome::NotRun => {
                self.records.remove(key);
                return;
            }
            KeyOutcome::Answered(answer) if answer.size() > ANSWER_LIMIT => RecordState::NotKept,
            KeyOutcome::Answered(answer) => RecordState::Answered(Arc::new(answer)),
            KeyOutcome::NotKept => RecordState::NotKept,
            KeyOutcome::Unknown => RecordState::Unknown,
        };
        if let Some(record) = self.records.get_mut(key) {
            *record = state;
        }
    }

    /// Answers a newer keeper that asks before it forwards a request with this key.
    pub fn cede(
        &mut self,
        key: &Name,
        _first_sent: Option<Instant>,
        _to: &Name,
        _now: Instant,
    ) -> Held {
        self.records.get(key).map_or(Held::Free, |state| {
            Held::Record(Record { key: key.clone(), state: state.clone(), age: Duration::ZERO })
        })
    }

    /// Continues a claim that returned [`Claim::Ask`]; `None` if the daemon was not reached.
    pub fn resume(&mut self, _key: &Name, reply: Option<Held>, _now: Instant) -> Claim {
        match reply {
            Some(Held::Free) => Claim::New,
            Some(Held::Ask(host)) => Claim::Ask(host),
            _ => Claim::Lost,
        }
    }

    /// Takes no new keys from now on.
    pub const fn leave(&mut self) {}

    /// The records for each daemon that takes over. Call it after [`Self::leave`], when no claimed
    /// request is in progress any more.
    pub fn hand_over(&mut self, _now: Instant) -> Vec<HandOver> {
        Vec::new()
    }

    /// Takes over the records of a daemon that leaves.
    pub fn accept(&mut self, _from: &Name, records: Vec<Record>, _now: Instant) {
        for record in records {
            self.records.insert(record.key, record.state);
        }
    }

    /// Removes what has expired. Claims do so too; call it now and then on an idle keeper.
    pub fn expire(&mut self, _now: Instant) {}

    /// Records held.
    #[must_use]
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether no record is held.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }
}
