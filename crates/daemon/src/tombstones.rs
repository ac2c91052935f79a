//! Targets that left, or are draining, when a process ends: the next process on the host learns of them from the store
//! and from peers, so that a late report does not take them back.

use std::time::Duration;

use dw_log::{Event, Field, Kind, Log};
use dw_platform::{Backoff, Commit, Entry, LeaseId, Platform, PlatformError, Put, Txn};
use dw_tables::{Name, Tombstone};
use tokio::{
    sync::{mpsc, oneshot, watch},
    time::{Instant, sleep, sleep_until, timeout},
};

use crate::{counters::Counters, departures::Departures, tasks::Tasks};

/// Prefix of the keys of tombstones; the names of the host and of the target follow.
const TOMBSTONE_PREFIX: &str = "damaskwick/tombstone/";

/// How long the store keeps a tombstone. A report that is held up on its way arrives seconds late.
const TOMBSTONE_TTL: Duration = Duration::from_secs(300);

/// Timeout of a call to the store; a healthy one responds within milliseconds.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// The longest wait for the store before the end of a target is acknowledged. A target repeats what is not
/// acknowledged within a second.
const SAVE_TIMEOUT: Duration = Duration::from_millis(400);

/// The longest random delay before the store is read, so that the processes of a fleet that starts do
/// not all read it at the same moment.
const READ_SPREAD: Duration = Duration::from_millis(100);

/// Bounds of the delay before a failed call is repeated.
const RETRY_DELAY: Duration = Duration::from_millis(500);
const MAX_RETRY_DELAY: Duration = Duration::from_secs(8);

/// Maximum number of tombstones that are written together, which is what the store accepts in one transaction.
const MAX_WRITES: usize = 32;

enum Message {
    /// Read the tombstones of this host.
    Read,
    /// Write tombstones to the store.
    Save {
        tombstones: Vec<Tombstone>,
        /// Notified when they are written, and dropped if the store does not take them at once.
        done: oneshot::Sender<()>,
    },
}

/// How the daemon reaches the task.
#[derive(Debug)]
pub(crate) struct TombstoneHandle {
    tx: mpsc::Sender<Message>,
    departures: watch::Sender<Departures>,
}

impl TombstoneHandle {
    /// Reads the store once; the result is published with what peers tell.
    pub(crate) async fn read_departures(&self) -> watch::Receiver<Departures> {
        // The task has ended only if the daemon is closing.
        let _ = self.tx.send(Message::Read).await;
        let mut departures = self.departures.subscribe();
        // A peer may have told before.
        departures.mark_changed();
        departures
    }

    /// Writes tombstones to the store and waits for it, but not for long. Those that the store does not
    /// take at once are written later.
    pub(crate) async fn save(&self, tombstones: Vec<Tombstone>) {
        let (done, written) = oneshot::channel();
        if self.tx.send(Message::Save { tombstones, done }).await.is_ok() {
            // The end of a target is acknowledged whether or not the store answers: its peers are told too.
            let _ = timeout(SAVE_TIMEOUT, written).await;
        }
    }
}

/// The task that reads and writes tombstones.
#[derive(Clone)]
pub(crate) struct TombstoneTask<P> {
    /// The client of the store; without one, only peers tell.
    pub(crate) client: Option<P>,
    /// This host.
    pub(crate) host: Name,
    /// What is known of the departures before this process started.
    pub(crate) departures: watch::Sender<Departures>,
    /// Counts calls.
    pub(crate) counters: Counters,
    /// The log.
    pub(crate) log: Log,
    /// Runs the task, and another one that reads.
    pub(crate) tasks: Tasks,
}

impl<P: Platform> TombstoneTask<P> {
    /// Starts the task.
    pub(crate) fn start(self, capacity: usize) -> TombstoneHandle {
        let (tx, rx) = mpsc::channel(capacity);
        let departures = self.departures.clone();
        self.tasks.clone().spawn(self.run(rx));
        TombstoneHandle { tx, departures }
    }

    /// Runs until the daemon is closed.
    async fn run(self, mut inbox: mpsc::Receiver<Message>) {
        let mut writer = Writer::new(self.clone());
        loop {
            let message = tokio::select! {
                message = inbox.recv() => message,
                () = sleep_until(writer.retry_at), if !writer.pending.is_empty() => {
                    writer.write_pending().await;
                    continue;
                }
            };
            match message {
                Some(Message::Read) => self.tasks.spawn(self.clone().read()),
                Some(Message::Save { tombstones, done }) => {
                    tombstones.into_iter().for_each(|tombstone| writer.add(tombstone));
                    if writer.write_pending().await {
                        // The requester may have stopped waiting.
                        let _ = done.send(());
                    }
                }
                None => return,
            }
        }
    }

