use std::{cmp::Reverse, collections::BTreeMap, net::SocketAddr, time::Duration};

use bytes::Bytes;
use dw_tables::VersionMark;
use dw_wire::{Busy, Delta, FrameBody, Mark, Offer, Pull, Snapshot, decompress};
use tokio::time::Instant;

use crate::{
    Action, Counter, LogEvent, Node,
    convert::{mark_from_wire, mark_to_wire},
    fetch::Fetch,
    store::{Release, Rows},
    timer::Timer,
};

/// Wait for all rows of a version, up to 1 MB.
const SNAPSHOT_WAIT: Duration = Duration::from_secs(2);

/// Time after a frame from a peer in which the connection to it counts as working. A pull over one that
/// has been quiet for longer, which may have fallen silent, takes a new connection at once.
const TRUST: Duration = Duration::from_secs(1);

/// Time in which a second transfer to the same peer is not started.
const TRANSFER_TIME: Duration = Duration::from_millis(200);

/// Transfers under way at the same time; a snapshot may take 1 MB.
const TRANSFERS: usize = 32;

/// Snapshots under way at the same time.
const SNAPSHOTS: usize = 8;

/// Peers that are known to hold more.
const SOURCES: usize = 16;

/// Rounds without an answer after which a source is forgotten: it may have started again and hold less than it
/// did. One that does hold more tells it with its next probe.
const MISSES: u32 = 3;

/// Fetches in the time in which a version is to be in force. Versions that follow each other faster are
/// fetched together: taking one over costs some ms of processor time for 2,600 routes, whatever has changed,
/// and a host may have a tenth of a core.
const FETCHES: u32 = 6;

/// Peers that sent frames lately above which those that did not are removed.
const HEARD: usize = 64;

/// Time in which a refused version is not fetched again.
const REJECT_TIME: Duration = Duration::from_secs(10);

/// Time between two questions about a fork.
const FORK_EVERY: Duration = Duration::from_secs(10);

/// A peer that is known to hold more.
#[derive(Clone, Copy, Debug)]
struct Source {
    /// The version that it serves.
    number: u64,
    /// Rounds in which it did not answer in time.
    misses: u32,
}

/// Fetching a newer version from peers, and serving peers that fetch.
#[derive(Debug, Default)]
pub(crate) struct PullState {
    sources: BTreeMap<SocketAddr, Source>,
    /// The peers that were asked, and when.
    asked: BTreeMap<SocketAddr, Instant>,
    /// What is being fetched.
    fetch: Option<Fetch>,
    /// The peers that sent frames lately, and when.
    heard: BTreeMap<SocketAddr, Instant>,
    /// Whether the next pull asks for all rows, because a delta did not apply.
    whole: bool,
    transfers: BTreeMap<SocketAddr, (Instant, bool)>,
    fork_asked: Option<Instant>,
    /// A number that was refused, and until when peers that serve it are not asked.
    rejected: Option<(u64, Instant)>,
}

impl Node {
    /// Compares the version mark of a datagram with the own version.
    pub(crate) fn compare_mark(&mut self, from: SocketAddr, number: u64, prefix: u32) {
        let served = self.store.mark();
        if number == served.number && number > 0 && prefix != served.hash.prefix() {
            let due = self.pull.fork_asked.is_none_or(|at| at + FORK_EVERY <= self.now);
            if due {
                self.pull.fork_asked = Some(self.now);
                self.send_pull(from, Some(mark_to_wire(served)));
            }
        } else {
            self.compare_number(from, number);
        }
    }

