use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
};

use bytes::Bytes;
use dw_tables::{
    Delta, Hash, Head, MAX_PART_BYTES, Name, Tables, Version, VersionMark, split_parts, validate,
};
use dw_wire::{MAX_FRAME_BYTES, Origin, compress};
use tokio::time::Instant;

use crate::{Action, Counter, LogEvent, Node, RefusedVersion, timer::Timer};

/// Versions kept as bases of deltas: a peer further behind takes a snapshot.
const HISTORY: usize = 8;

/// Refused versions kept for the status.
const REFUSED_LIMIT: usize = 8;

/// Canonical text that fits into one frame beside the other fields.
const TEXT_LIMIT: usize = MAX_FRAME_BYTES - (4 << 10);

/// A version with what is needed to restore its head.
#[derive(Clone, Debug)]
pub(crate) struct Release {
    /// The version.
    pub(crate) version: Arc<Version>,
    /// Hash of the version before.
    pub(crate) parent: Hash,
    change: Name,
    author: Name,
    time: u64,
}

impl Release {
    /// A version read from the platform.
    pub(crate) fn from_head(head: &Head, version: Version) -> Self {
        Self {
            version: Arc::new(version),
            parent: head.parent,
            change: head.change.clone(),
            author: head.author.clone(),
            time: head.time,
        }
    }

    /// A version received from a peer.
    pub(crate) fn from_wire(origin: Option<&Origin>, version: Version) -> Self {
        let origin = origin.cloned().unwrap_or_default();
        Self {
            version: Arc::new(version),
            parent: Hash::from_bytes(&origin.parent).unwrap_or_default(),
            change: origin.change.into(),
            author: origin.author.into(),
            time: origin.time,
        }
    }

    /// The wire form of what is not in the version.
    pub(crate) fn origin(&self) -> Origin {
        Origin {
            parent: self.parent.as_bytes().to_vec(),
            change: self.change.to_string(),
            author: self.author.to_string(),
            time: self.time,
        }
    }

    /// The head as the platform held it.
    pub(crate) fn head(&self) -> Head {
        let parts = split_parts(&self.version.tables.canonical(), MAX_PART_BYTES);
        Head {
            number: self.version.number,
            hash: self.version.hash,
            parent: self.parent,
            change: self.change.clone(),
            parts: parts.into_iter().map(|(hash, _)| hash).collect(),
            author: self.author.clone(),
            time: self.time,
        }
    }
}

/// Packed rows for a peer.
#[derive(Debug)]
pub(crate) enum Rows {
    /// Changed rows.
    Delta(Bytes),
    /// All rows.
    Snapshot(Bytes),
}

/// The versions that the node holds and those that it refused.
#[derive(Debug)]
pub(crate) struct Store {
    /// The version served and those before it, newest first.
    held: VecDeque<Release>,
    /// A version that is checked but not served while the floor is not known, and whether it was
    /// read from the platform.
    staged: Option<(Release, bool)>,
    /// The lowest number that the node may serve.
    pub(crate) floor: u64,
    pub(crate) floor_known: bool,
    /// Whether no peer could be reached, so that the platform's head may be served without floor.
    pub(crate) alone: bool,
    /// Whether what the platform holds may be served without floor in any case.
    durable: bool,
    /// When the version served was published.
    pub(crate) published_at: Instant,
    /// All rows, packed.
    snapshot: Option<Bytes>,
    /// Packed rows that changed since the version of that number; `None` where all rows are fewer.
    deltas: BTreeMap<u64, Option<Bytes>>,
    /// Refused versions, newest last.
    pub(crate) refused: VecDeque<RefusedVersion>,
    /// The refused version that the platform holds.
    pub(crate) refused_head: Option<VersionMark>,
}

impl Store {
    /// No version.
    pub(crate) const fn new(durable: bool, now: Instant) -> Self {
        Self {
            held: VecDeque::new(),
            staged: None,
            floor: 0,
            floor_known: false,
            alone: false,
            durable,
            published_at: now,
            snapshot: None,
            deltas: BTreeMap::new(),
            refused: VecDeque::new(),
            refused_head: None,
        }
    }

