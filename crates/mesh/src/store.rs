use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
};

use bytes::Bytes;
use dw_tables::{
    Delta, Hash, Head, MAX_PART_BYTES, Name, Tables, Version, VersionId, split_parts, validate,
};
use dw_wire::{MAX_FRAME_BYTES, Origin, compress};
use tokio::time::Instant;

use crate::{Action, Counter, LogEvent, Node, RefusedVersion, timer::Timer};

/// Number of versions that are kept as bases for deltas, including the one served. A peer with an older
/// version gets a snapshot.
const HISTORY_LIMIT: usize = 8;

/// Number of refused versions that are kept for the status.
const REFUSED_LIMIT: usize = 8;

/// Maximum size of a version's canonical text in bytes, so that it fits into one frame with the other fields.
const TEXT_LIMIT: usize = MAX_FRAME_BYTES - (4 << 10);

/// A version together with the metadata that is needed to restore its head on the platform.
#[derive(Clone, Debug)]
pub(crate) struct Release {
    /// The version.
    pub(crate) version: Arc<Version>,
    /// The hash of the previous version.
    pub(crate) parent: Hash,
    change: Name,
    author: Name,
    time: u64,
}

impl Release {
    /// Creates a release from a version read from the platform.
    pub(crate) fn from_head(head: &Head, version: Version) -> Self {
        Self {
            version: Arc::new(version),
            parent: head.parent,
            change: head.change.clone(),
            author: head.author.clone(),
            time: head.time,
        }
    }

    /// Creates a release from a version received from a peer.
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

    /// The metadata that is not part of the version, in its wire form.
    pub(crate) fn origin(&self) -> Origin {
        Origin {
            parent: self.parent.as_bytes().to_vec(),
            change: self.change.to_string(),
            author: self.author.to_string(),
            time: self.time,
        }
    }

    /// The head as it was stored on the platform.
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

/// The compressed rows of a version, as they are sent to a peer.
#[derive(Debug)]
pub(crate) enum Rows {
    /// The changed rows.
    Delta(Bytes),
    /// All rows.
    Snapshot(Bytes),
}

/// The versions that the node has, and those that it refused.
#[derive(Debug)]
pub(crate) struct Store {
    /// The version served.
    served: Option<Release>,
    /// The versions served before it, newest first, each as the delta from its successor. Whole versions
    /// took 1 MB each with 2,200 routes.
    past: VecDeque<Delta>,
    /// A valid version that is not served yet because the floor is not known, and whether it was read from the
    /// platform.
    staged: Option<(Release, bool)>,
    /// The floor: the lowest version number that the node may serve, as the host must not go back to a version
    /// older than one it has served.
    pub(crate) floor: u64,
    /// Whether the peers have reported the floor.
    pub(crate) floor_known: bool,
    /// Whether no peer could be reached or none knows the floor, so that the platform's head may be served
    /// without it.
    pub(crate) floor_unavailable: bool,
    /// Whether the platform is durable, so that its head may always be served without a known floor.
    durable: bool,
    /// When the node started to serve its current version.
    pub(crate) published_at: Instant,
    /// All rows of the version served, compressed; `None` until a peer needs them.
    snapshot: Option<Bytes>,
    /// The compressed rows that changed since each base version, by its number; `None` if they are not
    /// fewer than all rows.
    deltas: BTreeMap<u64, Option<Bytes>>,
    /// The versions that were refused, newest last.
    pub(crate) refused: VecDeque<RefusedVersion>,
    /// The version in the platform's head, if it was refused.
    pub(crate) refused_head: Option<VersionId>,
}

impl Store {
    /// Creates a store without versions.
    pub(crate) const fn new(durable: bool, now: Instant) -> Self {
        Self {
            served: None,
            past: VecDeque::new(),
            staged: None,
            floor: 0,
            floor_known: false,
            floor_unavailable: false,
            durable,
            published_at: now,
            snapshot: None,
            deltas: BTreeMap::new(),
            refused: VecDeque::new(),
            refused_head: None,
        }
    }

    /// The version that the node serves.
    pub(crate) fn served(&self) -> Option<&Release> {
        self.served.as_ref()
    }

    /// The number and hash of the version served; the number is 0 if there is none.
    pub(crate) fn served_id(&self) -> VersionId {
        self.served().map(|release| release.version.id()).unwrap_or_default()
    }

