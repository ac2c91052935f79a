use std::time::Duration;

/// Width of a class of waiting times that callers state.
const CLASS: Duration = Duration::from_millis(20);

/// Classes kept for a route.
const CLASSES: usize = 16;

/// Share of the requests that a class must have to count as the time which callers state first. A
/// few callers wait longer than the others, and those that come back state what is left.
const SHARE: f64 = 0.15;

/// Requests after which the older ones have lost most of their weight.
const MEMORY: f64 = 400.0;

/// Learns how long the callers of a route wait in all, from the times that their requests state.
///
/// A caller that comes back after a refusal states what is left of its time, so the difference
/// tells how old its first request is.
#[derive(Clone, Debug, Default)]
pub(crate) struct Patience {
    classes: Vec<(u128, f64)>,
    total: f64,
}

impl Patience {
    /// Takes the time that a request states, and returns for how long its caller has waited.
    pub(crate) fn age(&mut self, stated: Duration) -> Duration {
        self.count(class_of(stated));
        let common = |(_, weight): &&(u128, f64)| *weight >= SHARE * self.total;
        let full = self.classes.iter().filter(common).map(|(class, _)| *class).max();
        let full = full.unwrap_or_else(|| class_of(stated));
        // One class of difference is the way to the daemon.
        let behind = full.saturating_sub(class_of(stated) + 1);
        CLASS * u32::try_from(behind).unwrap_or(u32::MAX)
    }

    fn count(&mut self, class: u128) {
        let keep = 1.0 - 1.0 / MEMORY;
        self.classes.iter_mut().for_each(|(_, weight)| *weight *= keep);
        self.total = self.total * keep + 1.0;
        if let Some((_, weight)) = self.classes.iter_mut().find(|(known, _)| *known == class) {
            *weight += 1.0;
            return;
        }
        if self.classes.len() >= CLASSES {
            let lightest =
                (0..CLASSES).min_by(|a, b| self.classes[*a].1.total_cmp(&self.classes[*b].1));
            self.classes.swap_remove(lightest.unwrap_or_default());
        }
        self.classes.push((class, 1.0));
    }
}

const fn class_of(stated: Duration) -> u128 {
    stated.as_millis() / CLASS.as_millis()
}