    /// The version served.
    pub(crate) fn served(&self) -> Option<&Release> {
        self.held.front()
    }

    /// Number and hash of the version served; number 0 for none.
    pub(crate) fn mark(&self) -> VersionMark {
        self.served().map(|release| release.version.mark()).unwrap_or_default()
    }

    /// Number and hash of the newest version held, served or staged.
    pub(crate) fn newest(&self) -> VersionMark {
        let staged = self.staged.as_ref().map(|(release, _)| release.version.mark());
        staged.unwrap_or_default().max_by_number(self.mark())
    }

    /// A version held that may be the base of a delta.
    pub(crate) fn base(&self, mark: VersionMark) -> Option<&Arc<Version>> {
        let all = self.staged.iter().map(|(release, _)| release).chain(&self.held);
        all.map(|release| &release.version).find(|version| version.mark() == mark)
    }

    /// Whether the node may serve a version of the given number, read from the platform or from a
    /// peer.
    const fn may_serve(&self, number: u64, platform: bool) -> bool {
        let fresh = platform && (self.alone || self.durable);
        (self.floor_known || fresh) && number >= self.floor
    }

    /// The version served as rows for a peer: changed rows if the base is known and they are fewer than
    /// all rows. Encoded once for all peers.
    pub(crate) fn rows(&mut self, base: Option<VersionMark>) -> Option<Rows> {
        let version = Arc::clone(&self.served()?.version);
        if let Some(delta) = base.and_then(|mark| self.delta(mark, &version)) {
            return Some(Rows::Delta(delta));
        }
        let rows =
            self.snapshot.get_or_insert_with(|| compress(version.tables.canonical().as_bytes()));
        Some(Rows::Snapshot(rows.clone()))
    }

    /// The changed rows from a version held; `None` if it is not held or most rows have changed.
    fn delta(&mut self, base: VersionMark, version: &Version) -> Option<Bytes> {
        if let Some(known) = self.deltas.get(&base.number) {
            return known.clone();
        }
        let old = self.held.iter().find(|release| release.version.mark() == base)?;
        let delta = Delta::between(&old.version, version);
        let packed = (delta.len() < version.tables.len())
            .then(|| serde_json::to_vec(&delta).ok().map(|rows| compress(&rows)))
            .flatten();
        self.deltas.insert(base.number, packed.clone());
        packed
    }
}

/// Ordering of versions by number.
trait ByNumber {
    fn max_by_number(self, other: Self) -> Self;
}

impl ByNumber for VersionMark {
    fn max_by_number(self, other: Self) -> Self {
        if self.number > other.number { self } else { other }
    }
}

impl Node {
    /// Checks whole rows and takes them as a version. Returns whether they are what the mark says
    /// and valid.
    pub(crate) fn read_rows(&mut self, mark: VersionMark, text: &str) -> Option<Version> {
        if text.len() > TEXT_LIMIT {
            self.refuse(Counter::RefusedInvalid, mark, "the tables are too large to distribute");
            return None;
        }
        let tables = match Tables::from_canonical(text) {
            Ok(tables) => tables,
            Err(e) => {
                let reason = format!("the tables cannot be read: {e}");
                self.refuse(Counter::RefusedInvalid, mark, &reason);
                return None;
            }
        };
        let version = Version::new(mark.number, tables);
        if version.mark() != mark {
            self.refuse(Counter::RefusedInvalid, mark, "the rows do not match the hash");
            return None;
        }
        self.check_rows(version)
    }

    /// Returns the version if its tables are valid.
    pub(crate) fn check_rows(&mut self, version: Version) -> Option<Version> {
        let findings = validate(&version.tables);
        if findings.is_empty() {
            return Some(version);
        }
        let reason = format!("the tables are not valid: {findings}");
        self.refuse(Counter::RefusedInvalid, version.mark(), &reason);
        None
    }

