use std::{collections::BTreeMap, time::Duration};

use dw_tables::Name;
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

/// Significant decimal digits of recorded service times. A response counts as slow from three times the
/// median, so an error of some percent does not matter, and a histogram stays below 2 KB.
const SIGNIFICANT_DIGITS: u8 = 1;

/// The longest recorded time in microseconds. It is longer than any deadline, and bounds the size of a
/// histogram.
const MAX_TIME: u64 = 3_600_000_000;

/// Maximum number of routes that are told apart in the evidence of one service; the others share one
/// entry with an empty name.
const MAX_ROUTES: usize = 256;

/// Counts of responses of one version on one route. Counts only grow, and tallies can be merged.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(from = "PlainTally", into = "PlainTally")]
pub struct Tally {
    /// Responses that are not failures.
    good: u64,
    /// Failed responses, and attempts that were lost without a response.
    failed: u64,
    /// Attempts whose outcome says nothing about the version.
    other: u64,
    /// Times of the good responses in microseconds.
    times: Histogram<u64>,
}

/// A tally as serialized: the histogram as pairs of a time and its count.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct PlainTally {
    good: u64,
    failed: u64,
    other: u64,
    times: Vec<(u64, u64)>,
}

impl Default for Tally {
    fn default() -> Self {
        // The only invalid precision is above 5 digits.
        #[expect(clippy::expect_used, reason = "the precision is a valid constant")]
        let times = Histogram::new(SIGNIFICANT_DIGITS).expect("valid precision");
        Self { good: 0, failed: 0, other: 0, times }
    }
}

impl From<PlainTally> for Tally {
    fn from(plain: PlainTally) -> Self {
        let mut tally = Self { failed: plain.failed, other: plain.other, ..Self::default() };
        for (time, count) in plain.times {
            // The histogram resizes itself, so recording cannot fail.
            let _ = tally.times.record_n(time.min(MAX_TIME), count);
        }
        tally.good = plain.good.max(tally.times.len());
        tally
    }
}

impl From<Tally> for PlainTally {
    fn from(tally: Tally) -> Self {
        let Tally { good, failed, other, .. } = tally;
        let times = tally.times.iter_recorded();
        let times = times.map(|v| (v.value_iterated_to(), v.count_since_last_iteration()));
        Self { good, failed, other, times: times.collect() }
    }
}

impl Tally {
    /// Records a response that is no failure.
    pub fn record_good(&mut self, time: Duration) {
        self.good += 1;
        let micros = u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
        // The histogram resizes itself, so recording cannot fail.
        let _ = self.times.record(micros.min(MAX_TIME));
    }

    /// Records a failed response or a lost attempt.
    pub const fn record_failed(&mut self) {
        self.failed += 1;
    }

    /// Records an attempt whose outcome says nothing about the version.
    pub const fn record_other(&mut self) {
        self.other += 1;
    }

    /// The number of responses that were good or failed.
    #[must_use]
    pub const fn responses(&self) -> u64 {
        self.good + self.failed
    }

    /// The number of attempts.
    #[must_use]
    pub const fn attempts(&self) -> u64 {
        self.good + self.failed + self.other
    }

    /// The number of failed responses.
    #[must_use]
    pub const fn failed(&self) -> u64 {
        self.failed
    }

    /// The number of good responses that took longer than `limit` microseconds.
    #[must_use]
    pub fn slower_than(&self, limit: u64) -> u64 {
        let longer = self.times.iter_recorded().filter(|v| v.value_iterated_to() > limit);
        longer.map(|v| v.count_since_last_iteration()).sum()
    }

    /// The median time of the good responses in microseconds, if there are at least `count`.
    #[must_use]
    pub fn median(&self, count: u64) -> Option<u64> {
        (self.times.len() >= count.max(1)).then(|| self.times.value_at_quantile(0.5))
    }

    /// Adds the counts of another tally.
    pub fn merge(&mut self, other: &Self) {
        self.good += other.good;
        self.failed += other.failed;
        self.other += other.other;
        // Histograms resize themselves, so adding one cannot fail.
        let _ = self.times.add(&other.times);
    }

    /// What was recorded after `earlier`; `None` if `earlier` is not an earlier state of this tally.
    #[must_use]
    pub fn since(&self, earlier: &Self) -> Option<Self> {
        let mut times = self.times.clone();
        times.subtract(&earlier.times).ok()?;
        Some(Self {
            good: self.good.checked_sub(earlier.good)?,
            failed: self.failed.checked_sub(earlier.failed)?,
            other: self.other.checked_sub(earlier.other)?,
            times,
        })
    }
}

/// The responses of both versions on one route.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct RouteEvidence {
    /// Responses of the version that is rolled out.
    pub new: Tally,
    /// Responses of all other versions.
    pub old: Tally,
}

impl RouteEvidence {
    /// Adds the counts of other evidence about the same route.
    pub fn merge(&mut self, other: &Self) {
        self.new.merge(&other.new);
        self.old.merge(&other.old);
    }

    fn since(&self, earlier: &Self) -> Option<Self> {
        Some(Self { new: self.new.since(&earlier.new)?, old: self.old.since(&earlier.old)? })
    }
}

/// The responses that one daemon observed since it learned of a rollout, by route.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Evidence {
    routes: BTreeMap<Name, RouteEvidence>,
}

impl Evidence {
    /// The evidence about each route.
    pub fn routes(&self) -> impl Iterator<Item = (&Name, &RouteEvidence)> {
        self.routes.iter()
    }

    /// The evidence about a route, to add to it.
    pub fn route_mut(&mut self, route: &Name) -> &mut RouteEvidence {
        if self.routes.len() >= MAX_ROUTES && !self.routes.contains_key(route) {
            return self.routes.entry(Name::default()).or_default();
        }
        self.routes.entry(route.clone()).or_default()
    }

    /// What was recorded after `earlier`; `None` if `earlier` is not an earlier state of this evidence,
    /// as after messages that overtook each other.
    #[must_use]
    pub fn since(&self, earlier: &Self) -> Option<Self> {
        if earlier.routes.keys().any(|route| !self.routes.contains_key(route)) {
            return None;
        }
        let diff = |(name, now): (&Name, &RouteEvidence)| {
            let fresh = match earlier.routes.get(name) {
                Some(earlier) => now.since(earlier)?,
                None => now.clone(),
            };
            Some((name.clone(), fresh))
        };
        Some(Self { routes: self.routes.iter().map(diff).collect::<Option<_>>()? })
    }
}

/// What a daemon reports to the leader about one rollout.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct EvidenceReport {
    /// The host of the daemon.
    pub host: Name,
    /// The incarnation at which the daemon started; its evidence begins anew with it.
    pub incarnation: u64,
    /// The service.
    pub service: Name,
    /// The epoch of the share that the daemon follows.
    pub epoch: u64,
    /// Whether the daemon stopped sending to the new version on its own evidence.
    pub stopped: bool,
    /// Requests of the daemon that are in flight at targets of other versions.
    #[serde(default)]
    pub old_open: u32,
    /// Whether the daemon knows a target of another version that may receive requests.
    #[serde(default)]
    pub old_live: bool,
    /// The responses since the daemon learned of the rollout.
    pub evidence: Evidence,
}
