use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use bytes::Bytes;
use dw_mesh::{Input, LEASE_TTL, PlatformCall, PlatformCallKind, PlatformEvent, RelayRecord};
use dw_platform::{Commit, Entry, Event, Guard, LeaseId, Platform, PlatformError, Put, Txn, Watch};
use dw_tables::{
    HEAD_KEY, Head, MAX_PART_BYTES, Name, Version, history_key, part_key, split_parts,
};
use tokio::{sync::mpsc, time::timeout};
use tokio_util::sync::CancellationToken;

use crate::{counters::Counters, node::ToNode, tasks::Tasks};

const RELAYS: &str = "damaskwick/relay/";

/// The longest wait for one call; the platform responds within milliseconds when it is up.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);

/// The same for calls whose answers carry tables: 1 MB takes 2.2 s on a link of 5 Mbit/s that carries
/// nothing else. The node asks again after 10 s.
const TABLES_TIMEOUT: Duration = Duration::from_secs(9);

/// Executes the calls that the node wants made.
#[derive(Clone)]
pub(crate) struct PlatformTask<P> {
    /// The client; `None` if the settings name no platform.
    pub(crate) client: Option<P>,
    /// Own failure domain.
    pub(crate) domain: Name,
    /// The task that receives the answers.
    pub(crate) node: mpsc::Sender<ToNode>,
    /// Counts calls.
    pub(crate) counters: Counters,
    /// Runs calls.
    pub(crate) tasks: Tasks,
    /// Leases of the slots held, shared by concurrent calls.
    pub(crate) leases: Arc<Mutex<HashMap<u32, LeaseId>>>,
}

impl<P: Platform> PlatformTask<P> {
    /// Runs until the daemon is closed. Calls run side by side, so a slow one delays no renewal.
    pub(crate) async fn run(self, mut inbox: mpsc::Receiver<PlatformCall>) {
        let mut watch = CancellationToken::new();
        while let Some(call) = inbox.recv().await {
            if matches!(call, PlatformCall::WatchHead { .. } | PlatformCall::StopWatch) {
                watch.cancel();
                watch = CancellationToken::new();
            }
            let (task, stop) = (self.clone(), watch.clone());
            self.tasks.spawn(async move { task.execute(call, stop).await });
        }
    }

    async fn execute(self, call: PlatformCall, stop: CancellationToken) {
        let kind = call.kind();
        let Some(client) = self.client.clone() else {
            return self.fail(kind, "the settings name no platform").await;
        };
        if let PlatformCall::WatchHead { revision } = call {
            let done = stop.run_until_cancelled(self.watch_head(&client, revision)).await;
            if let Some(Err(error)) = done {
                self.fail(kind, &error.to_string()).await;
            }
            return;
        }
        let limit = match kind {
            PlatformCallKind::ReadHead | PlatformCallKind::ReadParts => TABLES_TIMEOUT,
            _ => CALL_TIMEOUT,
        };
        match timeout(limit, self.answer(&client, call)).await {
            Ok(Ok(Some(event))) => self.tell(event).await,
            Ok(Ok(None)) => {}
            Ok(Err(error)) => self.fail(kind, &error.to_string()).await,
            Err(_) => self.fail(kind, "the platform did not answer in time").await,
        }
    }

    async fn answer(
        &self,
        client: &P,
        call: PlatformCall,
    ) -> Result<Option<PlatformEvent>, PlatformError> {
        Ok(Some(match call {
            PlatformCall::ReadHead => self.read_head(client).await?,
            PlatformCall::ReadParts(head) => self.read_parts(client, head).await?,
            PlatformCall::ClaimSlot { slot, record } => self.claim(client, slot, &record).await?,
            PlatformCall::RenewSlot { slot } => self.renew(client, slot).await?,
            PlatformCall::ReleaseSlot { slot } => {
                let lease = self.leases().remove(&slot);
                if let Some(lease) = lease {
                    self.counted("revoke", client.revoke(lease).await)?;
                }
                return Ok(None);
            }
            PlatformCall::ReadRelays => self.read_relays(client).await?,
            PlatformCall::Republish { head, version, revision } => {
                self.republish(client, head, &version, revision).await?
            }
            PlatformCall::WatchHead { .. } | PlatformCall::StopWatch => return Ok(None),
        }))
    }

    async fn read_head(&self, client: &P) -> Result<PlatformEvent, PlatformError> {
        let entry = self.counted("get", client.get(HEAD_KEY).await)?;
        Ok(entry.map_or(PlatformEvent::HeadAbsent, |entry| head_event(&entry)))
    }

    async fn read_parts(&self, client: &P, head: Head) -> Result<PlatformEvent, PlatformError> {
        let mut parts = Vec::with_capacity(head.parts.len());
        for hash in &head.parts {
            let entry = self.counted("get", client.get(&part_key(*hash)).await)?;
            let Some(entry) = entry else {
                return Err(PlatformError::Protocol(format!("part {hash} is missing")));
            };
            parts.push(entry.value.to_vec());
        }
        Ok(PlatformEvent::PartsRead { head, parts })
    }

