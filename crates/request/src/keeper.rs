use std::{collections::BTreeMap, time::Duration};

use dw_tables::Name;
use tokio::time::Instant;

use crate::{
    CedeReply, Claim, HandOver, KeeperConfig, KeyOutcome, MAX_STORED_ANSWER_BYTES, Member, Record,
    RecordState,
    peers::{Duty, Peers, Rules},
    records::{Records, Slot},
};

/// Earlier keepers that are asked about one key at most. A chain of them arises only if many
/// daemons of a domain joined within the window.
const ASK_MAX: usize = 16;

/// Time in which earlier keepers must have replied. A later reply may rest on a hold that ended
/// after the claim was made.
const ASK_TIME: Duration = Duration::from_secs(2);

/// Bytes of responses in one [`HandOver`], well below the largest message between daemons (4 MiB).
const PART: usize = 1024 * 1024;

/// The at-most-once records of the keys that this daemon keeps.
///
/// A key must identify one request of one caller: the daemon combines what the caller sent with
/// whatever separates callers, so that nobody receives the response to another's request.
#[derive(Debug)]
pub struct Keeper {
    config: KeeperConfig,
    records: Records,
    peers: Peers,
    leaving: bool,
}

impl Keeper {
    /// A keeper without records or members.
    #[must_use]
    pub fn new(config: KeeperConfig) -> Self {
        let KeeperConfig { window, hold, skew, .. } = config;
        Self {
            records: Records::new(config.max_records, config.max_bytes),
            peers: Peers::new(config.host.clone(), Rules { window, hold, skew }),
            config,
            leaving: false,
        }
    }

    /// Replaces the view of the daemons, this one included; those of other domains are ignored.
    /// Members that left or died must be listed for a while or at least once.
    pub fn set_members(&mut self, members: &[Member], now: Instant) {
        let domain = &self.config.domain;
        self.peers.update(members.iter().filter(|m| m.domain == *domain), now);
    }

    /// Decides whether a request may be forwarded, and records the key if so.
    pub fn claim(&mut self, key: &Name, first_sent: Option<Instant>, now: Instant) -> Claim {
        self.expire(now);
        match self.records.get(key) {
            Some(Slot::Kept(state)) => return claim_of(state),
            Some(Slot::Asking { .. }) => return Claim::InProgress,
            Some(Slot::Ceded { to, .. }) if self.peers.is_live(to) => {
                return Claim::Elsewhere(to.clone());
            }
            Some(Slot::Ceded { .. }) => return Claim::Lost,
            None if self.is_outdated(first_sent, now) => return Claim::Lost,
            None => {}
        }
        if self.leaving {
            return self.peers.heir(key).map_or(Claim::Full, |heir| Claim::Elsewhere(heir.clone()));
        }
        let (slot, claim) = match self.peers.duty(key, first_sent, &[], now) {
            Duty::Elsewhere(host) => return Claim::Elsewhere(host),
            Duty::Own { ask: Some(host), lost } => {
                (Slot::Asking { asked: vec![host.clone()], lost }, Claim::Ask(host))
            }
            Duty::Own { ask: None, lost: true } => return Claim::Lost,
            Duty::Own { ask: None, lost: false } => {
                (Slot::Kept(RecordState::InProgress), Claim::New)
            }
        };
        if self.records.insert(key, slot, now) { claim } else { Claim::Full }
    }

    /// Records how a claimed request ended. Must be called for every [`Claim::New`].
    pub fn settle(&mut self, key: &Name, outcome: KeyOutcome, now: Instant) {
        self.expire(now);
        if !matches!(self.records.get(key), Some(Slot::Kept(RecordState::InProgress))) {
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
        self.records.replace(key, Slot::Kept(state));
    }

    /// The daemons that were asked about a key after [`Claim::Ask`], the current one included.
    #[must_use]
    pub fn asked(&self, key: &Name) -> &[Name] {
        match self.records.get(key) {
            Some(Slot::Asking { asked, .. }) => asked,
            _ => &[],
        }
    }

    /// Answers a newer keeper that asks before it forwards a request with this key; `age` is the
    /// time since its process started. Daemons in `asked` were asked before and are not named
    /// again: daemons that started together would otherwise refer to each other for ever.
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
        self.peers.started(to, started, now);
        match self.records.get(key) {
            Some(Slot::Kept(state)) => {
                return CedeReply::Record(self.record(key, state.clone(), now));
            }
            Some(Slot::Asking { .. }) => {
                return CedeReply::Record(self.record(key, RecordState::InProgress, now));
            }
            Some(Slot::Ceded { to: host, started: before }) if host == to => {
                let same = started <= *before + self.config.skew;
                return if same { CedeReply::Free } else { CedeReply::Lost };
            }
            Some(Slot::Ceded { to: host, .. }) if self.peers.is_live(host) => {
                return CedeReply::Ask(host.clone());
            }
            Some(Slot::Ceded { .. }) => return CedeReply::Lost,
            None if self.is_outdated(first_sent, now) => return CedeReply::Lost,
            None => {}
        }
        let without: Vec<&Name> = asked.iter().chain([to]).collect();
        match self.peers.duty(key, first_sent, &without, now) {
            Duty::Elsewhere(host) | Duty::Own { ask: Some(host), lost: false } => {
                CedeReply::Ask(host)
            }
            Duty::Own { lost: true, .. } => CedeReply::Lost,
            // Without room to remember that the key was ceded, it must not be.
            Duty::Own { ask: None, lost: false } => {
                let slot = Slot::Ceded { to: to.clone(), started };
                match self.records.insert(key, slot, now) {
                    true => CedeReply::Free,
                    false => CedeReply::Lost,
                }
            }
        }
    }

