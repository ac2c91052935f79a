use std::{sync::mpsc, time::Duration};

/// Tokio's clock under the control of a test.
///
/// Paused time alone advances whenever the runtime is idle, also while bytes are still on their
/// way through the kernel, so a time-out can fire before an answer is read. This clock keeps a
/// blocking task open, which makes tokio leave the time alone until `advance` is called.
///
/// It requires a runtime that started paused, `#[tokio::test(start_paused = true)]`: timers have
/// a granularity of 1 ms from the start of the runtime, so after a later pause they would fire up
/// to 1 ms late.
#[derive(Debug)]
pub struct ManualClock {
    _hold: mpsc::Sender<()>,
}

impl ManualClock {
    /// Keeps the paused time of the current runtime from advancing by itself.
    #[must_use]
    #[allow(clippy::new_without_default)] // has a side effect on the runtime
    pub fn new() -> Self {
        let (hold, held) = mpsc::channel::<()>();
        tokio::task::spawn_blocking(move || held.recv());
        Self { _hold: hold }
    }

    /// Moves the time forward and lets the timers that are due fire.
    pub async fn advance(&self, by: Duration) {
        self.settle().await;
        tokio::time::advance(by).await;
        self.settle().await;
    }

    /// Lets all tasks run until they wait for a timer or a socket.
    ///
    /// Each round polls the sockets, so data in transit on loopback is processed too.
    pub async fn settle(&self) {
        for _ in 0..SETTLE_ROUNDS {
            tokio::task::yield_now().await;
        }
    }
}

/// Polls of the runtime per `settle`. A call over loopback takes a handful of task switches on
/// each side; the runtime polls the sockets at least once every 61 task polls.
const SETTLE_ROUNDS: usize = 256;
