use std::{collections::BTreeSet, time::Duration};

use dw_mesh::RelayRecord;
use dw_platform::{Commit, Entry, Event, Guard, Platform, PlatformError, Put, Txn, Watch};
use dw_request::RolloutState;
use dw_tables::Name;
use tokio::{
    sync::mpsc,
    time::{sleep, timeout},
};

use super::{Input, ORDER_PREFIX, STATE_PREFIX};
use crate::{counters::Counters, platform::RELAY_PREFIX};

/// Timeout of a call to the store; a healthy one responds within milliseconds.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// The store as the leader of rollouts uses it.
#[derive(Clone)]
pub(super) struct RolloutStore<P> {
    pub(super) client: P,
    /// Receives the results.
    pub(super) tx: mpsc::Sender<Input>,
    pub(super) counters: Counters,
    /// Pause after a failed call.
    pub(super) pause: Duration,
}

/// The outcome of a call that a leader requested.
pub(crate) enum StoreOutcome {
    /// The state with its revision; `None` and 0 without one.
    Read(Option<RolloutState>, u64),
    /// The hosts that hold a relay slot.
    Relays(BTreeSet<Name>),
    /// The write took effect at this revision.
    Written(u64),
    /// The key had another revision.
    Conflict,
    /// The call failed; a write may have taken effect.
    Failed(String),
}

impl<P: Platform> RolloutStore<P> {
    /// Reports all orders, and then each change, until it is dropped.
    pub(super) async fn follow_orders(self) {
        loop {
            if let Err(error) = self.watch_orders().await
                && error != PlatformError::Compacted
            {
                self.send(Input::StoreFailed).await;
            }
            // Candidates on several hosts should not repeat their calls at the same moment.
            sleep(self.pause.mul_f64(0.5 + rand::random::<f64>())).await;
        }
    }

    async fn watch_orders(&self) -> Result<(), PlatformError> {
        let opened = self.client.watch_prefix(ORDER_PREFIX).await;
        let (entries, mut watch) = self.counters.count_call("watch", opened)?;
        self.send(Input::Orders(entries)).await;
        loop {
            if let Event::Put(entry) = watch.next().await? {
                self.send(Input::Order(entry)).await;
            }
        }
    }

    /// Reads the state of a service.
    pub(super) async fn read(self, service: Name) {
        let key = format!("{STATE_PREFIX}{service}");
        let outcome = match timeout(CALL_TIMEOUT, self.client.get(&key)).await {
            Ok(read) => match self.counters.count_call("get", read) {
                Ok(entry) => parse_state(entry),
                Err(error) => StoreOutcome::Failed(error.to_string()),
            },
            Err(_) => no_answer(),
        };
        self.send(Input::Stored { service, outcome }).await;
    }

    /// Reads which hosts hold a relay slot, for the leader of a service.
    pub(super) async fn read_relays(self, service: Name) {
        let outcome = match timeout(CALL_TIMEOUT, self.client.range(RELAY_PREFIX)).await {
            Ok(read) => match self.counters.count_call("range", read) {
                Ok(entries) => StoreOutcome::Relays(relay_hosts(&entries)),
                Err(error) => StoreOutcome::Failed(error.to_string()),
            },
            Err(_) => no_answer(),
        };
        self.send(Input::Stored { service, outcome }).await;
    }

    /// Writes the state of a service if its key still has this revision.
    pub(super) async fn write(self, service: Name, state: RolloutState, revision: u64) {
        let key = format!("{STATE_PREFIX}{service}");
        let value = serde_json::to_vec(&state).unwrap_or_default();
        let txn = Txn {
            guards: vec![Guard { key: key.clone(), revision }],
            puts: vec![Put { key, value: value.into(), lease: None }],
            deletes: Vec::new(),
        };
        let outcome = match timeout(CALL_TIMEOUT, self.client.commit(txn)).await {
            Ok(done) => match self.counters.count_call("commit", done) {
                Ok(Commit::Done { revision }) => StoreOutcome::Written(revision),
                Ok(Commit::Conflict { .. }) => StoreOutcome::Conflict,
                Err(error) => StoreOutcome::Failed(error.to_string()),
            },
            Err(_) => no_answer(),
        };
        self.send(Input::Stored { service, outcome }).await;
    }

    async fn send(&self, input: Input) {
        // The task has ended only if the daemon is closing.
        let _ = self.tx.send(input).await;
    }
}

fn no_answer() -> StoreOutcome {
    StoreOutcome::Failed("the store did not answer in time".to_owned())
}

fn parse_state(entry: Option<Entry>) -> StoreOutcome {
    let Some(entry) = entry else { return StoreOutcome::Read(None, 0) };
    match serde_json::from_slice(&entry.value) {
        Ok(state) => StoreOutcome::Read(Some(state), entry.revision),
        Err(error) => StoreOutcome::Failed(format!("the state cannot be read: {error}")),
    }
}

fn relay_hosts(entries: &[Entry]) -> BTreeSet<Name> {
    let records = entries.iter().filter_map(|entry| serde_json::from_slice(&entry.value).ok());
    records.map(|record: RelayRecord| record.host).collect()
}