    /// Whether a version may follow the one served; refuses a lower one and a fork.
    ///
    /// A parent that is all zeros is not known, as with a platform whose versions name none.
    pub(crate) fn may_follow(&mut self, mark: VersionMark, parent: Option<Hash>) -> bool {
        let served = self.store.mark();
        if served.number == 0 {
            return true;
        }
        if mark.number < served.number {
            let reason = format!("version {} is served, which is higher", served.number);
            self.refuse(Counter::RefusedLower, mark, &reason);
            return false;
        }
        if mark.number == served.number && mark.hash != served.hash {
            self.refuse(Counter::RefusedFork, mark, "the version served has another hash");
            return false;
        }
        let next = mark.number == served.number + 1;
        let parent = parent.filter(|parent| *parent != Hash::default());
        if next && parent.is_some_and(|parent| parent != served.hash) {
            self.refuse(Counter::RefusedFork, mark, "its parent is not the version served");
            return false;
        }
        true
    }

    /// Refuses a version: counted, logged and shown once.
    pub(crate) fn refuse(&mut self, counter: Counter, mark: VersionMark, reason: &str) {
        let refused = RefusedVersion { mark, reason: reason.to_owned() };
        if self.store.refused.contains(&refused) {
            return;
        }
        self.count(counter);
        self.log_event(LogEvent::Refused { mark, reason: reason.to_owned() });
        if self.store.refused.len() == REFUSED_LIMIT {
            self.store.refused.pop_front();
        }
        self.store.refused.push_back(refused.clone());
        self.out.push(Action::Refused(refused));
    }

    /// Whether a version was refused for what it is, so that fetching it again is of no use.
    pub(crate) fn was_refused(&self, mark: VersionMark) -> bool {
        self.store.refused.iter().any(|refused| refused.mark == mark)
    }

    /// Takes a checked version: serves it, or stages it while the floor is not known.
    pub(crate) fn accept(&mut self, release: Release, platform: bool) {
        let mark = release.version.mark();
        if mark.number <= self.store.newest().number || !self.may_follow(mark, Some(release.parent))
        {
            return;
        }
        if self.store.may_serve(mark.number, platform) {
            self.publish(release);
        } else {
            self.store.staged = Some((release, platform));
        }
    }

    /// The floor is known: a staged version at or above it is served.
    pub(crate) fn set_floor_known(&mut self) {
        self.store.floor_known = true;
        if let Some((release, _)) = self.store.staged.take() {
            if self.store.may_serve(release.version.number, false) {
                self.publish(release);
            } else {
                let (number, floor) = (release.version.number, self.store.floor);
                self.log_event(LogEvent::BelowFloor { number, floor });
            }
        }
    }

    /// No peer knows the floor: a staged version is served if it was read from the platform.
    pub(crate) fn set_floor_unavailable(&mut self) {
        self.store.alone = true;
        if let Some((release, platform)) = self.store.staged.take() {
            if self.store.may_serve(release.version.number, platform) {
                self.publish(release);
            } else {
                self.store.staged = Some((release, platform));
            }
        }
    }

    /// The platform holds this version: one that is staged under the same mark is served.
    pub(crate) fn confirm(&mut self, mark: VersionMark) {
        if let Some((release, _)) = self.store.staged.take_if(|(r, _)| r.version.mark() == mark) {
            if self.store.may_serve(mark.number, true) {
                self.publish(release);
            } else {
                self.store.staged = Some((release, true));
            }
        }
    }

    fn publish(&mut self, release: Release) {
        let mark = release.version.mark();
        let store = &mut self.store;
        store.staged = None;
        store.held.push_front(release.clone());
        store.held.truncate(HISTORY);
        store.published_at = self.now;
        store.snapshot = None;
        store.deltas.clear();
        if store.refused_head.is_some_and(|head| head.number < mark.number) {
            store.refused_head = None;
        }
        self.acks.record(&self.me.host, self.me.started, mark.number, mark.hash.prefix());
        self.count(Counter::Published);
        self.log_event(LogEvent::Served(mark));
        self.out.push(Action::Publish(release.version));
        self.after_publish();
    }

    /// Spreads the version served, and has the platform's head read again if it differs.
    fn after_publish(&mut self) {
        if self.offering() {
            self.timers.set_no_later(Timer::StartTree, self.now + self.cfg.preset.batch_delay);
        }
        if self.acts_as_relay() {
            self.timers.set_no_later(Timer::Audit, self.now);
        }
        self.pull_done();
        self.grow_trees();
        self.recheck_head();
    }
}
