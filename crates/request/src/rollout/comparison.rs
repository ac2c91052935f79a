use std::collections::BTreeMap;

use dw_tables::Name;

use crate::rollout::{
    Evidence, RouteEvidence,
    sequential::{Sample, SequentialTest},
};

/// Factor over the old version's median from which a response counts as slow.
const SLOW_FACTOR: u64 = 3;

/// Good responses of the old version on a route from which its median is used. With fewer, single
/// responses decide whether those of the new version count as slow.
const MEDIAN_SAMPLES: u64 = 20;

/// Responses that the prior of the old version's part of bad responses counts for, and its mean.
const PRIOR_SAMPLES: f64 = 20.0;
const PRIOR_BAD: f64 = 0.05;

/// Lowest part of bad responses that is assumed of the old version. Below it, a few stray failures
/// would roll back a good version.
const MIN_BASELINE: f64 = 0.01;

/// Highest part that is assumed. Above it, nothing could be told from the new version's responses.
const MAX_BASELINE: f64 = 0.9;

/// Factor by which the recent responses of the old version count less from period to period.
const RECENT_DECAY: f64 = 0.7;

/// What the evidence says about the new version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Judgement {
    /// It responds worse than the old one.
    Bad,
    /// It responds as well as the old one on each route that has traffic.
    Good,
    /// There is not enough evidence yet.
    Open,
}

/// Compares the new version of a service with the old ones, route by route.
///
/// It addresses versions of which a part of the responses fail or are several times slower than those
/// of the old version, on all routes or on a single one. Responses of the same period are compared, so that a
/// burst or a failure below both versions counts against neither.
#[derive(Clone, Debug, Default)]
pub struct Comparison {
    routes: BTreeMap<Name, RouteComparison>,
    overall: SequentialTest,
    bad: bool,
}

#[derive(Clone, Debug, Default)]
struct RouteComparison {
    total: RouteEvidence,
    /// Responses of the new version that were not tested yet.
    fresh: RouteEvidence,
    test: SequentialTest,
    /// Recent responses of the old version and bad ones among them.
    recent: (f64, f64),
    /// Whether there was traffic in the first half of the time.
    early: bool,
}

impl Comparison {
    /// Adds evidence that was not added before. `early` tells whether it is from the first half of the
    /// rollout's time.
    pub fn add(&mut self, fresh: &Evidence, early: bool) {
        for (name, evidence) in fresh.routes() {
            if evidence.new.attempts() + evidence.old.attempts() == 0 {
                continue;
            }
            let route = self.routes.entry(name.clone()).or_default();
            route.total.merge(evidence);
            route.fresh.merge(evidence);
            route.early |= early;
        }
    }

    /// Tests the evidence added since the last call. `periods` is the number of calls during the rollout.
    pub fn judge(&mut self, periods: u64) -> Judgement {
        let tests = self.routes.len() + 1;
        let mut samples = Vec::with_capacity(self.routes.len());
        for route in self.routes.values_mut() {
            let Some(sample) = route.next_sample() else { continue };
            route.test.add(&[sample]);
            self.bad |= route.test.rejects(periods, tests);
            samples.push(sample);
        }
        if !samples.is_empty() {
            self.overall.add(&samples);
            self.bad |= self.overall.rejects(periods, tests);
        }
        if self.bad {
            return Judgement::Bad;
        }
        let clean = |route: &RouteComparison| {
            (!route.early || route.test.accepts_route()) && !route.test.is_suspicious(periods)
        };
        let good = self.overall.accepts_all()
            && !self.overall.is_suspicious(periods)
            && self.routes.values().all(clean);
        if good { Judgement::Good } else { Judgement::Open }
    }

    /// The attempts at the new version and at all versions.
    #[must_use]
    pub fn attempts(&self) -> (u64, u64) {
        self.routes.values().fold((0, 0), |(new, all), route| {
            let (own, old) = (route.total.new.attempts(), route.total.old.attempts());
            (new + own, all + own + old)
        })
    }
}

impl RouteComparison {
    /// The untested responses of the new version, with the part of bad ones expected by the old version.
    /// Those that can only be told to be slow once the old version's median is known wait until then.
    fn next_sample(&mut self) -> Option<Sample> {
        let median = self.total.old.median(MEDIAN_SAMPLES);
        if median.is_none() && self.fresh.new.failed() == 0 {
            return None;
        }
        let limit = median.map_or(u64::MAX, |median| median.saturating_mul(SLOW_FACTOR));
        let fresh = std::mem::take(&mut self.fresh);
        let count_bad = |tally: &crate::rollout::Tally| tally.failed() + tally.slower_than(limit);
        self.recent = (
            self.recent.0 * RECENT_DECAY + as_float(fresh.old.responses()),
            self.recent.1 * RECENT_DECAY + as_float(count_bad(&fresh.old)),
        );
        if fresh.new.responses() == 0 {
            return None;
        }
        let bad = count_bad(&fresh.new);
        let old = &self.total.old;
        let overall = (as_float(count_bad(old)) + PRIOR_SAMPLES * PRIOR_BAD)
            / (as_float(old.responses()) + PRIOR_SAMPLES);
        // What the recent responses show at least: their mean less two standard deviations.
        let (count, recent_bad) = self.recent;
        let recent = (recent_bad - 2.0 * recent_bad.sqrt()) / count.max(1.0);
        let baseline = overall.max(recent).clamp(MIN_BASELINE, MAX_BASELINE);
        Some(Sample { bad, good: fresh.new.responses() - bad, baseline })
    }
}

#[expect(clippy::cast_precision_loss, reason = "counts stay far below 2^53")]
const fn as_float(count: u64) -> f64 {
    count as f64
}
