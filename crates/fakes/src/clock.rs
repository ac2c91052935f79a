use std::{
    io::{Write, stderr},
    sync::mpsc::{Receiver, RecvTimeoutError, Sender, channel},
    thread,
    time::Duration,
};

/// Real time after which a test is considered hung; tests with this clock take less than a second.
const HANG_TIMEOUT: Duration = Duration::from_secs(120);

/// Exit code of a Rust test program whose tests fail.
const FAILURE_EXIT_CODE: i32 = 101;

/// Tokio's clock under the control of a test.
///
/// Tokio's paused time advances by itself whenever the runtime is idle, even while bytes are still
/// in transit through the kernel, so a timeout can fire before a response is read. This clock
/// keeps a blocking task running, which disables the automatic advance; time moves only when
/// `advance` is called.
///
/// It requires a runtime that started paused, `#[tokio::test(start_paused = true)]`: timers have
/// a granularity of 1 ms from the start of the runtime, so after a later pause they would fire up
/// to 1 ms late. With this clock no timeout ends a test that waits for an event that never
/// occurs, so the test program exits after two minutes of real time and prints the test's name.
#[derive(Debug)]
pub struct ManualClock {
    _keep_open: Sender<()>,
}

impl ManualClock {
    /// Disables the automatic advance of the current runtime's paused time.
    #[must_use]
    #[allow(clippy::new_without_default)] // has a side effect on the runtime
    pub fn new() -> Self {
        let (tx, rx) = channel();
        let test = thread::current().name().unwrap_or("a test").to_owned();
        tokio::task::spawn_blocking(move || wait_until_dropped(&rx, &test));
        Self { _keep_open: tx }
    }

    /// Advances the time and lets the timers that are due fire.
    pub async fn advance(&self, by: Duration) {
        self.settle().await;
        tokio::time::advance(by).await;
        self.settle().await;
    }

    /// Runs all tasks until they wait for a timer or a socket.
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
        // A failed write is ignored because there is nowhere else to report it.
        let _ = writeln!(stderr(), "{test} hung for {} s", HANG_TIMEOUT.as_secs());
        std::process::exit(FAILURE_EXIT_CODE);
    }
}

/// Number of yields per `settle`. A call over loopback takes a handful of task switches on each
/// side; the runtime polls the sockets at least once every 61 task polls.
const SETTLE_ROUNDS: usize = 256;