    /// The number and hash of the newest version, whether served or staged.
    pub(crate) fn newest(&self) -> VersionId {
        let staged = self.staged.as_ref().map(|(release, _)| release.version.id());
        staged.unwrap_or_default().max_by_number(self.served_id())
    }

    /// The version with the given id, staged or in the history, as the base of a delta that a peer sent; `None`
    /// if the node does not have it.
    pub(crate) fn base(&self, version_id: VersionId) -> Option<Arc<Version>> {
        let all = self.staged.iter().map(|(release, _)| release).chain(&self.served);
        let mut whole = all.map(|release| &release.version);
        whole.find(|version| version.id() == version_id).cloned().or_else(|| self.past(version_id))
    }

    /// Restores a version that was served earlier; `None` if it is not kept.
    fn past(&self, version_id: VersionId) -> Option<Arc<Version>> {
        let steps = 1 + self.past.iter().position(|delta| delta.target == version_id)?;
        let mut version = Arc::clone(&self.served()?.version);
        for delta in self.past.iter().take(steps) {
            version = Arc::new(delta.apply_trusted(&version));
        }
        Some(version)
    }

    /// Whether the node may serve a version with the given number. `platform` tells whether the version was
    /// read from the platform rather than received from a peer.
    const fn may_serve(&self, number: u64, platform: bool) -> bool {
        let fresh = platform && (self.floor_unavailable || self.durable);
        (self.floor_known || fresh) && number >= self.floor
    }

    /// The rows of the version served, for a peer that has the base version: the changed rows if the base is
    /// known and they are fewer than all rows, otherwise all rows. They are encoded once for all peers.
    pub(crate) fn rows(&mut self, base: Option<VersionId>) -> Option<Rows> {
        let version = Arc::clone(&self.served()?.version);
        if let Some(delta) = base.and_then(|version_id| self.delta(version_id, &version)) {
            return Some(Rows::Delta(delta));
        }
        let rows =
            self.snapshot.get_or_insert_with(|| compress(version.tables.canonical().as_bytes()));
        Some(Rows::Snapshot(rows.clone()))
    }

    /// The rows that changed since a base version; `None` if that version is not kept or the changed rows are
    /// not fewer than all rows.
    fn delta(&mut self, base: VersionId, version: &Version) -> Option<Bytes> {
        if let Some(known) = self.deltas.get(&base.number) {
            return known.clone();
        }
        let old = self.past(base)?;
        let delta = Delta::between(&old, version);
        let compressed = (delta.len() < version.tables.len())
            .then(|| serde_json::to_vec(&delta).ok().map(|rows| compress(&rows)))
            .flatten();
        self.deltas.insert(base.number, compressed.clone());
        compressed
    }
}

/// Selects the version with the higher number.
trait ByNumber {
    fn max_by_number(self, other: Self) -> Self;
}

impl ByNumber for VersionId {
    fn max_by_number(self, other: Self) -> Self {
        if self.number > other.number { self } else { other }
    }
}

impl Node {
    /// Parses the canonical text of a whole version. Returns the version if it matches the id and is valid;
    /// otherwise the version is refused.
    pub(crate) fn read_rows(&mut self, version_id: VersionId, text: &str) -> Option<Version> {
        if text.len() > TEXT_LIMIT {
            self.refuse(
                Counter::RefusedInvalid,
                version_id,
                "the tables are too large to distribute",
            );
            return None;
        }
        let tables = match Tables::from_canonical(text) {
            Ok(tables) => tables,
            Err(e) => {
                let reason = format!("the tables cannot be read: {e}");
                self.refuse(Counter::RefusedInvalid, version_id, &reason);
                return None;
            }
        };
        let version = Version::new(version_id.number, tables);
        if version.id() != version_id {
            self.refuse(Counter::RefusedInvalid, version_id, "the rows do not match the hash");
            return None;
        }
        self.check_rows(version)
    }

    /// Returns the version if its tables are valid; otherwise refuses it.
    pub(crate) fn check_rows(&mut self, version: Version) -> Option<Version> {
        let findings = validate(&version.tables);
        if findings.is_empty() {
            return Some(version);
        }
        let reason = format!("the tables are not valid: {findings}");
        self.refuse(Counter::RefusedInvalid, version.id(), &reason);
        None
    }

