//! Tables, endpoints and requests for the tests.

#![allow(dead_code, clippy::expect_used, clippy::panic)]

use std::{sync::Arc, time::Duration};

use dw_request::{
    Attempt, AttemptOutcome, Decision, Dispatcher, DispatcherConfig, Endpoint, EndpointState, Load,
    Next, Reason, Refusal, RequestInfo, RetryAfterPolicy,
};
use dw_tables::{Tables, Version};
use tokio::time::Instant;

pub(crate) const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// A version with the given routes and pools, written as in the tables but parsed without validation, so
/// that decisions are also tested for rows that a newer validation rejects.
pub(crate) fn version(number: u64, routes: &str, pools: &str) -> Arc<Version> {
    let text = format!(r#"{{"routes": [{routes}], "pools": [{pools}]}}"#);
    Arc::new(Version::new(number, Tables::from_canonical(&text).expect("tables")))
}

/// `/lookup` is idempotent, `/credit` is not; both go to the pool `tally`.
pub(crate) fn two_routes() -> Arc<Version> {
    version(
        1,
        r#"{"name": "lookup", "match": {"path": "/lookup"}, "pool": "tally",
            "repeat": "idempotent", "retries": 2},
           {"name": "credit", "match": {"path": "/credit"}, "pool": "tally"}"#,
        r#"{"name": "tally", "service": "tally"}"#,
    )
}

pub(crate) fn endpoint(name: &str, domain: &str, region: &str, started: Instant) -> Endpoint {
    Endpoint {
        host: name.into(),
        target: 0,
        service: "tally".into(),
        domain: domain.into(),
        region: region.into(),
        addr: ([127, 0, 0, 1], 1).into(),
        slots: 10,
        connections: 100,
        state: EndpointState::Alive,
        started,
        version: None,
        warm: None,
    }
}

/// `count` targets of one domain that were started at `start`.
pub(crate) fn targets(count: usize, domain: &str, region: &str, start: Instant) -> Vec<Endpoint> {
    (0..count).map(|i| endpoint(&format!("{domain}-{i}"), domain, region, start)).collect()
}

pub(crate) fn dispatcher(seed: u64, version: Arc<Version>, endpoints: Vec<Endpoint>) -> Dispatcher {
    let mut dispatcher = Dispatcher::new(DispatcherConfig {
        reroutes: 0,
        retry_after: RetryAfterPolicy::Spread,
        host: "portland-caller".into(),
        domain: "portland".into(),
        region: "new-england".into(),
        seed,
    });
    dispatcher.set_version(version);
    dispatcher.set_endpoints(endpoints);
    dispatcher
}

pub(crate) fn get(path: &str) -> RequestInfo<'_> {
    RequestInfo { host: "kiosk", path, method: "GET", ..RequestInfo::default() }
}

pub(crate) fn forwarded(decision: Decision) -> Attempt {
    match decision {
        Decision::Forward(attempt) => attempt,
        Decision::Refuse(refusal) => panic!("refused: {refusal:?}"),
    }
}

pub(crate) fn refused(decision: Decision) -> Refusal {
    match decision {
        Decision::Forward(attempt) => panic!("forwarded: {attempt:?}"),
        Decision::Refuse(refusal) => refusal,
    }
}

pub(crate) fn answered(status: u16) -> AttemptOutcome {
    AttemptOutcome::Answered { status, load: None, latency: ms(1) }
}

pub(crate) fn answered_with_load(in_flight: u32) -> AttemptOutcome {
    let load = Load { in_flight, slots: 10, ..Load::default() };
    AttemptOutcome::Answered { status: 200, load: Some(load), latency: ms(1) }
}

pub(crate) fn not_run(reason: Reason) -> AttemptOutcome {
    AttemptOutcome::NotRun { reason, retry_after: None, load: None }
}

pub(crate) fn unknown(reason: Reason) -> AttemptOutcome {
    AttemptOutcome::Unknown { reason }
}

pub(crate) fn retried(next: Next) -> (Duration, Attempt) {
    match next {
        Next::Retry { after, attempt } => (after, attempt),
        next => panic!("not retried: {next:?}"),
    }
}

pub(crate) fn given_up(next: Next) -> Refusal {
    match next {
        Next::Refuse(refusal) => refusal,
        next => panic!("not refused: {next:?}"),
    }
}
