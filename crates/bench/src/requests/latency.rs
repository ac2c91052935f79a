use std::time::Duration;

use serde::Serialize;

use super::{
    account::Account,
    caller::{Caller, Shape},
    load::{closed_loop, open_loop},
    testbed::{Side, Testbed},
};
use crate::{fleet::BoxError, usage::Usage};

/// Requests in flight while the saturation throughput is measured.
const SATURATION_CLIENTS: usize = 48;
/// Requests in flight while the memory of connections is measured.
const CONNECTION_CLIENTS: usize = 1000;

/// Cost of one way to reach the targets.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Cost {
    pub side: String,
    /// Complete responses per second with a fixed number of requests in flight.
    pub saturation: f64,
    /// CPU time of a call in us, including callers and targets.
    pub cpu_us: f64,
    /// Calls per second for each core used, without the cost of callers and targets.
    pub per_core: f64,
    /// Memory of a caller's connection in KiB, including both ends.
    pub connection_kib: f64,
    /// Offered load in requests per second while latency is measured.
    pub rate: f64,
    pub p50_us: u64,
    pub p99_us: u64,
    pub p999_us: u64,
}

/// Measures all sides. Latency is measured at a third of the lowest saturation throughput.
pub(crate) async fn measure(time: Duration) -> Result<(Vec<Cost>, Vec<Account>), BoxError> {
    let sides = [Side::Direct, Side::Forwarder, Side::Damaskwick];
    let mut costs = Vec::new();
    for side in sides {
        costs.push(saturate(side, time).await?);
    }
    let lowest = costs.iter().map(|cost| cost.saturation).fold(f64::INFINITY, f64::min);
    let direct = costs.first().map_or(0.0, |cost| cost.cpu_us);
    let mut accounts = Vec::new();
    for (cost, side) in costs.iter_mut().zip(sides) {
        cost.rate = lowest / 3.0;
        cost.per_core = 1e6 / (cost.cpu_us - direct).max(f64::MIN_POSITIVE);
        let testbed = Testbed::start(side, |_, target| target).await?;
        let caller = Caller::new(testbed.entries.clone(), without_work());
        // The first requests open connections.
        open_loop(&caller, cost.rate, time / 4).await?;
        let result = open_loop(&caller, cost.rate, time).await?;
        cost.p50_us = result.latency.value_at_quantile(0.5);
        cost.p99_us = result.latency.value_at_quantile(0.99);
        cost.p999_us = result.latency.value_at_quantile(0.999);
        let mut account = Account::new("latency", side, &result, &testbed.ledger);
        // The warm-up used the same request ids, so these occur twice in the ledger.
        account.runs = result.records.len();
        accounts.push(account);
        testbed.close().await;
    }
    Ok((costs, accounts))
}

async fn saturate(side: Side, time: Duration) -> Result<Cost, BoxError> {
    let testbed = Testbed::start(side, |_, target| target).await?;
    let caller = Caller::new(testbed.entries.clone(), without_work());
    closed_loop(&caller, SATURATION_CLIENTS, time / 4).await;
    let before = Usage::now();
    let (saturation, calls) = closed_loop(&caller, SATURATION_CLIENTS, time).await;
    let cpu = Usage::now().cpu.saturating_sub(before.cpu);
    // Slow requests keep many connections open at once. Most of them wait or are refused.
    let slow = Shape { headers: vec![("x-work-ms", "100".to_owned())], ..Shape::default() };
    let many = Caller { shape: slow, ..caller.clone() };
    let (before, open) = (Usage::now().resident, many.client.idle_count());
    closed_loop(&many, CONNECTION_CLIENTS, time / 4).await;
    let opened = many.client.idle_count().saturating_sub(open);
    let grown_bytes = Usage::now().resident.saturating_sub(before);
    testbed.close().await;
    Ok(Cost {
        side: side.to_string(),
        saturation,
        cpu_us: cpu.as_secs_f64() * 1e6 / calls.max(1) as f64,
        per_core: 0.0,
        connection_kib: grown_bytes as f64 / 1024.0 / opened.max(1) as f64,
        rate: 0.0,
        p50_us: 0,
        p99_us: 0,
        p999_us: 0,
    })
}

/// Requests without service time, so that the latency is that of the path alone.
fn without_work() -> Shape {
    Shape { headers: vec![("x-work-ms", "0".to_owned())], ..Shape::default() }
}
