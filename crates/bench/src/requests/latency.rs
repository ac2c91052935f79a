use std::time::Duration;

use serde::Serialize;

use super::{
    account::Account,
    caller::{Caller, Shape},
    load::{closed_loop, open_loop},
    testbed::{Side, World},
};
use crate::{fleet::Failure, usage::Usage};

/// Requests in flight when the saturation is measured.
const CLIENTS: usize = 48;
/// Requests in flight when the memory of connections is measured.
const MANY: usize = 1000;

/// What one side costs.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Cost {
    pub side: String,
    /// Responses a second with a fixed number of requests in flight.
    pub saturation: f64,
    /// CPU time of a call in us, with callers and targets.
    pub cpu_us: f64,
    /// Calls a second for each core that the side itself uses.
    pub per_core: f64,
    /// Memory of a caller's connection in KiB, both ends.
    pub connection_kib: f64,
    /// Offered load while latency is measured, a second.
    pub rate: f64,
    pub p50_us: u64,
    pub p99_us: u64,
    pub p999_us: u64,
}

/// Measures all sides; the load for the latency is a third of the lowest saturation.
pub(crate) async fn measure(time: Duration) -> Result<(Vec<Cost>, Vec<Account>), Failure> {
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
        let world = World::start(side, |_, target| target).await?;
        let caller = Caller::new(world.entries.clone(), shape());
        // The first requests open connections.
        open_loop(&caller, cost.rate, time / 4).await?;
        let ran = open_loop(&caller, cost.rate, time).await?;
        cost.p50_us = ran.latency.value_at_quantile(0.5);
        cost.p99_us = ran.latency.value_at_quantile(0.99);
        cost.p999_us = ran.latency.value_at_quantile(0.999);
        let mut account = Account::new("latency", side, &ran, &world.ledger);
        // The ids of the first requests occur twice in the ledger.
        account.runs = ran.records.len();
        accounts.push(account);
        world.close().await;
    }
    Ok((costs, accounts))
}

async fn saturate(side: Side, time: Duration) -> Result<Cost, Failure> {
    let world = World::start(side, |_, target| target).await?;
    let caller = Caller::new(world.entries.clone(), shape());
    closed_loop(&caller, CLIENTS, time / 4).await;
    let before = Usage::now();
    let (saturation, calls) = closed_loop(&caller, CLIENTS, time).await;
    let cpu = Usage::now().cpu.saturating_sub(before.cpu);
    // Long requests hold many connections open at the same time; most wait or are refused.
    let slow = Shape { headers: vec![("x-work-ms", "100".to_owned())], ..Shape::default() };
    let many = Caller { shape: slow, ..caller.clone() };
    let (before, open) = (Usage::now().resident, many.wire.count());
    closed_loop(&many, MANY, time / 4).await;
    let opened = many.wire.count().saturating_sub(open);
    let grown = Usage::now().resident.saturating_sub(before);
    world.close().await;
    Ok(Cost {
        side: side.to_string(),
        saturation,
        cpu_us: cpu.as_secs_f64() * 1e6 / calls.max(1) as f64,
        per_core: 0.0,
        connection_kib: grown as f64 / 1024.0 / opened.max(1) as f64,
        rate: 0.0,
        p50_us: 0,
        p99_us: 0,
        p999_us: 0,
    })
}

/// Requests that need no work, so that the latency is that of the path.
fn shape() -> Shape {
    Shape { headers: vec![("x-work-ms", "0".to_owned())], ..Shape::default() }
}
