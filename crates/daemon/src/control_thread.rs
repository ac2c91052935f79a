use std::{io, thread};

use tokio::{
    runtime::{Builder, Handle},
    sync::oneshot,
};

/// A thread with a runtime for the control plane of a daemon; see [`Daemon::with_control`].
///
/// Tasks of one runtime take turns, and a message of the control plane passes several of them. On a runtime
/// that also serves requests, each of these waits for all requests that are due, so that under overload
/// versions come seconds late and running hosts are suspected. The operating system shares the processor
/// among threads, however many tasks each of them has.
///
/// [`Daemon::with_control`]: crate::Daemon::with_control
#[derive(Debug)]
pub struct ControlThread {
    handle: Handle,
    stop: oneshot::Sender<()>,
    thread: thread::JoinHandle<()>,
}

impl ControlThread {
    /// Starts the thread.
    ///
    /// # Errors
    /// The system cannot create the thread or its runtime.
    pub fn new() -> io::Result<Self> {
        let runtime = Builder::new_current_thread().enable_all().build()?;
        let handle = runtime.handle().clone();
        let (stop, stopped) = oneshot::channel();
        let thread = thread::Builder::new().name("control".to_owned()).spawn(move || {
            // An error means that the sender was dropped, which ends the thread as well.
            let _ = runtime.block_on(stopped);
        })?;
        Ok(Self { handle, stop, thread })
    }

    /// The runtime of the thread.
    #[must_use]
    pub const fn handle(&self) -> &Handle {
        &self.handle
    }

    /// Drops all tasks of the runtime and waits for the end of the thread.
    pub fn close(self) {
        // The thread ends in any case once the sender is gone, and a panic there was reported by its task.
        let _ = self.stop.send(());
        let _ = self.thread.join();
    }
}
