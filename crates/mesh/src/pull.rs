use std::{cmp::Reverse, collections::BTreeMap, net::SocketAddr, time::Duration};

use bytes::Bytes;
use dw_tables::VersionId;
use dw_wire::{Busy, Delta, FrameBody, Offer, Pull, Snapshot, decompress};
use tokio::time::Instant;

use crate::{
    Action, Counter, LogEvent, Node,
    convert::{version_id_from_wire, version_id_to_wire},
    fetch::Fetch,
    store::{Release, Rows},
    timer::Timer,
};

/// How long to wait for all rows of a version, which may be 1 MB.
const SNAPSHOT_TIMEOUT: Duration = Duration::from_secs(2);

/// How long the connection to a peer counts as working after a frame from that peer. A connection that has
/// been quiet for longer may be broken without having been closed, so a pull opens a new one at once.
const CONNECTION_FRESH: Duration = Duration::from_secs(1);

/// How long a transfer counts as under way. No second transfer to the same peer is started in this time.
const TRANSFER_TIME: Duration = Duration::from_millis(200);

/// Maximum number of concurrent transfers; a snapshot may be 1 MB.
const TRANSFERS_LIMIT: usize = 32;

/// Maximum number of concurrent transfers that are snapshots.
const SNAPSHOTS_LIMIT: usize = 8;

/// Maximum number of sources that are remembered.
const SOURCES_LIMIT: usize = 16;

/// Number of rounds without an answer after which a source is forgotten: it may have restarted and now have a
/// lower version than before. A source that does have a newer version announces it with its next probe.
const MISSES_LIMIT: u32 = 3;

/// Maximum number of fetches within the time in which a version must be in force. If versions follow each
/// other faster, only the newest is fetched: applying a version of 2,600 routes costs several milliseconds of
/// CPU time however little has changed, and a host may have only a tenth of a core.
const FETCHES_PER_DEADLINE: u32 = 6;

/// Number of entries in `last_frames` at which outdated ones are removed.
const LAST_FRAMES_LIMIT: usize = 64;

/// How long a refused version is not fetched again.
const REJECT_BACKOFF: Duration = Duration::from_secs(10);

/// Minimum time between two requests for the full hash of a version that may be a fork.
const FORK_INTERVAL: Duration = Duration::from_secs(10);

/// A peer that is known to have a newer version.
#[derive(Clone, Copy, Debug)]
struct Source {
    /// The highest version number that it is known to serve.
    number: u64,
    /// Number of rounds in which it did not answer in time.
    misses: u32,
}

/// The state of fetching a newer version from peers, and of serving peers that fetch.
#[derive(Debug, Default)]
pub(crate) struct PullState {
    sources: BTreeMap<SocketAddr, Source>,
    /// The peers that were asked in the current round, and when.
    asked: BTreeMap<SocketAddr, Instant>,
    /// The fetch in progress.
    fetch: Option<Fetch>,
    /// The time of the last frame from each peer.
    last_frames: BTreeMap<SocketAddr, Instant>,
    /// Whether the next pull asks for all rows, because a delta could not be applied.
    full_rows: bool,
    /// When the last transfer to each peer was started, and whether it was a snapshot.
    transfers: BTreeMap<SocketAddr, (Instant, bool)>,
    fork_asked: Option<Instant>,
    /// The number of a refused version, and until when peers are not asked for it or for lower versions.
    rejected: Option<(u64, Instant)>,
}

impl Node {
    /// Compares the version id of a datagram with the version that this node serves.
    pub(crate) fn compare_version(&mut self, from: SocketAddr, number: u64, prefix: u32) {
        let served = self.store.served_id();
        if number == served.number && number > 0 && prefix != served.hash.prefix() {
            let due = self.pull.fork_asked.is_none_or(|at| at + FORK_INTERVAL <= self.now);
            if due {
                self.pull.fork_asked = Some(self.now);
                self.send_pull(from, Some(version_id_to_wire(served)));
            }
        } else {
            self.compare_number(from, number);
        }
    }

