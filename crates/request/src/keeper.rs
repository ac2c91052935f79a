//! Requests with an idempotency key: which daemon keeps the record of a key, and the records.

mod claim;
mod member;
mod peers;
pub(crate) mod placement;
mod record;
mod records;

pub use claim::{
    CLOCK_SKEW, CedeReply, Claim, HandOver, KEEPER_HOLD, KeeperConfig, MAX_STORED_ANSWER_BYTES,
    RECORD_WINDOW,
};
pub use member::{Member, MemberState};
pub use placement::{Ranking, home_domain};
pub use record::{KeyOutcome, Record, RecordState, StoredAnswer};

use std::{collections::BTreeMap, time::Duration};

use dw_tables::Name;
use tokio::time::Instant;

use peers::{KeeperTiming, KeyOwner, Peers};
use records::{KeyEntry, Records};

/// Maximum number of earlier keepers that are asked about one key. A long chain arises only if many
/// daemons of a domain joined within the record window.
const MAX_ASKED_KEEPERS: usize = 16;

/// Time within which earlier keepers must reply. A later reply may be wrong, because the hold on which
/// it depends may have ended after the claim was made.
const ASK_TIMEOUT: Duration = Duration::from_secs(2);

/// Bytes of records in one [`HandOver`], well below the largest message between daemons (4 MiB).
const HAND_OVER_PART_BYTES: usize = 1024 * 1024;

/// Holds the at-most-once records of the idempotency keys that are assigned to this daemon.
///
/// A key must identify one request of one caller. The daemon therefore combines the key that the caller
/// sent with the identity of the caller, so that no caller receives the response to another's request.
#[derive(Debug)]
pub struct Keeper {
    config: KeeperConfig,
    records: Records,
    peers: Peers,
    leaving: bool,
}

impl Keeper {
    /// Creates a keeper without records or members.
    #[must_use]
    pub fn new(config: KeeperConfig) -> Self {
        let KeeperConfig { window, hold, skew, .. } = config;
        Self {
            records: Records::new(config.max_records, config.max_bytes),
            peers: Peers::new(config.host.clone(), KeeperTiming { window, hold, skew }),
            config,
            leaving: false,
        }
    }

    /// Replaces the view of membership, which includes this daemon. Members of other domains are
    /// ignored. A member that left or died must be listed for a while, or at least once.
    pub fn set_members(&mut self, members: &[Member], now: Instant) {
        let domain = &self.config.domain;
        self.peers.update(members.iter().filter(|m| m.domain == *domain), now);
    }

    /// Decides whether a request may be forwarded, and records the key if so.
    pub fn claim(&mut self, key: &Name, first_sent: Option<Instant>, now: Instant) -> Claim {
        self.expire(now);
        match self.records.get(key) {
            Some(KeyEntry::Kept(state)) => return claim_of(state),
            Some(KeyEntry::Asking { .. }) => return Claim::InProgress,
            Some(KeyEntry::Ceded { to, .. }) if self.peers.is_live(to) => {
                return Claim::Elsewhere(to.clone());
            }
            Some(KeyEntry::Ceded { .. }) => return Claim::Lost,
            None if self.is_outdated(first_sent, now) => return Claim::Lost,
            None => {}
        }
        if self.leaving {
            return self
                .peers
                .successor(key)
                .map_or(Claim::Full, |successor| Claim::Elsewhere(successor.clone()));
        }
        let (entry, claim) = match self.peers.key_owner(key, first_sent, &[], now) {
            KeyOwner::Remote(host) => return Claim::Elsewhere(host),
            KeyOwner::Local { earlier: Some(host), lost } => {
                (KeyEntry::Asking { asked: vec![host.clone()], lost }, Claim::Ask(host))
            }
            KeyOwner::Local { earlier: None, lost: true } => return Claim::Lost,
            KeyOwner::Local { earlier: None, lost: false } => {
                (KeyEntry::Kept(RecordState::InProgress), Claim::New)
            }
        };
        if self.records.insert(key, entry, now) { claim } else { Claim::Full }
    }

