//! How late the runtimes of a daemon run tasks that are due.

use std::time::Duration;

use dw_log::{Event, Field, Kind, Log};
use tokio::time::{Instant, sleep_until};

use crate::counters::Counters;

/// Time between two measurements. Each one wakes the process up.
const PERIOD: Duration = Duration::from_millis(500);

/// Delay from which on a measurement is logged: a fraction of the seconds within which a version must be in
/// force, since a message passes several tasks.
const LOGGED_DELAY: Duration = Duration::from_millis(100);

/// Minimum time between two logged delays.
const LOG_INTERVAL: Duration = Duration::from_secs(5);

/// The tasks that share a runtime.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Plane {
    /// Requests of callers and of other daemons.
    Requests,
    /// Membership, versions and the platform.
    Control,
}

impl Plane {
    /// The label value in the metrics and the name in the log.
    pub(crate) const fn as_str(self) -> &'static str {
        match self {
            Self::Requests => "requests",
            Self::Control => "control",
        }
    }
}

/// Measures the delay of the tasks of one plane.
pub(crate) struct DelayProbe {
    pub(crate) plane: Plane,
    pub(crate) counters: Counters,
    pub(crate) log: Log,
}

impl DelayProbe {
    /// Runs until the daemon is closed, on the runtime that is measured.
    pub(crate) async fn run(self) {
        let mut logged: Option<Instant> = None;
        loop {
            let due = Instant::now() + PERIOD;
            sleep_until(due).await;
            let delay = due.elapsed();
            self.counters.observe_delay(self.plane, delay);
            let muted = logged.is_some_and(|at| at.elapsed() < LOG_INTERVAL);
            if delay >= LOGGED_DELAY && !muted {
                logged = Some(Instant::now());
                let event = Event::new(Kind::TasksDelayed).with(Field::Detail, self.plane.as_str());
                self.log.write(&event.with(Field::WaitMs, delay));
            }
        }
    }
}