    /// Continues a claim that returned [`Claim::Ask`]; `None` if the daemon was not reached. Must be
    /// called for every such claim, within 2 s, or the key counts as lost.
    pub fn resume(&mut self, key: &Name, reply: Option<CedeReply>, now: Instant) -> Claim {
        let (asked, lost) = match self.records.get(key) {
            Some(Slot::Asking { asked, lost }) => (asked.clone(), *lost),
            Some(Slot::Kept(state)) => return claim_of(state),
            Some(Slot::Ceded { .. }) | None => return Claim::Lost,
        };
        let late = self.records.age(key, now) > ASK_TIME;
        match reply.filter(|_| !late) {
            Some(CedeReply::Free) if !lost => {
                self.records.replace(key, Slot::Kept(RecordState::InProgress));
                Claim::New
            }
            Some(CedeReply::Ask(host)) if asked.len() < ASK_MAX && host != self.config.host => {
                let asked = asked.into_iter().chain([host.clone()]).collect();
                self.records.replace(key, Slot::Asking { asked, lost });
                Claim::Ask(host)
            }
            Some(CedeReply::Record(Record { state: RecordState::InProgress, .. })) => {
                // It stays with the earlier keeper, which learns how it ends.
                self.records.remove(key);
                Claim::InProgress
            }
            Some(CedeReply::Record(record)) => {
                let claim = claim_of(&record.state);
                let since = now.checked_sub(record.age).unwrap_or(now);
                self.records.insert(key, Slot::Kept(record.state), since);
                claim
            }
            Some(CedeReply::Free | CedeReply::Lost | CedeReply::Ask(_)) | None => {
                self.records.remove(key);
                Claim::Lost
            }
        }
    }

    /// Takes no new keys from now on.
    pub const fn leave(&mut self) {
        self.leaving = true;
    }

    /// The records for each daemon that takes over. Call it after [`Self::leave`], when no claimed
    /// request is in progress any more; one that still is is handed over as unknown.
    ///
    /// The parts must be sent in this order. If one with records is not accepted, the last parts
    /// must not be sent to anyone: update the members and start again, or leave without.
    pub fn hand_over(&mut self, now: Instant) -> Vec<HandOver> {
        self.expire(now);
        let heirs = self.peers.digest(None);
        let part = |to: &Name, records, last| HandOver {
            to: to.clone(),
            records,
            last,
            successor_digest: heirs,
        };
        let mut parts = Vec::new();
        let mut open: BTreeMap<&Name, (Vec<Record>, usize)> = BTreeMap::new();
        for (key, slot, age) in self.records.iter(now) {
            let Some(heir) = self.peers.heir(key) else { continue };
            let state = match slot {
                Slot::Asking { .. } => continue,
                Slot::Ceded { to, .. } if to == heir => continue,
                Slot::Kept(RecordState::InProgress) | Slot::Ceded { .. } => RecordState::Unknown,
                Slot::Kept(state) => state.clone(),
            };
            let size = key.len() + if let RecordState::Answered(a) = &state { a.size() } else { 0 };
            let (records, used) = open.entry(heir).or_default();
            if *used + size > PART {
                parts.push(part(heir, std::mem::take(records), false));
                *used = 0;
            }
            records.push(Record { key: key.clone(), state, age });
            *used += size;
        }
        parts.extend(open.into_iter().map(|(heir, (records, _))| part(heir, records, false)));
        parts.extend(self.peers.heirs().map(|heir| part(heir, Vec::new(), true)));
        parts
    }

    /// Takes over a part of the records of a daemon that leaves, in the order of
    /// [`Self::hand_over`]; `false` if there is no room.
    pub fn take_over(&mut self, from: &Name, part: HandOver, now: Instant) -> bool {
        let all = self.accept_part(part.records, now);
        if all && part.last {
            self.peers.handed_over(from, part.successor_digest);
        }
        all
    }

    /// Takes over records only; `false` if there is no room.
    fn accept_part(&mut self, records: Vec<Record>, now: Instant) -> bool {
        self.expire(now);
        for Record { key, state, age } in records {
            if matches!(self.records.get(&key), Some(Slot::Kept(_))) {
                continue;
            }
            let since = now.checked_sub(age).unwrap_or(now);
            if !self.records.insert(&key, Slot::Kept(state), since) {
                return false;
            }
        }
        true
    }

    /// Removes what has expired. Claims do so too; call it now and then on an idle keeper.
    pub fn expire(&mut self, now: Instant) {
        self.records.expire(self.config.window, now);
    }

    /// Records held.
    #[must_use]
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether no record is held.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.len() == 0
    }

    /// Whether the record of a request first sent then may have expired.
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