    /// Records how a claimed request ended. Must be called for every [`Claim::New`].
    pub fn settle(&mut self, key: &Name, outcome: KeyOutcome, now: Instant) {
        self.expire(now);
        if !matches!(self.records.get(key), Some(KeyEntry::Kept(RecordState::InProgress))) {
            return;
        }
        let state = match outcome {
            KeyOutcome::NotRun => return self.records.remove(key),
            KeyOutcome::Answered(answer) if answer.size() <= MAX_STORED_ANSWER_BYTES => {
                RecordState::Answered(answer.into())
            }
            KeyOutcome::Answered(_) | KeyOutcome::NotKept => RecordState::NotKept,
            KeyOutcome::Unknown => RecordState::Unknown,
        };
        self.records.replace(key, KeyEntry::Kept(state));
    }

    /// The daemons that were asked about a key after [`Claim::Ask`], including the current one.
    #[must_use]
    pub fn asked(&self, key: &Name) -> &[Name] {
        match self.records.get(key) {
            Some(KeyEntry::Asking { asked, .. }) => asked,
            _ => &[],
        }
    }

    /// Answers a newer keeper, `to`, that asks before it forwards a request with this key; `age` is the
    /// time since its process started. The reply refers to no daemon in `asked`, which were asked before:
    /// daemons that started together would otherwise refer to each other forever.
    pub fn cede(
        &mut self,
        key: &Name,
        first_sent: Option<Instant>,
        to: &Name,
        asked: &[Name],
        age: Duration,
        now: Instant,
    ) -> CedeReply {
        self.expire(now);
        let started = now.checked_sub(age).unwrap_or(now);
        self.peers.observe_start(to, started, now);
        match self.records.get(key) {
            Some(KeyEntry::Kept(state)) => {
                return CedeReply::Record(self.record(key, state.clone(), now));
            }
            Some(KeyEntry::Asking { .. }) => {
                return CedeReply::Record(self.record(key, RecordState::InProgress, now));
            }
            Some(KeyEntry::Ceded { to: host, started: before }) if host == to => {
                let same = started <= *before + self.config.skew;
                return if same { CedeReply::Free } else { CedeReply::Lost };
            }
            Some(KeyEntry::Ceded { to: host, .. }) if self.peers.is_live(host) => {
                return CedeReply::Ask(host.clone());
            }
            Some(KeyEntry::Ceded { .. }) => return CedeReply::Lost,
            None if self.is_outdated(first_sent, now) => return CedeReply::Lost,
            None => {}
        }
        let without: Vec<&Name> = asked.iter().chain([to]).collect();
        match self.peers.key_owner(key, first_sent, &without, now) {
            KeyOwner::Remote(host) | KeyOwner::Local { earlier: Some(host), lost: false } => {
                CedeReply::Ask(host)
            }
            KeyOwner::Local { lost: true, .. } => CedeReply::Lost,
            // The key must not be ceded if there is no room to remember that it was.
            KeyOwner::Local { earlier: None, lost: false } => {
                let entry = KeyEntry::Ceded { to: to.clone(), started };
                match self.records.insert(key, entry, now) {
                    true => CedeReply::Free,
                    false => CedeReply::Lost,
                }
            }
        }
    }

    /// Continues a claim that returned [`Claim::Ask`]; `reply` is `None` if the daemon was not reached.
    /// Must be called for every such claim within 2 s, or the record counts as lost.
    pub fn resume(&mut self, key: &Name, reply: Option<CedeReply>, now: Instant) -> Claim {
        let (asked, lost) = match self.records.get(key) {
            Some(KeyEntry::Asking { asked, lost }) => (asked.clone(), *lost),
            Some(KeyEntry::Kept(state)) => return claim_of(state),
            Some(KeyEntry::Ceded { .. }) | None => return Claim::Lost,
        };
        let late = self.records.age(key, now) > ASK_TIMEOUT;
        match reply.filter(|_| !late) {
            Some(CedeReply::Free) if !lost => {
                self.records.replace(key, KeyEntry::Kept(RecordState::InProgress));
                Claim::New
            }
            Some(CedeReply::Ask(host))
                if asked.len() < MAX_ASKED_KEEPERS && host != self.config.host =>
            {
                let asked = asked.into_iter().chain([host.clone()]).collect();
                self.records.replace(key, KeyEntry::Asking { asked, lost });
                Claim::Ask(host)
            }
            Some(CedeReply::Record(Record { state: RecordState::InProgress, .. })) => {
                // The record stays with the earlier keeper, which learns the outcome.
                self.records.remove(key);
                Claim::InProgress
            }
            Some(CedeReply::Record(record)) => {
                let claim = claim_of(&record.state);
                let since = now.checked_sub(record.age).unwrap_or(now);
                self.records.insert(key, KeyEntry::Kept(record.state), since);
                claim
            }
            Some(CedeReply::Free | CedeReply::Lost | CedeReply::Ask(_)) | None => {
                self.records.remove(key);
                Claim::Lost
            }
        }
    }