    /// Fetches from a peer if it serves a newer version.
    pub(crate) fn compare_number(&mut self, from: SocketAddr, number: u64) {
        if self.store.served_id().number == 0 {
            self.store.floor = self.store.floor.max(number);
        }
        let rejected = self.pull.rejected.is_some_and(|(n, until)| number <= n && self.now < until);
        if number <= self.store.newest().number || from == self.me.peer || rejected {
            return;
        }
        match self.pull.sources.get_mut(&from) {
            Some(source) => source.number = source.number.max(number),
            None => self.add_source(from, number),
        }
        if !self.pull.asked.is_empty() || self.timers.is_set(Timer::Pull) {
            return;
        }
        match self.next_fetch() {
            Some(at) => self.timers.set(Timer::Pull, at),
            None => self.start_pull(&[from]),
        }
    }

    /// The earliest time of the next fetch if the current version was published only recently; `None` if a
    /// fetch may start now.
    fn next_fetch(&self) -> Option<Instant> {
        let at = self.store.published_at + self.cfg.preset.in_force / FETCHES_PER_DEADLINE;
        (self.store.served_id().number > 0 && self.now < at).then_some(at)
    }

    /// Adds a source. If there are too many, it replaces the one that failed to answer most often.
    fn add_source(&mut self, from: SocketAddr, number: u64) {
        let sources = &mut self.pull.sources;
        if sources.len() >= SOURCES_LIMIT {
            let worst = sources.iter().max_by_key(|(_, source)| source.misses);
            worst.map(|(addr, _)| *addr).and_then(|addr| sources.remove(&addr));
        }
        sources.insert(from, Source { number, misses: 0 });
    }

    /// Records that a frame came from a peer, which shows that the connection to it works.
    pub(crate) fn record_frame(&mut self, from: SocketAddr) {
        let now = self.now;
        if self.pull.last_frames.len() >= LAST_FRAMES_LIMIT {
            self.pull.last_frames.retain(|_, at| *at + CONNECTION_FRESH > now);
        }
        self.pull.last_frames.insert(from, now);
    }

    /// Asks peers for a newer version, over new connections if the previous round was not answered.
    fn start_pull(&mut self, peers: &[SocketAddr]) {
        let now = self.now;
        let version_id = self.store.newest();
        let have =
            (version_id.number > 0 && !self.pull.full_rows).then(|| version_id_to_wire(version_id));
        self.pull.full_rows = false;
        let fetch = *self.pull.fetch.get_or_insert(Fetch::new(now));
        let limit = self.cfg.preset.in_force;
        let wait = if have.is_some() { fetch.wait(limit, now) } else { SNAPSHOT_TIMEOUT };
        self.timers.set(Timer::Pull, now + wait);
        for from in peers {
            let works =
                self.pull.last_frames.get(from).is_some_and(|at| *at + CONNECTION_FRESH > now);
            if fetch.is_retry() || !works {
                self.out.push(Action::Reconnect { to: *from });
            }
            self.pull.asked.insert(*from, now);
            self.send_pull(*from, have.clone());
        }
    }

    fn send_pull(&mut self, to: SocketAddr, have: Option<dw_wire::VersionId>) {
        self.send(to, FrameBody::Pull(Pull { have, compressed: true }));
    }

    /// Starts the next round after a pull timed out or was postponed.
    pub(crate) fn run_pull(&mut self) {
        self.record_misses();
        let newest = self.store.newest().number;
        self.pull
            .sources
            .retain(|_, source| source.number > newest && source.misses < MISSES_LIMIT);
        // All rows are requested from one peer at a time, because they may be 1 MB.
        let count = match self.pull.fetch {
            Some(fetch) if newest > 0 && !self.pull.full_rows => fetch.parallelism(),
            _ => 1,
        };
        let mut sources: Vec<_> = self.pull.sources.iter().collect();
        // Sources with the fewest misses first, and among these the ones with the newest version.
        sources.sort_by_key(|(_, source)| (source.misses, Reverse(source.number)));
        let peers: Vec<_> = sources.into_iter().take(count).map(|(addr, _)| *addr).collect();
        if peers.is_empty() {
            self.pull.fetch = None;
        } else {
            self.start_pull(&peers);
        }
    }