    async fn watch_head(&self, client: &P, revision: u64) -> Result<(), PlatformError> {
        let mut watch = self.counted("watch", client.watch(HEAD_KEY, revision).await)?;
        loop {
            let event = match watch.next().await? {
                Event::Put(entry) => head_event(&entry),
                Event::Delete { .. } => PlatformEvent::HeadAbsent,
            };
            self.tell(event).await;
        }
    }

    async fn claim(
        &self,
        client: &P,
        slot: u32,
        record: &RelayRecord,
    ) -> Result<PlatformEvent, PlatformError> {
        let key = slot_key(&self.domain, slot);
        let holder = |entry: Entry| serde_json::from_slice(&entry.value).ok();
        // A slot is taken nearly always when a candidate asks: one read in place of a grant, a
        // refused write and a revocation.
        if let Some(entry) = self.counted("get", client.get(&key).await)? {
            return Ok(PlatformEvent::SlotTaken { slot, holder: holder(entry) });
        }
        let value = serde_json::to_vec(record).unwrap_or_default();
        let lease = self.counted("grant", client.grant(LEASE_TTL).await)?;
        let txn = Txn {
            guards: vec![Guard { key: key.clone(), revision: 0 }],
            puts: vec![Put { key: key.clone(), value: value.into(), lease: Some(lease) }],
            deletes: Vec::new(),
        };
        let present = match self.counted("commit", client.commit(txn).await) {
            Ok(Commit::Done { .. }) => {
                self.leases().insert(slot, lease);
                return Ok(PlatformEvent::SlotClaimed { slot });
            }
            Ok(Commit::Conflict { present }) => present.into_iter().next(),
            // The answer may have been lost after the write took effect.
            Err(PlatformError::Unanswered) => self.counted("get", client.get(&key).await)?,
            Err(error) => return Err(error),
        };
        if present.as_ref().is_some_and(|entry| entry.lease == Some(lease)) {
            self.leases().insert(slot, lease);
            return Ok(PlatformEvent::SlotClaimed { slot });
        }
        // Without this the unused lease ends by itself, only later.
        let _ = self.counted("revoke", client.revoke(lease).await);
        Ok(PlatformEvent::SlotTaken { slot, holder: present.and_then(holder) })
    }

    async fn renew(&self, client: &P, slot: u32) -> Result<PlatformEvent, PlatformError> {
        let Some(lease) = self.leases().get(&slot).copied() else {
            return Ok(PlatformEvent::SlotLost { slot });
        };
        match self.counted("renew", client.renew(lease).await) {
            Ok(()) => Ok(PlatformEvent::SlotRenewed { slot }),
            Err(PlatformError::LeaseGone) => {
                self.leases().remove(&slot);
                Ok(PlatformEvent::SlotLost { slot })
            }
            Err(error) => Err(error),
        }
    }

    async fn read_relays(&self, client: &P) -> Result<PlatformEvent, PlatformError> {
        let entries = self.counted("range", client.range(RELAYS).await)?;
        let read = |entry: &Entry| serde_json::from_slice(&entry.value).ok();
        Ok(PlatformEvent::RelaysRead { records: entries.iter().filter_map(read).collect() })
    }

    async fn republish(
        &self,
        client: &P,
        head: Head,
        version: &Version,
        revision: u64,
    ) -> Result<PlatformEvent, PlatformError> {
        for (hash, part) in split_parts(&version.tables.canonical(), MAX_PART_BYTES) {
            let put = Put { key: part_key(hash), value: part.into(), lease: None };
            let txn = Txn { puts: vec![put], ..Txn::default() };
            self.counted("commit", client.commit(txn).await)?;
        }
        let number = head.number;
        let value = Bytes::from(serde_json::to_vec(&head).unwrap_or_default());
        let put = |key: String| Put { key, value: value.clone(), lease: None };
        let txn = Txn {
            guards: vec![Guard { key: HEAD_KEY.to_owned(), revision }],
            puts: vec![put(HEAD_KEY.to_owned()), put(history_key(number))],
            deletes: Vec::new(),
        };
        Ok(match self.counted("commit", client.commit(txn).await)? {
            Commit::Done { revision } => PlatformEvent::Republished { number, revision },
            Commit::Conflict { .. } => PlatformEvent::RepublishConflict { number },
        })
    }

    fn counted<T>(
        &self,
        call: &'static str,
        result: Result<T, PlatformError>,
    ) -> Result<T, PlatformError> {
        self.counters.call(call, result.is_ok());
        result
    }

    async fn fail(&self, call: PlatformCallKind, reason: &str) {
        self.tell(PlatformEvent::Failed { call, reason: reason.to_owned() }).await;
    }

    async fn tell(&self, event: PlatformEvent) {
        // The node is gone only when the daemon is being closed.
        let _ = self.node.send(ToNode::Input(Input::Platform(event))).await;
    }

    fn leases(&self) -> MutexGuard<'_, HashMap<u32, LeaseId>> {
        self.leases.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn head_event(entry: &Entry) -> PlatformEvent {
    let revision = entry.revision;
    match serde_json::from_slice(&entry.value) {
        Ok(head) => PlatformEvent::HeadRead { head, revision },
        Err(error) => PlatformEvent::HeadMalformed { reason: error.to_string(), revision },
    }
}

fn slot_key(domain: &str, slot: u32) -> String {
    format!("{RELAYS}{domain}/{slot}")
}
