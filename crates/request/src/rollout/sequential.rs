//! The sequential test of whether a version responds worse than another.

/// Probability that a version as good as the old one is rolled back, over the whole rollout.
const FALSE_ALARM: f64 = 0.001;

/// Probability that a version with [`DETECTED_EXCESS`] is accepted.
const MISSED: f64 = 0.01;

/// Parts of the otherwise good responses that a bad version is assumed to spoil. The likelihood is
/// averaged over them, since the true part is not known.
const EXCESS: [f64; 6] = [0.03, 0.06, 0.12, 0.25, 0.5, 0.9];

/// The excess that must be excluded, with probability [`MISSED`] of an error, over all routes together
/// before traffic is switched. It takes 44 good responses.
const DETECTED_EXCESS: f64 = 0.1;

/// The same on each single route. It takes 16 good responses; the 44 for the smaller excess are more
/// than a route with 70 requests per second yields in 12 s at a share of 5%.
const DETECTED_EXCESS_ON_ROUTE: f64 = 0.25;

/// A sequential probability ratio test that can also reject after a change.
///
/// It addresses versions that become bad only after a while: the good responses before the change must
/// not outweigh the bad ones after it. The rejecting side is therefore the Shiryaev-Roberts form of the
/// test, the sum of the likelihood ratios over all periods at which the change may have occurred. Under the
/// null hypothesis the statistic minus the number of periods is a martingale, so it exceeds
/// `periods / FALSE_ALARM` with probability [`FALSE_ALARM`] at most. The accepting side is Wald's test.
#[derive(Clone, Debug, Default)]
pub(super) struct SequentialTest {
    /// Logarithms of the statistic, one for each assumed excess.
    ratios: [Option<f64>; EXCESS.len()],
    /// Log-likelihood ratios since the start, one for each assumed excess.
    totals: [f64; EXCESS.len()],
    /// Log-likelihood ratios of the two accepting tests.
    on_route: f64,
    overall: f64,
}

/// Responses of one period with the part of bad ones that the old version has.
#[derive(Clone, Copy, Debug)]
pub(super) struct Sample {
    pub(super) bad: u64,
    pub(super) good: u64,
    /// Part of bad responses under the null hypothesis, above 0 and below 1.
    pub(super) baseline: f64,
}

impl Sample {
    /// Log-likelihood ratio of the hypothesis that the part `excess` of the good responses is spoilt.
    #[expect(clippy::cast_precision_loss, reason = "counts stay far below 2^53")]
    fn log_ratio(self, excess: f64) -> f64 {
        let spoilt = self.baseline + excess * (1.0 - self.baseline);
        self.bad as f64 * (spoilt / self.baseline).ln() + self.good as f64 * (1.0 - excess).ln()
    }
}

impl SequentialTest {
    /// Adds the samples of one period; those of several routes are independent.
    pub(super) fn add(&mut self, samples: &[Sample]) {
        let log_ratio = |excess| samples.iter().map(|s| s.log_ratio(excess)).sum::<f64>();
        for (ratio, excess) in self.ratios.iter_mut().zip(EXCESS) {
            // ln(1 + R) without overflow, where `ratio` is ln(R).
            let before = ratio.map_or(0.0, |log: f64| log.max(0.0) + (-log.abs()).exp().ln_1p());
            *ratio = Some(before + log_ratio(excess));
        }
        for (total, excess) in self.totals.iter_mut().zip(EXCESS) {
            *total += log_ratio(excess);
        }
        self.on_route += log_ratio(DETECTED_EXCESS_ON_ROUTE);
        self.overall += log_ratio(DETECTED_EXCESS);
    }

    /// Whether the version is worse than the old one. `periods` is the number of periods in the rollout,
    /// `tests` the number of tests that are made in it.
    #[expect(clippy::cast_precision_loss, reason = "counts stay far below 2^53")]
    pub(super) fn rejects(&self, periods: u64, tests: usize) -> bool {
        let threshold = (periods.max(1) as f64 * tests.max(1) as f64 / FALSE_ALARM).ln();
        self.log_statistic() >= threshold
    }

    /// Whether the responses suggest that the version is worse, from the start or since a change, without
    /// proving it. Traffic is not switched then, however many good responses there were. Without the ratio
    /// since the start, a version that was bad on one route, only under load, passed in the model.
    #[expect(clippy::cast_precision_loss, reason = "counts stay far below 2^53")]
    pub(super) fn is_suspicious(&self, periods: u64) -> bool {
        let changed = self.log_statistic() >= (periods.max(1) as f64 / MISSED).ln();
        changed || log_mean(self.totals.iter().copied()) >= -MISSED.ln()
    }

    /// Whether the evidence of one route excludes [`DETECTED_EXCESS_ON_ROUTE`].
    pub(super) fn accepts_route(&self) -> bool {
        self.on_route <= MISSED.ln()
    }

    /// Whether the evidence of all routes excludes [`DETECTED_EXCESS`].
    pub(super) fn accepts_all(&self) -> bool {
        self.overall <= MISSED.ln()
    }

    /// Logarithm of the mean of the statistics.
    fn log_statistic(&self) -> f64 {
        log_mean(self.ratios.iter().map(|ratio| ratio.unwrap_or(f64::NEG_INFINITY)))
    }
}

/// Logarithm of the mean of values given by their logarithms, one for each assumed excess.
#[expect(clippy::cast_precision_loss, reason = "the number of alternatives is small")]
fn log_mean(logs: impl Iterator<Item = f64> + Clone) -> f64 {
    let max = logs.clone().fold(f64::NEG_INFINITY, f64::max);
    if max == f64::NEG_INFINITY {
        return max;
    }
    max + (logs.map(|log| (log - max).exp()).sum::<f64>() / EXCESS.len() as f64).ln()
}