    /// Records that the peers that were asked did not answer in time.
    fn record_misses(&mut self) {
        let asked = std::mem::take(&mut self.pull.asked);
        if !asked.is_empty()
            && let Some(fetch) = &mut self.pull.fetch
        {
            fetch.fail_round();
        }
        for (from, at) in asked {
            self.count(Counter::PullTimeout);
            self.log_event(LogEvent::FetchLate {
                from,
                wait: self.now.saturating_duration_since(at),
            });
            if let Some(source) = self.pull.sources.get_mut(&from) {
                source.misses += 1;
            }
        }
    }

    /// Logs that rows arrived. For a peer that was given up before its answer came, the time taken is logged as
    /// zero.
    fn log_fetched(&mut self, from: SocketAddr, version_id: VersionId, bytes: usize) {
        let asked = self.pull.asked.get(&from).copied().unwrap_or(self.now);
        let took = self.now.saturating_duration_since(asked);
        self.log_event(LogEvent::Fetched { number: version_id.number, from, bytes, took });
    }

    /// Drops a source that failed, and starts the next round if no other peer is being asked.
    pub(crate) fn pull_failed(&mut self, to: SocketAddr) {
        self.pull.sources.remove(&to);
        if self.pull.asked.remove(&to).is_some() && self.pull.asked.is_empty() {
            self.pull.fetch.iter_mut().for_each(Fetch::fail_round);
            self.timers.set(Timer::Pull, self.now);
        }
    }

    /// Ends the fetch after a version has arrived: sources without a newer version are dropped, and the next
    /// fetch is scheduled if any remain.
    pub(crate) fn pull_done(&mut self) {
        self.pull.asked.clear();
        self.pull.fetch = None;
        self.timers.clear(Timer::Pull);
        let newest = self.store.newest().number;
        self.pull.sources.retain(|_, source| source.number > newest);
        if !self.pull.sources.is_empty() {
            self.timers.set(Timer::Pull, self.next_fetch().unwrap_or(self.now));
        }
    }

    pub(crate) fn on_busy(&mut self, from: SocketAddr, busy: &Busy) {
        if self.pull.asked.remove(&from).is_some() && self.pull.asked.is_empty() {
            let hint = Duration::from_millis(u64::from(busy.retry_ms)).min(SNAPSHOT_TIMEOUT);
            let wait = hint + self.jitter(hint);
            self.timers.set(Timer::Pull, self.now + wait);
        }
    }

    /// Sends the version that this node serves to a peer that asks for it. Each peer gets one transfer at a
    /// time, and the total number of transfers is limited.
    pub(crate) fn on_pull(&mut self, from: SocketAddr, pull: &Pull) {
        let have = version_id_from_wire(pull.have.as_ref());
        let Some(release) = self.store.served() else {
            self.send(from, FrameBody::Busy(Busy { retry_ms: 1_000 }));
            return;
        };
        let (version_id, origin) = (release.version.id(), release.origin());
        if let Some(have) = have.filter(|have| have.number >= version_id.number) {
            self.compare_number(from, have.number);
            if have.number == version_id.number && have.hash != version_id.hash {
                // An offer with an empty range tells the peer the full hash and requests nothing.
                let version_id = Some(version_id_to_wire(version_id));
                let offer = Offer { version_id, lo: 1, hi: 0, ..Offer::default() };
                self.send(from, FrameBody::Offer(offer));
            }
            return;
        }
        let now = self.now;
        self.pull.transfers.retain(|_, (at, _)| *at + TRANSFER_TIME > now);
        if self.pull.transfers.contains_key(&from) {
            self.send(from, FrameBody::Busy(Busy { retry_ms: 200 }));
            return;
        }
        let Some(rows) = self.store.rows(have) else { return };
        let full = matches!(rows, Rows::Snapshot(_));
        let snapshots = self.pull.transfers.values().filter(|(_, full)| *full).count();
        if self.pull.transfers.len() >= TRANSFERS_LIMIT || (full && snapshots >= SNAPSHOTS_LIMIT) {
            self.count(Counter::TransferDeferred);
            self.send(from, FrameBody::Busy(Busy { retry_ms: 400 }));
            return;
        }
        self.pull.transfers.insert(from, (now, full));
        let (version_id, origin) = (Some(version_id_to_wire(version_id)), Some(origin));
        let body = match rows {
            Rows::Delta(rows) => {
                self.count(Counter::DeltaSent);
                let (rows, compressed) = encode_rows(rows, pull.compressed);
                FrameBody::Delta(Delta { version_id, rows, origin, compressed })
            }
            Rows::Snapshot(rows) => {
                self.count(Counter::SnapshotSent);
                let (rows, compressed) = encode_rows(rows, pull.compressed);
                FrameBody::Snapshot(Snapshot { version_id, rows, origin, compressed })
            }
        };
        self.send(from, body);
    }

