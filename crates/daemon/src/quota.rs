//! Quotas of workspaces: the handle that admits requests, and the task that owns the UDP socket for
//! credit requests and replies.

mod metrics;
mod state;
mod task;

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use dw_mesh::MemberTable;
use dw_request::{Allotment, Member, Reason, Refusal, Take};
use dw_tables::{Name, Version};
use tokio::{
    sync::Notify,
    time::{Duration, Instant, timeout_at},
};

use crate::counters::Counters;
pub(crate) use metrics::QuotaCounters;
use state::State;
pub(crate) use task::Quota;

/// Longest wait of a request for credit: two attempts of a credit request of 40 ms each.
const MAX_WAIT: Duration = Duration::from_millis(80);

/// Admits requests of workspaces with a limit. Clones share the credit.
///
/// The credit is behind a mutex, because a decision takes less than a microsecond and nearly all requests
/// of a frequent workspace need one only; no lock is held across an await point.
#[derive(Clone)]
pub(crate) struct QuotaHandle(Arc<Shared>);

struct Shared {
    state: Mutex<State>,
    /// Tells the task that a credit request has to be sent.
    wake: Notify,
    counters: Counters,
}

/// The admission of one request.
pub(crate) struct QuotaPermit {
    handle: QuotaHandle,
    workspace: Name,
}

impl QuotaHandle {
    /// Creates the handle of a daemon that knows no workspaces yet. The settings name `configured` daemons,
    /// including this one.
    pub(crate) fn new(host: Name, configured: usize, counters: Counters) -> Self {
        let state = Mutex::new(State::new(host, configured));
        Self(Arc::new(Shared { state, wake: Notify::new(), counters }))
    }

    /// Applies the quotas of a version.
    pub(crate) fn set_version(&self, version: &Version) {
        self.state().set_version(version, Instant::now());
        self.0.wake.notify_one();
    }

    /// Applies a view of the members, in the forms of the proxy and of the mesh.
    pub(crate) fn set_members(&self, members: &[Member], table: &MemberTable, now: Instant) {
        self.state().set_members(members, table, now);
    }

    /// Admits a request of a workspace. Without credit it waits for the owner's answer, at most 80 ms.
    ///
    /// # Errors
    /// The request is over the quota.
    pub(crate) async fn admit(
        &self,
        workspace: &Name,
        allotment: Allotment,
    ) -> Result<QuotaPermit, Refusal> {
        let started = Instant::now();
        let (mut take, mut answered) = {
            let mut state = self.state();
            let entry = state.entry(workspace, allotment, started);
            let take = entry.holder.take(started);
            let answered = (take == Take::Ask).then(|| entry.answered.clone().notified_owned());
            self.mark(&mut state, workspace, started);
            (take, answered)
        };
        while let Some(notified) = answered.take() {
            let in_time = timeout_at(started + MAX_WAIT, notified).await.is_ok();
            let now = Instant::now();
            let mut state = self.state();
            let entry = state.entry(workspace, allotment, now);
            if !in_time {
                entry.holder.unanswered(now);
            }
            take = entry.holder.take_again(now);
            if take == Take::Ask && in_time {
                answered = Some(entry.answered.clone().notified_owned());
            }
            self.mark(&mut state, workspace, now);
        }
        match take {
            Take::Granted => {
                self.0.counters.quota().granted();
                Ok(QuotaPermit { handle: self.clone(), workspace: workspace.clone() })
            }
            Take::Denied { after } => {
                self.0.counters.quota().denied();
                Err(Refusal::new(Reason::Quota).with_retry_after(after))
            }
            // The owner's answers left no token for this request within the longest wait.
            Take::Ask => {
                self.0.counters.quota().denied();
                Err(Refusal::new(Reason::Quota))
            }
        }
    }

    /// Wakes the task if the workspace has a credit request to send.
    fn mark(&self, state: &mut State, workspace: &Name, now: Instant) {
        state.mark(workspace, now);
        if state.is_marked() {
            self.0.wake.notify_one();
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.0.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl QuotaPermit {
    /// Returns the token of a request that was refused as not run.
    pub(crate) fn refund(self) {
        self.handle.state().refund(&self.workspace, Instant::now());
    }
}
