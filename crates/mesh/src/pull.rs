use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use bytes::Bytes;
use dw_tables::VersionMark;
use dw_wire::{Busy, Delta, FrameBody, Mark, Offer, Pull, Snapshot, unpack};
use tokio::time::Instant;

use crate::{
    Counter, Node, Note,
    convert::{mark_from_wire, mark_to_wire},
    store::{Release, Rows},
    timer::Timer,
};

/// Wait for all rows of a version, up to 1 MB.
const SNAPSHOT_WAIT: Duration = Duration::from_secs(2);

/// Wait for the rows that have changed, before another peer is asked: the first may have fallen silent
/// after its offer. Rows that come later are taken all the same.
const DELTA_WAIT: Duration = Duration::from_millis(500);

/// Time in which a second transfer to the same peer is not started.
const TRANSFER_TIME: Duration = Duration::from_millis(200);

/// Transfers under way at the same time; a snapshot may take 1 MB.
const TRANSFERS: usize = 32;

/// Snapshots under way at the same time.
const SNAPSHOTS: usize = 8;

/// Peers that are known to hold more.
const SOURCES: usize = 16;

/// Time in which a refused version is not fetched again.
const REJECT_TIME: Duration = Duration::from_secs(10);

/// Time between two questions about a fork.
const FORK_EVERY: Duration = Duration::from_secs(10);

/// Fetching a newer version from a peer, and serving peers that fetch.
#[derive(Debug, Default)]
pub(crate) struct Pulling {
    sources: BTreeMap<SocketAddr, u64>,
    /// The peer that was asked, and when.
    current: Option<(SocketAddr, Instant)>,
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
        if self.pull.sources.len() >= SOURCES {
            self.pull.sources.pop_first();
        }
        self.pull.sources.insert(from, number);
        if self.pull.current.is_none() && !self.timers.is_set(Timer::Pull) {
            self.start_pull(from);
        }
    }

    fn start_pull(&mut self, from: SocketAddr) {
        let mark = self.store.newest();
        let have = (mark.number > 0 && !self.pull.whole).then(|| mark_to_wire(mark));
        self.pull.whole = false;
        self.pull.current = Some((from, self.now));
        let wait = if have.is_some() { DELTA_WAIT } else { SNAPSHOT_WAIT };
        self.timers.set(Timer::Pull, self.now + wait);
        self.send_pull(from, have);
    }

    fn send_pull(&mut self, to: SocketAddr, have: Option<Mark>) {
        self.send(to, FrameBody::Pull(Pull { have, packed: true }));
    }

    /// A pull was not answered, or is to be tried again.
    pub(crate) fn run_pull(&mut self) {
        if let Some((from, asked)) = self.pull.current.take() {
            self.count(Counter::PullTimeout);
            self.note(Note::FetchLate { from, wait: self.now.saturating_duration_since(asked) });
            self.pull.sources.remove(&from);
        }
        let newest = self.store.newest().number;
        self.pull.sources.retain(|_, number| *number > newest);
        // The source that holds most is asked first.
        let best = self.pull.sources.iter().max_by_key(|(_, number)| **number);
        if let Some(from) = best.map(|(addr, _)| *addr) {
            self.start_pull(from);
        }
    }

    /// When the peer was asked, if it is the one that is asked now.
    fn asked(&self, peer: SocketAddr) -> Option<Instant> {
        self.pull.current.and_then(|(addr, at)| (addr == peer).then_some(at))
    }

    /// Logs rows that arrived. A peer that was given up before it sent them counts from now.
    fn note_fetched(&mut self, from: SocketAddr, mark: VersionMark, bytes: usize) {
        let asked = self.asked(from).unwrap_or(self.now);
        let took = self.now.saturating_duration_since(asked);
        self.note(Note::Fetched { number: mark.number, from, bytes, took });
    }

    /// A frame to a peer could not be sent.
    pub(crate) fn pull_failed(&mut self, to: SocketAddr) {
        if self.asked(to).is_some() {
            self.timers.set(Timer::Pull, self.now);
        } else {
            self.pull.sources.remove(&to);
        }
    }

    /// A version arrived: sources that hold no more are dropped, the next one is asked.
    pub(crate) fn pull_done(&mut self) {
        self.pull.current = None;
        self.timers.clear(Timer::Pull);
        let newest = self.store.newest().number;
        self.pull.sources.retain(|_, number| *number > newest);
        if !self.pull.sources.is_empty() {
            self.timers.set(Timer::Pull, self.now);
        }
    }

    pub(crate) fn on_busy(&mut self, from: SocketAddr, busy: &Busy) {
        if self.asked(from).is_some() {
            self.pull.current = None;
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
                let (rows, packed) = encoded(rows, pull.packed);
                FrameBody::Delta(Delta { mark, rows, origin, packed })
            }
            Rows::Snapshot(rows) => {
                self.count(Counter::SnapshotSent);
                let (rows, packed) = encoded(rows, pull.packed);
                FrameBody::Snapshot(Snapshot { mark, rows, origin, packed })
            }
        };
        self.send(from, body);
    }

    pub(crate) fn on_delta(&mut self, from: SocketAddr, frame: &Delta) {
        let Some(mark) = self.wanted(frame.mark.as_ref()) else { return };
        self.note_fetched(from, mark, frame.rows.len());
        let rows = decoded(&frame.rows, frame.packed);
        let delta = rows.and_then(|rows| serde_json::from_slice::<dw_tables::Delta>(&rows).ok());
        let version = delta.filter(|delta| delta.target == mark).and_then(|delta| {
            let base = self.store.base(delta.base)?;
            delta.apply(base).ok()
        });
        let Some(version) = version else {
            self.note(Note::Detail(format!("delta to version {} does not apply", mark.number)));
            self.pull.whole = true;
            self.start_pull(from);
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
        let rows = decoded(&frame.rows, frame.packed).unwrap_or_default();
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
        self.pull.current = None;
        self.pull.sources.retain(|_, other| *other > number);
        self.pull.rejected = Some((number, self.now + REJECT_TIME));
        self.timers.set(Timer::Pull, self.now + REJECT_TIME);
    }
}

/// Rows as the receiver reads them: packed, or plain for an earlier release.
fn encoded(rows: Bytes, packed: bool) -> (Bytes, bool) {
    match packed {
        true => (rows, true),
        // What this process has packed can be unpacked.
        false => (unpack(&rows).unwrap_or_default(), false),
    }
}

/// Rows of a frame as text; `None` if they cannot be unpacked.
fn decoded(rows: &Bytes, packed: bool) -> Option<Bytes> {
    if packed { unpack(rows).ok() } else { Some(rows.clone()) }
}
