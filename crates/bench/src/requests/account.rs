use std::collections::{BTreeMap, HashMap};

use dw_fakes::Ledger;
use serde::Serialize;

use super::{
    caller::{Outcome, Record},
    load::LoadResult,
    testbed::Side,
};

/// Outcomes of the requests of one scenario, as seen by callers and targets.
#[derive(Clone, Debug, Default, Serialize)]
pub(crate) struct Account {
    pub scenario: String,
    pub side: String,
    /// Requests that callers sent or tried to send.
    pub sent: usize,
    /// Complete responses.
    pub whole: usize,
    /// Error responses of targets.
    pub error: usize,
    /// Requests reported to their callers as not run.
    pub not_run: usize,
    /// Requests of which the caller does not know whether they ran.
    pub unknown: usize,
    /// Non-idempotent requests that ran more than once; must be 0.
    pub twice: usize,
    /// Requests that ran although they were reported as not run; must be 0.
    pub misreported: usize,
    /// Responses that belong to another request or are truncated; must be 0.
    pub bad: usize,
    /// Requests that targets started to run.
    pub runs: usize,
    /// Complete responses per second.
    pub goodput: f64,
    pub p50_ms: f64,
    pub p99_ms: f64,
    pub p999_ms: f64,
    /// Requests without a complete response, by the stated reason.
    pub reasons: BTreeMap<String, usize>,
    /// Figures that only this scenario has.
    pub note: String,
}

impl Account {
    /// Combines the records of the callers with the ledger of the targets.
    pub(crate) fn new(scenario: &str, side: Side, result: &LoadResult, ledger: &Ledger) -> Self {
        let mut by_id: HashMap<String, usize> = HashMap::new();
        for run in ledger.runs() {
            *by_id.entry(run.request.to_string()).or_default() += 1;
        }
        let runs = |id: &String| by_id.get(id).copied().unwrap_or(0);
        let count =
            |outcome| result.records.iter().filter(|record| record.outcome() == outcome).count();
        let twice = |record: &&Record| {
            record.key.is_some()
                && record.attempts.iter().map(|(id, _)| runs(id)).sum::<usize>() > 1
        };
        let misreported = |record: &&Record| {
            record.attempts.iter().any(|(id, s)| *s == Outcome::NotRun && runs(id) > 0)
        };
        let mut reasons = BTreeMap::new();
        for record in result.records.iter().filter(|record| record.outcome() != Outcome::Complete) {
            let reason = record.reason.clone().unwrap_or_else(|| "none".to_owned());
            *reasons.entry(reason).or_default() += 1;
        }
        let whole = count(Outcome::Complete);
        let ms = |quantile| result.latency.value_at_quantile(quantile) as f64 / 1000.0;
        Self {
            scenario: scenario.to_owned(),
            side: side.to_string(),
            sent: result.records.len(),
            whole,
            error: count(Outcome::Error),
            not_run: count(Outcome::NotRun),
            unknown: count(Outcome::Unknown),
            twice: result.records.iter().filter(twice).count(),
            misreported: result.records.iter().filter(misreported).count(),
            bad: count(Outcome::Corrupt),
            runs: ledger.started(),
            goodput: whole as f64 / result.time.as_secs_f64(),
            p50_ms: ms(0.5),
            p99_ms: ms(0.99),
            p999_ms: ms(0.999),
            reasons,
            note: String::new(),
        }
    }

    /// Whether any figure that must be 0 is not.
    pub(crate) const fn is_wrong(&self) -> bool {
        self.twice + self.misreported + self.bad > 0
    }
}