    /// Reads the tombstones of this host until the store has answered.
    async fn read(self) {
        let Some(client) = &self.client else {
            return self.departures.send_modify(Departures::set_store_failed);
        };
        let prefix = self.key_prefix();
        let mut backoff = Backoff::new(RETRY_DELAY, MAX_RETRY_DELAY);
        sleep(READ_SPREAD.mul_f64(rand::random())).await;
        loop {
            let result = timeout(CALL_TIMEOUT, client.range(&prefix)).await;
            let result = result.unwrap_or(Err(PlatformError::Unanswered));
            match self.counters.count_call("range", result) {
                Ok(entries) => {
                    let read = |entry: &Entry| serde_json::from_slice(&entry.value).ok();
                    let tombstones: Vec<Tombstone> = entries.iter().filter_map(read).collect();
                    let event = Event::new(Kind::TombstonesRead);
                    self.log.write(&event.with(Field::Count, tombstones.len()));
                    return self.departures.send_modify(|d| d.add_from_store(tombstones));
                }
                Err(_) => {
                    self.departures.send_modify(Departures::set_store_failed);
                    let delay = backoff.delay(&mut rand::rng());
                    sleep(delay).await;
                }
            }
        }
    }

    fn key_prefix(&self) -> String {
        format!("{TOMBSTONE_PREFIX}{}/", self.host)
    }
}

/// Writes tombstones to the store, and repeats what failed.
struct Writer<P> {
    task: TombstoneTask<P>,
    pending: Vec<Tombstone>,
    /// The lease under which tombstones are written, and when it was granted.
    lease: Option<(LeaseId, Instant)>,
    backoff: Backoff,
    retry_at: Instant,
}

impl<P: Platform> Writer<P> {
    fn new(task: TombstoneTask<P>) -> Self {
        let backoff = Backoff::new(RETRY_DELAY, MAX_RETRY_DELAY);
        Self { task, pending: Vec::new(), lease: None, backoff, retry_at: Instant::now() }
    }

    /// Adds a tombstone. All of one target have the same key, which a transaction may write only once;
    /// the last covers most.
    fn add(&mut self, tombstone: Tombstone) {
        self.pending.retain(|pending| pending.name != tombstone.name);
        self.pending.push(tombstone);
    }

    /// Writes what is pending; returns whether all of it was written.
    async fn write_pending(&mut self) -> bool {
        let Some(client) = self.task.client.clone() else {
            self.pending.clear();
            return false;
        };
        while !self.pending.is_empty() {
            let count = self.pending.len().min(MAX_WRITES);
            let result = timeout(CALL_TIMEOUT, self.write(&client, count)).await;
            match result.unwrap_or(Err(PlatformError::Unanswered)) {
                Ok(()) => drop(self.pending.drain(..count)),
                Err(error) => {
                    if error == PlatformError::LeaseGone {
                        self.lease = None;
                    }
                    self.retry_at = Instant::now() + self.backoff.delay(&mut rand::rng());
                    let event = Event::new(Kind::TombstonesUnsaved);
                    let event = event.with(Field::Count, self.pending.len());
                    self.task.log.write(&event.with(Field::Detail, error.to_string()));
                    return false;
                }
            }
        }
        self.backoff.reset();
        true
    }

    async fn write(&mut self, client: &P, count: usize) -> Result<(), PlatformError> {
        let counters = &self.task.counters;
        // A lease that is used for longer would end sooner after the write.
        let fresh = self.lease.filter(|(_, granted)| granted.elapsed() < TOMBSTONE_TTL / 10);
        let lease = match fresh {
            Some((lease, _)) => lease,
            None => {
                let lease = counters.count_call("grant", client.grant(TOMBSTONE_TTL).await)?;
                self.lease = Some((lease, Instant::now()));
                lease
            }
        };
        let prefix = self.task.key_prefix();
        let put = |tombstone: &Tombstone| Put {
            key: format!("{prefix}{}", tombstone.name),
            value: serde_json::to_vec(tombstone).unwrap_or_default().into(),
            lease: Some(lease),
        };
        let puts = self.pending.iter().take(count).map(put).collect();
        let txn = Txn { puts, ..Txn::default() };
        match counters.count_call("commit", client.commit(txn).await)? {
            // Without a guard there is no conflict.
            Commit::Done { .. } | Commit::Conflict { .. } => Ok(()),
        }
    }
}
