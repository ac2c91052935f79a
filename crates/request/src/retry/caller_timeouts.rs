use std::time::Duration;

/// Range of timeouts that are counted in the same class.
const CLASS_WIDTH: Duration = Duration::from_millis(20);

/// Maximum number of classes that are kept for a route.
const MAX_CLASSES: usize = 16;

/// Minimum share of the requests that a class must have to count as the timeout of a first request.
/// A few callers wait longer than the others, and callers that retry state the time that is left.
const COMMON_SHARE: f64 = 0.15;

/// Number of requests after which earlier ones have lost most of their weight.
const MEMORY_REQUESTS: f64 = 400.0;

/// Learns how long the callers of a route wait in total from the timeouts that their requests state.
///
/// A caller that retries after a refusal states the time that it has left, so the difference from the
/// total tells how long ago its first request was sent.
#[derive(Clone, Debug, Default)]
pub(crate) struct CallerTimeouts {
    classes: Vec<(u128, f64)>,
    total: f64,
}

impl CallerTimeouts {
    /// Records the timeout that a request states, and returns how long its caller has already waited.
    pub(crate) fn elapsed(&mut self, timeout: Duration) -> Duration {
        self.count(class_of(timeout));
        let common = |(_, weight): &&(u128, f64)| *weight >= COMMON_SHARE * self.total;
        let full_class = self.classes.iter().filter(common).map(|(class, _)| *class).max();
        let full_class = full_class.unwrap_or_else(|| class_of(timeout));
        // A difference of one class is the time that the request took to reach the daemon.
        let behind = full_class.saturating_sub(class_of(timeout) + 1);
        CLASS_WIDTH * u32::try_from(behind).unwrap_or(u32::MAX)
    }

    fn count(&mut self, class: u128) {
        let keep = 1.0 - 1.0 / MEMORY_REQUESTS;
        self.classes.iter_mut().for_each(|(_, weight)| *weight *= keep);
        self.total = self.total * keep + 1.0;
        if let Some((_, weight)) = self.classes.iter_mut().find(|(known, _)| *known == class) {
            *weight += 1.0;
            return;
        }
        if self.classes.len() >= MAX_CLASSES {
            let lightest =
                (0..MAX_CLASSES).min_by(|a, b| self.classes[*a].1.total_cmp(&self.classes[*b].1));
            self.classes.swap_remove(lightest.unwrap_or_default());
        }
        self.classes.push((class, 1.0));
    }
}

const fn class_of(timeout: Duration) -> u128 {
    timeout.as_millis() / CLASS_WIDTH.as_millis()
}
