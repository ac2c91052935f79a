use std::future::Future;

use tokio_util::{sync::CancellationToken, task::TaskTracker};

/// All tasks of one daemon, so that it can be stopped without a trace in its process.
///
/// hyper spawns a task for each HTTP/2 stream; as an executor this type tracks those as well.
#[derive(Clone, Debug, Default)]
pub(crate) struct Tasks {
    tracker: TaskTracker,
    dead: CancellationToken,
}

impl Tasks {
    /// Spawns a task that ends at the latest when `abort` is called.
    pub(crate) fn spawn(&self, work: impl Future<Output: Send> + Send + 'static) {
        // A token of its own: each poll of a task locks its token, and with one token for all tasks
        // of a daemon the worker threads waited for each other.
        let dead = self.dead.child_token();
        self.tracker.spawn(async move {
            dead.run_until_cancelled_owned(work).await;
        });
    }

    /// Drops every task at its next await point and waits until all are gone.
    pub(crate) async fn abort(&self) {
        self.dead.cancel();
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