    /// Fetches from a peer that serves a higher version.
    pub(crate) fn compare_number(&mut self, from: SocketAddr, number: u64) {
        if self.store.mark().number == 0 {
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

    /// Until when a fetch waits, because the version served is a moment old; `None` if it need not.
    fn next_fetch(&self) -> Option<Instant> {
        let at = self.store.published_at + self.cfg.preset.in_force / FETCHES;
        (self.store.mark().number > 0 && self.now < at).then_some(at)
    }

    /// Remembers a source in place of the one that failed most often, if there are too many.
    fn add_source(&mut self, from: SocketAddr, number: u64) {
        let sources = &mut self.pull.sources;
        if sources.len() >= SOURCES {
            let worst = sources.iter().max_by_key(|(_, source)| source.misses);
            worst.map(|(addr, _)| *addr).and_then(|addr| sources.remove(&addr));
        }
        sources.insert(from, Source { number, misses: 0 });
    }

    /// A frame came from a peer: the connection to it works.
    pub(crate) fn record_frame(&mut self, from: SocketAddr) {
        let now = self.now;
        if self.pull.heard.len() >= HEARD {
            self.pull.heard.retain(|_, at| *at + TRUST > now);
        }
        self.pull.heard.insert(from, now);
    }

    /// Asks peers, all of them over new connections if the last ones that were asked did not answer.
    fn start_pull(&mut self, peers: &[SocketAddr]) {
        let now = self.now;
        let mark = self.store.newest();
        let have = (mark.number > 0 && !self.pull.whole).then(|| mark_to_wire(mark));
        self.pull.whole = false;
        let fetch = *self.pull.fetch.get_or_insert(Fetch::new(now));
        let limit = self.cfg.preset.in_force;
        let wait = if have.is_some() { fetch.wait(limit, now) } else { SNAPSHOT_WAIT };
        self.timers.set(Timer::Pull, now + wait);
        for from in peers {
            let works = self.pull.heard.get(from).is_some_and(|at| *at + TRUST > now);
            if fetch.is_retry() || !works {
                self.out.push(Action::Reconnect { to: *from });
            }
            self.pull.asked.insert(*from, now);
            self.send_pull(*from, have.clone());
        }
    }

    fn send_pull(&mut self, to: SocketAddr, have: Option<Mark>) {
        self.send(to, FrameBody::Pull(Pull { have, compressed: true }));
    }

    /// A pull was not answered, or is to be tried again.
    pub(crate) fn run_pull(&mut self) {
        self.miss_asked();
        let newest = self.store.newest().number;
        self.pull.sources.retain(|_, source| source.number > newest && source.misses < MISSES);
        // Whole rows are asked of one peer at a time: they may be 1 MB.
        let width = match self.pull.fetch {
            Some(fetch) if newest > 0 && !self.pull.whole => fetch.width(),
            _ => 1,
        };
        let mut sources: Vec<_> = self.pull.sources.iter().collect();
        // Those that failed least often first, then those that hold most.
        sources.sort_by_key(|(_, source)| (source.misses, Reverse(source.number)));
        let peers: Vec<_> = sources.into_iter().take(width).map(|(addr, _)| *addr).collect();
        if peers.is_empty() {
            self.pull.fetch = None;
        } else {
            self.start_pull(&peers);
        }
    }

    /// The peers that were asked have not answered in time.
    fn miss_asked(&mut self) {
        let asked = std::mem::take(&mut self.pull.asked);
        if !asked.is_empty()
            && let Some(fetch) = &mut self.pull.fetch
        {
            fetch.missed();
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

    /// Logs rows that arrived. A peer that was given up before it sent them counts from now.
    fn note_fetched(&mut self, from: SocketAddr, mark: VersionMark, bytes: usize) {
        let asked = self.pull.asked.get(&from).copied().unwrap_or(self.now);
        let took = self.now.saturating_duration_since(asked);
        self.log_event(LogEvent::Fetched { number: mark.number, from, bytes, took });
    }

    /// A frame to a peer could not be sent.
    pub(crate) fn pull_failed(&mut self, to: SocketAddr) {
        self.pull.sources.remove(&to);
        if self.pull.asked.remove(&to).is_some() && self.pull.asked.is_empty() {
            self.pull.fetch.iter_mut().for_each(Fetch::missed);
            self.timers.set(Timer::Pull, self.now);
        }
    }

    /// A version arrived: sources that hold no more are dropped, the next one is asked.
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
            let hint = Duration::from_millis(u64::from(busy.retry_ms)).min(SNAPSHOT_WAIT);
            let wait = hint + self.jitter(hint);
            self.timers.set(Timer::Pull, self.now + wait);
        }
    }

    /// Sends the version served to a peer that asks for it: one transfer to a peer at a time, and a
    /// limited number in all.
    pub(crate) fn on_pull(&mut self, from: SocketAddr, pull: &Pull) {
        let have = mark_from_wire(pull.have.as_ref());
        let Some(release) = self.store.served() else {
            self.send(from, FrameBody::Busy(Busy { retry_ms: 1_000 }));
            return;
        };
        let (mark, origin) = (release.version.mark(), release.origin());
        if let Some(have) = have.filter(|have| have.number >= mark.number) {
            self.compare_number(from, have.number);
            if have.number == mark.number && have.hash != mark.hash {
                // The empty range tells the whole hash and asks for nothing.
                let mark = Some(mark_to_wire(mark));
                let offer = Offer { mark, lo: 1, hi: 0, ..Offer::default() };
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
        let whole = matches!(rows, Rows::Snapshot(_));
        let snapshots = self.pull.transfers.values().filter(|(_, whole)| *whole).count();
        if self.pull.transfers.len() >= TRANSFERS || (whole && snapshots >= SNAPSHOTS) {
            self.count(Counter::TransferDeferred);
            self.send(from, FrameBody::Busy(Busy { retry_ms: 400 }));
            return;
        }
        self.pull.transfers.insert(from, (now, whole));
        let (mark, origin) = (Some(mark_to_wire(mark)), Some(origin));
        let body = match rows {
            Rows::Delta(rows) => {
                self.count(Counter::DeltaSent);
                let (rows, compressed) = encoded(rows, pull.compressed);
                FrameBody::Delta(Delta { mark, rows, origin, compressed })
            }
            Rows::Snapshot(rows) => {
                self.count(Counter::SnapshotSent);
                let (rows, compressed) = encoded(rows, pull.compressed);
                FrameBody::Snapshot(Snapshot { mark, rows, origin, compressed })
            }
        };
        self.send(from, body);
    }

    pub(crate) fn on_delta(&mut self, from: SocketAddr, frame: &Delta) {
        let Some(mark) = self.wanted(frame.mark.as_ref()) else { return };
        self.note_fetched(from, mark, frame.rows.len());
        let rows = decoded(&frame.rows, frame.compressed);
        let delta = rows.and_then(|rows| serde_json::from_slice::<dw_tables::Delta>(&rows).ok());
        let version = delta.filter(|delta| delta.target == mark).and_then(|delta| {
            let base = self.store.base(delta.base)?;
            delta.apply(base).ok()
        });
        let Some(version) = version else {
            self.log_event(LogEvent::Detail(format!(
                "delta to version {} does not apply",
                mark.number
            )));
            self.pull.whole = true;
            self.start_pull(&[from]);
            return;
        };
        match self.check_rows(version) {
            Some(version) => self.take(Release::from_wire(frame.origin.as_ref(), version)),
            None => self.reject(mark.number),
        }
    }

    pub(crate) fn on_snapshot(&mut self, from: SocketAddr, frame: &Snapshot) {
        let Some(mark) = self.wanted(frame.mark.as_ref()) else { return };
        self.note_fetched(from, mark, frame.rows.len());
        let rows = decoded(&frame.rows, frame.compressed).unwrap_or_default();
        let Some(text) = std::str::from_utf8(&rows).ok().filter(|text| !text.is_empty()) else {
            self.count(Counter::BadMessage);
            self.pull_failed(from);
            return;
        };
        match self.read_rows(mark, text) {
            Some(version) => self.take(Release::from_wire(frame.origin.as_ref(), version)),
            None => self.reject(mark.number),
        }
    }

    /// The mark of rows that a peer sent, if they are still of use.
    fn wanted(&self, mark: Option<&dw_wire::Mark>) -> Option<VersionMark> {
        let mark = mark_from_wire(mark)?;
        (mark.number > self.store.newest().number && !self.was_refused(mark)).then_some(mark)
    }

    /// Accepts a version from a peer.
    fn take(&mut self, release: Release) {
        let number = release.version.number;
        self.accept(release, false);
        if self.store.newest().number == number {
            self.pull_done();
        } else {
            self.reject(number);
        }
    }

    /// A version was refused: it is not fetched again for some time, whoever serves it.
    fn reject(&mut self, number: u64) {
        self.pull.asked.clear();
        self.pull.fetch = None;
        self.pull.sources.retain(|_, source| source.number > number);
        self.pull.rejected = Some((number, self.now + REJECT_TIME));
        self.timers.set(Timer::Pull, self.now + REJECT_TIME);
    }
}

/// Rows as the receiver reads them: compressed, or plain for an earlier release.
fn encoded(rows: Bytes, compressed: bool) -> (Bytes, bool) {
    match compressed {
        true => (rows, true),
        // What this process has compressed can be decompressed.
        false => (decompress(&rows).unwrap_or_default(), false),
    }
}

/// Rows of a frame as text; `None` if they cannot be decompressed.
fn decoded(rows: &Bytes, compressed: bool) -> Option<Bytes> {
    if compressed { decompress(rows).ok() } else { Some(rows.clone()) }
}