    /// Whether a version may replace the one served. A lower version or a fork is refused.
    ///
    /// A parent hash of all zeros means that the parent is not known, as on a platform whose versions name no
    /// parent.
    pub(crate) fn may_follow(&mut self, version_id: VersionId, parent: Option<Hash>) -> bool {
        let served = self.store.served_id();
        if served.number == 0 {
            return true;
        }
        if version_id.number < served.number {
            let reason = format!("version {} is served, which is higher", served.number);
            self.refuse(Counter::RefusedLower, version_id, &reason);
            return false;
        }
        if version_id.number == served.number && version_id.hash != served.hash {
            self.refuse(Counter::RefusedFork, version_id, "the version served has another hash");
            return false;
        }
        let next = version_id.number == served.number + 1;
        let parent = parent.filter(|parent| *parent != Hash::default());
        if next && parent.is_some_and(|parent| parent != served.hash) {
            self.refuse(Counter::RefusedFork, version_id, "its parent is not the version served");
            return false;
        }
        true
    }

    /// Refuses a version. A repeated refusal for the same reason is not counted, logged or shown again.
    pub(crate) fn refuse(&mut self, counter: Counter, version_id: VersionId, reason: &str) {
        let refused = RefusedVersion { version_id, reason: reason.to_owned() };
        if self.store.refused.contains(&refused) {
            return;
        }
        self.count(counter);
        self.log_event(LogEvent::Refused { version_id, reason: reason.to_owned() });
        if self.store.refused.len() == REFUSED_LIMIT {
            self.store.refused.pop_front();
        }
        self.store.refused.push_back(refused.clone());
        self.out.push(Action::Refused(refused));
    }

    /// Whether this very version was refused before, so that there is no use in fetching it again.
    pub(crate) fn was_refused(&self, version_id: VersionId) -> bool {
        self.store.refused.iter().any(|refused| refused.version_id == version_id)
    }

    /// Accepts a valid version: serves it, or stages it if the floor does not allow that yet.
    pub(crate) fn accept(&mut self, release: Release, platform: bool) {
        let version_id = release.version.id();
        if version_id.number <= self.store.newest().number
            || !self.may_follow(version_id, Some(release.parent))
        {
            return;
        }
        if self.store.may_serve(version_id.number, platform) {
            self.publish(release);
        } else {
            self.store.staged = Some((release, platform));
        }
    }

    /// Marks the floor as known, and serves a staged version if it is not below the floor.
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

    /// Marks the floor as unavailable, because no peer could be reached or none knows it, and serves a staged
    /// version if it was read from the platform.
    pub(crate) fn set_floor_unavailable(&mut self) {
        self.store.floor_unavailable = true;
        if let Some((release, platform)) = self.store.staged.take() {
            if self.store.may_serve(release.version.number, platform) {
                self.publish(release);
            } else {
                self.store.staged = Some((release, platform));
            }
        }
    }

    /// Treats a staged version as read from the platform, because the platform's head has the same id.
    pub(crate) fn confirm_staged(&mut self, version_id: VersionId) {
        if let Some((release, _)) = self.store.staged.take_if(|(r, _)| r.version.id() == version_id)
        {
            if self.store.may_serve(version_id.number, true) {
                self.publish(release);
            } else {
                self.store.staged = Some((release, true));
            }
        }
    }

    fn publish(&mut self, release: Release) {
        let version_id = release.version.id();
        let store = &mut self.store;
        store.staged = None;
        if let Some(old) = store.served.replace(release.clone()) {
            store.past.push_front(Delta::between(&release.version, &old.version));
            store.past.truncate(HISTORY_LIMIT - 1);
        }
        store.published_at = self.now;
        store.snapshot = None;
        store.deltas.clear();
        if store.refused_head.is_some_and(|head| head.number < version_id.number) {
            store.refused_head = None;
        }
        self.acks.record(
            &self.me.host,
            self.me.started,
            version_id.number,
            version_id.hash.prefix(),
        );
        self.count(Counter::Published);
        self.log_event(LogEvent::Served(version_id));
        self.out.push(Action::Publish(release.version));
        self.after_publish();
    }

    /// Distributes the newly served version, and schedules another read of the platform's head if that differs.
    fn after_publish(&mut self) {
        if self.offers_version() {
            self.timers.set_no_later(Timer::StartTree, self.now + self.cfg.preset.batch_delay);
        }
        if self.acts_as_relay() {
            self.timers.set_no_later(Timer::Audit, self.now);
        }
        self.pull_done();
        self.forward_offers();
        self.recheck_head();
    }
}