    pub(crate) fn on_delta(&mut self, from: SocketAddr, frame: &Delta) {
        let Some(version_id) = self.wanted_version_id(frame.version_id.as_ref()) else { return };
        self.log_fetched(from, version_id, frame.rows.len());
        let rows = decode_rows(&frame.rows, frame.compressed);
        let delta = rows.and_then(|rows| serde_json::from_slice::<dw_tables::Delta>(&rows).ok());
        let version = delta.filter(|delta| delta.target == version_id).and_then(|delta| {
            let base = self.store.base(delta.base)?;
            delta.apply(&base).ok()
        });
        let Some(version) = version else {
            self.log_event(LogEvent::Detail(format!(
                "delta to version {} could not be applied; requesting all rows",
                version_id.number
            )));
            self.pull.full_rows = true;
            self.start_pull(&[from]);
            return;
        };
        match self.check_rows(version) {
            Some(version) => self.take_release(Release::from_wire(frame.origin.as_ref(), version)),
            None => self.reject(version_id.number),
        }
    }

    pub(crate) fn on_snapshot(&mut self, from: SocketAddr, frame: &Snapshot) {
        let Some(version_id) = self.wanted_version_id(frame.version_id.as_ref()) else { return };
        self.log_fetched(from, version_id, frame.rows.len());
        let rows = decode_rows(&frame.rows, frame.compressed).unwrap_or_default();
        let Some(text) = std::str::from_utf8(&rows).ok().filter(|text| !text.is_empty()) else {
            self.count(Counter::BadMessage);
            self.pull_failed(from);
            return;
        };
        match self.read_rows(version_id, text) {
            Some(version) => self.take_release(Release::from_wire(frame.origin.as_ref(), version)),
            None => self.reject(version_id.number),
        }
    }

    /// The version id of rows that a peer sent, if that version is newer and was not refused.
    fn wanted_version_id(&self, version_id: Option<&dw_wire::VersionId>) -> Option<VersionId> {
        let version_id = version_id_from_wire(version_id)?;
        (version_id.number > self.store.newest().number && !self.was_refused(version_id))
            .then_some(version_id)
    }

    /// Accepts a version that a peer sent.
    fn take_release(&mut self, release: Release) {
        let number = release.version.number;
        self.accept(release, false);
        if self.store.newest().number == number {
            self.pull_done();
        } else {
            self.reject(number);
        }
    }

    /// Suspends fetching of a refused version for some time, whichever peer serves it. Sources of newer versions
    /// are asked at once, now and when they become known.
    fn reject(&mut self, number: u64) {
        self.pull.asked.clear();
        self.pull.fetch = None;
        self.pull.sources.retain(|_, source| source.number > number);
        self.pull.rejected = Some((number, self.now + REJECT_BACKOFF));
        if self.pull.sources.is_empty() {
            self.timers.clear(Timer::Pull);
        } else {
            self.timers.set(Timer::Pull, self.now);
        }
    }
}

/// Encodes rows for the receiver: compressed, or as plain text if it runs a release that cannot decompress
/// them.
fn encode_rows(rows: Bytes, compressed: bool) -> (Bytes, bool) {
    match compressed {
        true => (rows, true),
        // Decompression does not fail, because this process compressed the rows itself.
        false => (decompress(&rows).unwrap_or_default(), false),
    }
}

/// Decodes the rows of a frame to text; `None` if they cannot be decompressed.
fn decode_rows(rows: &Bytes, compressed: bool) -> Option<Bytes> {
    if compressed { decompress(rows).ok() } else { Some(rows.clone()) }
}
