use std::future::Future;

use tokio_util::{sync::CancellationToken, task::TaskTracker};

/// All tasks of one daemon, so that stopping it leaves no task behind in the process.
///
/// It is also the executor that hyper uses to spawn a task for each HTTP/2 stream, so that those
/// are tracked as well.
#[derive(Clone, Debug, Default)]
pub(crate) struct Tasks {
    tracker: TaskTracker,
    cancelled: CancellationToken,
}

impl Tasks {
    /// Spawns a task that ends at the latest when `abort` is called.
    pub(crate) fn spawn(&self, work: impl Future<Output: Send> + Send + 'static) {
        // Each task has a token of its own, because every poll locks the task's token: with one token
        // for all tasks of a daemon, the worker threads contended for its lock.
        let cancelled = self.cancelled.child_token();
        self.tracker.spawn(async move {
            cancelled.run_until_cancelled_owned(work).await;
        });
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
