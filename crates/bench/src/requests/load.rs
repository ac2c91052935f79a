use std::{thread, time::Duration};

use hdrhistogram::Histogram;
use rand::Rng;
use tokio::{runtime::Handle, sync::mpsc, time::Instant};

use super::caller::{Caller, Outcome, Record};
use crate::fleet::BoxError;

/// Result of a run of the load generator.
pub(crate) struct LoadResult {
    pub records: Vec<Record>,
    /// Latency of complete responses in us, measured from when the request was due.
    pub latency: Histogram<u64>,
    /// Length of the run.
    pub time: Duration,
}

/// Sends requests at `rate` per second for `time`, independently of responses, and then waits for all
/// responses.
pub(crate) async fn open_loop(
    caller: &Caller,
    rate: f64,
    time: Duration,
) -> Result<LoadResult, BoxError> {
    let (tx, mut rx) = mpsc::unbounded_channel();
    let (caller, handle) = (caller.clone(), Handle::current());
    // Runs in a thread of its own, because timers of the runtime have a granularity of 1 ms.
    let pacer = thread::spawn(move || {
        let mut random = rand::rng();
        let start = Instant::now();
        let mut due = Duration::ZERO;
        let mut number = 0;
        loop {
            due += Duration::from_secs_f64(-(1.0 - random.random::<f64>()).ln() / rate);
            if due >= time {
                break;
            }
            thread::sleep(due.saturating_sub(start.elapsed()));
            number += 1;
            let (caller, tx) = (caller.clone(), tx.clone());
            handle.spawn(async move {
                // The receiver outlives all senders.
                let _ = tx.send(caller.call(number, start + due).await);
            });
        }
    });
    let mut records = Vec::new();
    while let Some(record) = rx.recv().await {
        records.push(record);
    }
    // All senders are gone, so the thread has ended.
    let _ = pacer.join();
    Ok(LoadResult { latency: histogram(&records)?, records, time })
}

/// Keeps `clients` requests in flight for `time`. Returns the rate per second and the number of
/// complete responses.
pub(crate) async fn closed_loop(caller: &Caller, clients: usize, time: Duration) -> (f64, usize) {
    let start = Instant::now();
    let mut tasks = tokio::task::JoinSet::new();
    for client in 0..clients {
        let caller = caller.clone();
        tasks.spawn(async move {
            let mut whole = 0_usize;
            let mut number = client;
            while start.elapsed() < time {
                let record = caller.call(number, Instant::now()).await;
                whole += usize::from(record.outcome() == Outcome::Complete);
                number += clients;
            }
            whole
        });
    }
    let whole: usize = tasks.join_all().await.into_iter().sum();
    (whole as f64 / start.elapsed().as_secs_f64(), whole)
}

/// The latency of the complete responses in us.
fn histogram(records: &[Record]) -> Result<Histogram<u64>, BoxError> {
    let mut latency = Histogram::new(3)?;
    for record in records.iter().filter(|record| record.outcome() == Outcome::Complete) {
        latency.record(u64::try_from(record.latency.as_micros())?)?;
    }
    Ok(latency)
}
