//! Canary rollouts: the task that leads them where this daemon is in charge, and the messages by which all
//! daemons follow them. `dw_request::rollout` makes the decisions.

mod message;
mod metrics;
mod orders;
mod task;

use std::sync::{
    Arc,
    atomic::{AtomicBool, Ordering},
};

use dw_tables::Name;
use tokio::sync::mpsc;

pub(crate) use message::{RolloutPoll, RolloutReply};
pub(crate) use metrics::RolloutCounters;
pub(crate) use task::{Input, RolloutTask};

/// Prefix of the keys of orders, which operators write; the name of the service follows.
pub const ORDER_PREFIX: &str = "damaskwick/rollout/order/";

/// Prefix of the keys of states, which leaders write; the name of the service follows.
pub const STATE_PREFIX: &str = "damaskwick/rollout/state/";

/// How the proxy reaches the task. Clones share the state.
#[derive(Clone)]
pub(crate) struct RolloutHandle(Arc<Shared>);

struct Shared {
    tx: mpsc::Sender<Input>,
    /// Whether this daemon watches the orders and its latest call to the store succeeded.
    reaches_store: AtomicBool,
}

impl RolloutHandle {
    /// Creates the handle of a task that receives its inputs from the other end of `tx`.
    pub(crate) fn new(tx: mpsc::Sender<Input>) -> Self {
        Self(Arc::new(Shared { tx, reaches_store: AtomicBool::new(false) }))
    }

    /// Reports that the daemon of `from` leads the rollouts of these services.
    pub(crate) fn hear(&self, from: Name, services: Vec<Name>) {
        // If the queue is full, the next announcement is heard.
        let _ = self.0.tx.try_send(Input::Heard { from, services });
    }

    /// Whether this daemon could lead instead of one that does not reach the store.
    pub(crate) fn reaches_store(&self) -> bool {
        self.0.reaches_store.load(Ordering::Relaxed)
    }

    fn set_reaches_store(&self, reaches: bool) {
        self.0.reaches_store.store(reaches, Ordering::Relaxed);
    }
}
