use std::future::Future;

use tokio::runtime::Handle;
use tokio_util::{sync::CancellationToken, task::TaskTracker};

/// All tasks of one daemon, so that stopping it leaves no task behind in the process.
///
/// It is also the executor that hyper uses to spawn a task for each HTTP/2 stream, so that those
/// are tracked as well.
#[derive(Clone, Debug)]
pub(crate) struct Tasks {
    tracker: TaskTracker,
    cancelled: CancellationToken,
    /// Where tasks are spawned, whichever runtime the spawning one is on.
    runtime: Handle,
}

impl Tasks {
    /// No tasks yet; they will be spawned on this runtime.
    pub(crate) fn new(runtime: Handle) -> Self {
        Self { tracker: TaskTracker::new(), cancelled: CancellationToken::new(), runtime }
    }

    /// The same tasks, of which further ones are spawned on another runtime.
    pub(crate) fn with_runtime(&self, runtime: Handle) -> Self {
        Self { runtime, ..self.clone() }
    }

    /// Spawns a task that ends at the latest when `abort` is called.
    pub(crate) fn spawn(&self, work: impl Future<Output: Send> + Send + 'static) {
        // Each task has a token of its own, because every poll locks the task's token: with one token
        // for all tasks of a daemon, the worker threads contended for its lock.
        let cancelled = self.cancelled.child_token();
        let work = async move {
            cancelled.run_until_cancelled_owned(work).await;
        };
        self.tracker.spawn_on(work, &self.runtime);
    }

    /// Drops every task at its next await point and waits until all are gone.
    pub(crate) async fn abort(&self) {
        self.cancelled.cancel();
        self.tracker.close();
        self.tracker.wait().await;
    }
}

impl<F> hyper::rt::Executor<F> for Tasks
where
    F: Future<Output: Send> + Send + 'static,
{
    fn execute(&self, work: F) {
        self.spawn(work);
    }
}