    /// Accepts no new keys from now on.
    pub const fn leave(&mut self) {
        self.leaving = true;
    }

    /// The records to send to each successor. Call it after [`Self::leave`], when no claimed request is
    /// in progress; one that still is in progress is handed over as unknown.
    ///
    /// The parts must be sent in this order. If a part with records is not accepted, the last parts must
    /// not be sent to anyone: update the members and start again, or leave without a hand-over.
    pub fn hand_over(&mut self, now: Instant) -> Vec<HandOver> {
        self.expire(now);
        let successor_digest = self.peers.successor_digest(None);
        let part =
            |to: &Name, records, last| HandOver { to: to.clone(), records, last, successor_digest };
        let mut parts = Vec::new();
        let mut unsent: BTreeMap<&Name, (Vec<Record>, usize)> = BTreeMap::new();
        for (key, entry, age) in self.records.iter(now) {
            let Some(successor) = self.peers.successor(key) else { continue };
            let state = match entry {
                KeyEntry::Asking { .. } => continue,
                KeyEntry::Ceded { to, .. } if to == successor => continue,
                KeyEntry::Kept(RecordState::InProgress) | KeyEntry::Ceded { .. } => {
                    RecordState::Unknown
                }
                KeyEntry::Kept(state) => state.clone(),
            };
            let size = key.len() + if let RecordState::Answered(a) = &state { a.size() } else { 0 };
            let (records, used) = unsent.entry(successor).or_default();
            if *used + size > HAND_OVER_PART_BYTES {
                parts.push(part(successor, std::mem::take(records), false));
                *used = 0;
            }
            records.push(Record { key: key.clone(), state, age });
            *used += size;
        }
        parts.extend(
            unsent.into_iter().map(|(successor, (records, _))| part(successor, records, false)),
        );
        parts.extend(self.peers.successors().map(|successor| part(successor, Vec::new(), true)));
        parts
    }

    /// Stores a part of the records of a leaving daemon; parts arrive in the order of
    /// [`Self::hand_over`]. Returns `false` if there is no room.
    pub fn take_over(&mut self, from: &Name, part: HandOver, now: Instant) -> bool {
        let accepted = self.accept_part(part.records, now);
        if accepted && part.last {
            self.peers.handed_over(from, part.successor_digest);
        }
        accepted
    }

    /// Stores the records of a part; returns `false` if there is no room.
    fn accept_part(&mut self, records: Vec<Record>, now: Instant) -> bool {
        self.expire(now);
        for Record { key, state, age } in records {
            if matches!(self.records.get(&key), Some(KeyEntry::Kept(_))) {
                continue;
            }
            let since = now.checked_sub(age).unwrap_or(now);
            if !self.records.insert(&key, KeyEntry::Kept(state), since) {
                return false;
            }
        }
        true
    }

    /// Removes expired records. Claims do so too; call it periodically on an idle keeper.
    pub fn expire(&mut self, now: Instant) {
        self.records.expire(self.config.window, now);
    }

    /// Number of keys held.
    #[must_use]
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether no key is held.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.len() == 0
    }

    /// Whether the record of a request that was first sent at this time may have expired.
    fn is_outdated(&self, first_sent: Option<Instant>, now: Instant) -> bool {
        first_sent.is_some_and(|sent| {
            now.saturating_duration_since(sent) + self.config.skew >= self.config.window
        })
    }

    fn record(&self, key: &Name, state: RecordState, now: Instant) -> Record {
        let age = self.records.age(key, now);
        Record { key: key.clone(), state, age }
    }
}

fn claim_of(state: &RecordState) -> Claim {
    match state {
        RecordState::InProgress => Claim::InProgress,
        RecordState::Answered(answer) => Claim::Answered(answer.clone()),
        RecordState::NotKept => Claim::NotKept,
        RecordState::Unknown => Claim::Unknown,
    }
}
