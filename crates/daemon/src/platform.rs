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

use crate::{counters::Counters, node::NodeMessage, tasks::Tasks};

/// Prefix of the keys of relay records; the failure domain and the slot follow.
pub(crate) const RELAY_PREFIX: &str = "damaskwick/relay/";

/// Timeout of a call; a platform that is up responds within milliseconds.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);

/// Timeout of a call whose response contains tables: 1 MB takes 2.2 s on an otherwise idle link of
/// 5 Mbit/s. It is below the 10 s after which the node repeats the call.
const TABLES_TIMEOUT: Duration = Duration::from_secs(9);

/// Executes the platform calls that the node requests.
#[derive(Clone)]
pub(crate) struct PlatformTask<P> {
    /// The client; `None` if the settings name no platform.
    pub(crate) client: Option<P>,
    /// The failure domain of this host.
    pub(crate) domain: Name,
    /// The node's task, which receives the results.
    pub(crate) node: mpsc::Sender<NodeMessage>,
    /// Counts calls.
    pub(crate) counters: Counters,
    /// Runs a task for each call.
    pub(crate) tasks: Tasks,
    /// Leases of the relay slots that this host holds, shared by concurrent calls.
    pub(crate) leases: Arc<Mutex<HashMap<u32, LeaseId>>>,
}

impl<P: Platform> PlatformTask<P> {
    /// Runs until the daemon is closed. Calls run concurrently, so a slow one does not delay the
    /// renewal of a lease.
    pub(crate) async fn run(self, mut inbox: mpsc::Receiver<PlatformCall>) {
        let mut watch = CancellationToken::new();
        while let Some(call) = inbox.recv().await {
            if matches!(call, PlatformCall::WatchHead { .. } | PlatformCall::StopWatch) {
                watch.cancel();
                watch = CancellationToken::new();
            }
            let (task, cancel) = (self.clone(), watch.clone());
            self.tasks.spawn(async move { task.execute(call, cancel).await });
        }
    }

    async fn execute(self, call: PlatformCall, cancel: CancellationToken) {
        let kind = call.kind();
        let Some(client) = self.client.clone() else {
            return self.report_failure(kind, "the settings name no platform").await;
        };
        if let PlatformCall::WatchHead { revision } = call {
            let done = cancel.run_until_cancelled(self.watch_head(&client, revision)).await;
            if let Some(Err(error)) = done {
                self.report_failure(kind, &error.to_string()).await;
            }
            return;
        }
        let limit = match kind {
            PlatformCallKind::ReadHead | PlatformCallKind::ReadParts => TABLES_TIMEOUT,
            _ => CALL_TIMEOUT,
        };
        match timeout(limit, self.call(&client, call)).await {
            Ok(Ok(Some(event))) => self.send_event(event).await,
            Ok(Ok(None)) => {}
            Ok(Err(error)) => self.report_failure(kind, &error.to_string()).await,
            Err(_) => self.report_failure(kind, "the platform did not answer in time").await,
        }
    }

    async fn call(
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
                    self.counters.count_call("revoke", client.revoke(lease).await)?;
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
        let entry = self.counters.count_call("get", client.get(HEAD_KEY).await)?;
        Ok(entry.map_or(PlatformEvent::HeadAbsent, |entry| head_event(&entry)))
    }

    async fn read_parts(&self, client: &P, head: Head) -> Result<PlatformEvent, PlatformError> {
        let mut parts = Vec::with_capacity(head.parts.len());
        for hash in &head.parts {
            let entry = self.counters.count_call("get", client.get(&part_key(*hash)).await)?;
            let Some(entry) = entry else {
                return Err(PlatformError::Protocol(format!("part {hash} is missing")));
            };
            parts.push(entry.value.to_vec());
        }
        Ok(PlatformEvent::PartsRead { head, parts })
    }

