use std::collections::{BTreeMap, HashMap};

use dw_fakes::Ledger;
use serde::Serialize;

use super::{
    caller::{Outcome, Record},
    load::LoadResult,
    testbed::Side,
};

/// What callers and targets say about the requests of one scenario.
#[derive(Clone, Debug, Default, Serialize)]
pub(crate) struct Account {
    pub scenario: String,
    pub side: String,
    /// Requests that callers wanted to send.
    pub sent: usize,
    /// Complete responses.
    pub whole: usize,
    /// Responses of targets that report an error.
    pub error: usize,
    /// Requests that callers were told were not run.
    pub not_run: usize,
    /// Requests whose callers do not know.
    pub unknown: usize,
    /// Non-idempotent requests that ran more than once; must be 0.
    pub twice: usize,
    /// Requests said not to have run that ran; must be 0.
    pub misreported: usize,
    /// Mixed-up or short responses; must be 0.
    pub bad: usize,
    /// Starts of work at the targets.
    pub runs: usize,
    /// Complete responses a second.
    pub goodput: f64,
    pub p50_ms: f64,
    pub p99_ms: f64,
    pub p999_ms: f64,
    /// Requests that were not answered whole, by the reason stated.
    pub reasons: BTreeMap<String, usize>,
    /// Further figures of the scenario.
    pub note: String,
}

impl Account {
    /// Joins the callers' view with the targets' ledger.
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

    /// Whether a figure that must be 0 is not.
    pub(crate) const fn is_wrong(&self) -> bool {
        self.twice + self.misreported + self.bad > 0
    }
}
