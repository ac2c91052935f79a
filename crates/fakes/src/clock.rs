use std::{
    io::{Write, stderr},
    sync::mpsc::{Receiver, RecvTimeoutError, Sender, channel},
    thread,
    time::Duration,
};

/// Real time after which a test counts as hung; tests with this clock take less than a second.
const HANG_TIMEOUT: Duration = Duration::from_secs(120);

/// Exit code of a test program that fails.
const FAILURE_EXIT_CODE: i32 = 101;

/// Tokio's clock under the control of a test.
///
/// Paused time alone advances whenever the runtime is idle, also while bytes are still on their
/// way through the kernel, so a time-out can fire before an answer is read. This clock keeps a
/// blocking task open, which makes tokio leave the time alone until `advance` is called.
///
/// It requires a runtime that started paused, `#[tokio::test(start_paused = true)]`: timers have
/// a granularity of 1 ms from the start of the runtime, so after a later pause they would fire up
/// to 1 ms late. With this clock no time-out ends a test that waits in vain, so the test program
/// is ended, with the test's name, after two minutes of real time.
#[derive(Debug)]
pub struct ManualClock {
    _keep_open: Sender<()>,
}

impl ManualClock {
    /// Keeps the paused time of the current runtime from advancing by itself.
    #[must_use]
    #[allow(clippy::new_without_default)] // has a side effect on the runtime
    pub fn new() -> Self {
        let (tx, rx) = channel();
        let test = thread::current().name().unwrap_or("a test").to_owned();
        tokio::task::spawn_blocking(move || wait_until_dropped(&rx, &test));
        Self { _keep_open: tx }
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

fn wait_until_dropped(rx: &Receiver<()>, test: &str) {
    if rx.recv_timeout(HANG_TIMEOUT) == Err(RecvTimeoutError::Timeout) {
        // Nothing is left to report a failure to.
        let _ = writeln!(stderr(), "{test} hung for {} s", HANG_TIMEOUT.as_secs());
        std::process::exit(FAILURE_EXIT_CODE);
    }
}

/// Polls of the runtime per `settle`. A call over loopback takes a handful of task switches on
/// each side; the runtime polls the sockets at least once every 61 task polls.
const SETTLE_ROUNDS: usize = 256;