    async fn watch_head(&self, client: &P, revision: u64) -> Result<(), PlatformError> {
        let mut watch =
            self.counters.count_call("watch", client.watch(HEAD_KEY, revision).await)?;
        loop {
            let event = match watch.next().await? {
                Event::Put(entry) => head_event(&entry),
                Event::Delete { .. } => PlatformEvent::HeadAbsent,
            };
            self.send_event(event).await;
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
        // The slot is nearly always taken when a candidate asks. This read then replaces a grant, a
        // write that is refused and a revocation.
        if let Some(entry) = self.counters.count_call("get", client.get(&key).await)? {
            return Ok(PlatformEvent::SlotTaken { slot, holder: holder(entry) });
        }
        let value = serde_json::to_vec(record).unwrap_or_default();
        let lease = self.counters.count_call("grant", client.grant(LEASE_TTL).await)?;
        let txn = Txn {
            guards: vec![Guard { key: key.clone(), revision: 0 }],
            puts: vec![Put { key: key.clone(), value: value.into(), lease: Some(lease) }],
            deletes: Vec::new(),
        };
        let present = match self.counters.count_call("commit", client.commit(txn).await) {
            Ok(Commit::Done { .. }) => {
                self.leases().insert(slot, lease);
                return Ok(PlatformEvent::SlotClaimed { slot });
            }
            Ok(Commit::Conflict { present }) => present.into_iter().next(),
            // The response may have been lost after the write took effect.
            Err(PlatformError::Unanswered) => {
                self.counters.count_call("get", client.get(&key).await)?
            }
            Err(error) => return Err(error),
        };
        if present.as_ref().is_some_and(|entry| entry.lease == Some(lease)) {
            self.leases().insert(slot, lease);
            return Ok(PlatformEvent::SlotClaimed { slot });
        }
        // If this fails, the unused lease still expires, only later.
        let _ = self.counters.count_call("revoke", client.revoke(lease).await);
        Ok(PlatformEvent::SlotTaken { slot, holder: present.and_then(holder) })
    }

    async fn renew(&self, client: &P, slot: u32) -> Result<PlatformEvent, PlatformError> {
        let Some(lease) = self.leases().get(&slot).copied() else {
            return Ok(PlatformEvent::SlotLost { slot });
        };
        match self.counters.count_call("renew", client.renew(lease).await) {
            Ok(()) => Ok(PlatformEvent::SlotRenewed { slot }),
            Err(PlatformError::LeaseGone) => {
                self.leases().remove(&slot);
                Ok(PlatformEvent::SlotLost { slot })
            }
            Err(error) => Err(error),
        }
    }

    async fn read_relays(&self, client: &P) -> Result<PlatformEvent, PlatformError> {
        let entries = self.counters.count_call("range", client.range(RELAY_PREFIX).await)?;
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
            self.counters.count_call("commit", client.commit(txn).await)?;
        }
        let number = head.number;
        let value = Bytes::from(serde_json::to_vec(&head).unwrap_or_default());
        let put = |key: String| Put { key, value: value.clone(), lease: None };
        let txn = Txn {
            guards: vec![Guard { key: HEAD_KEY.to_owned(), revision }],
            puts: vec![put(HEAD_KEY.to_owned()), put(history_key(number))],
            deletes: Vec::new(),
        };
        Ok(match self.counters.count_call("commit", client.commit(txn).await)? {
            Commit::Done { revision } => PlatformEvent::Republished { number, revision },
            Commit::Conflict { .. } => PlatformEvent::RepublishConflict { number },
        })
    }

    async fn report_failure(&self, call: PlatformCallKind, reason: &str) {
        self.send_event(PlatformEvent::Failed { call, reason: reason.to_owned() }).await;
    }

    async fn send_event(&self, event: PlatformEvent) {
        // The node's task has ended only if the daemon is closing.
        let _ = self.node.send(NodeMessage::Input(Input::Platform(event))).await;
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
    format!("{RELAY_PREFIX}{domain}/{slot}")
}
