use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use dw_tables::{Hash, VersionId, validate};
use tokio::{
    task::JoinHandle,
    time::{Instant, sleep},
};

use super::{Check, fleet::Daemons};

/// Interval between samples of all daemons. It limits the resolution of convergence times.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(2);

/// What the daemons were observed to serve.
#[derive(Default)]
struct Observations {
    /// The last version of each host, kept when the daemon of the host is replaced.
    last_served: HashMap<usize, VersionId>,
    /// When a host was first observed to serve a version.
    first_seen: HashMap<(usize, u64), Instant>,
    /// The hashes of accepted versions.
    accepted: BTreeMap<u64, Hash>,
    /// Every version that was served, with its hash.
    served_versions: BTreeSet<(u64, Hash)>,
    /// Cases in which the version of a host went down.
    regressions: Vec<String>,
    /// Cases in which the tables did not match the hash of their version.
    mismatched: Vec<String>,
    /// Cases in which the tables had findings.
    invalid: Vec<String>,
}

/// Samples which versions the daemons serve.
pub(super) struct VersionMonitor {
    observed: Arc<Mutex<Observations>>,
    daemons: Daemons,
    task: JoinHandle<()>,
}

impl VersionMonitor {
    pub(super) fn start(daemons: Daemons) -> Self {
        let observed = Arc::<Mutex<Observations>>::default();
        let (shared, watched) = (observed.clone(), daemons.clone());
        let task = tokio::spawn(async move {
            loop {
                lock(&shared).sample(&watched);
                sleep(SAMPLE_INTERVAL).await;
            }
        });
        Self { observed, daemons, task }
    }

    /// Records that version `number` with this hash was accepted.
    pub(super) fn record_accepted(&self, number: u64, hash: Hash) {
        lock(&self.observed).accepted.insert(number, hash);
    }

    /// Waits until every running daemon serves version `number` or a later one. Returns when each of
    /// them first did so, or `None` if that takes longer than `limit`.
    pub(super) async fn wait_served(&self, number: u64, limit: Duration) -> Option<Vec<Instant>> {
        let end = Instant::now() + limit;
        loop {
            if let Some(first_served) = self.first_served(number) {
                return Some(first_served);
            }
            if Instant::now() >= end {
                return None;
            }
            sleep(SAMPLE_INTERVAL).await;
        }
    }

    fn first_served(&self, number: u64) -> Option<Vec<Instant>> {
        let running: Vec<usize> = {
            let daemons = self.daemons.lock();
            (0..daemons.len()).filter(|host| daemons[*host].is_some()).collect()
        };
        let observed = lock(&self.observed);
        let first = |host: &usize| {
            let times = observed.first_seen.iter().filter(|((h, n), _)| h == host && *n >= number);
            times.map(|(_, at)| *at).min()
        };
        running.iter().map(first).collect()
    }

    /// Stops sampling and returns the checks on the served versions.
    pub(super) fn finish(self) -> Vec<Check> {
        self.task.abort();
        let mut observed = lock(&self.observed);
        let others: Vec<String> = observed
            .served_versions
            .iter()
            .filter(|(number, hash)| observed.accepted.get(number) != Some(hash))
            .map(|(number, hash)| format!("version {number} with hash {hash} is served"))
            .collect();
        let take = |cases: &mut Vec<String>| std::mem::take(cases);
        vec![
            Check::new(
                "the version that a host serves never goes down",
                take(&mut observed.regressions),
            ),
            Check::new(
                "a daemon serves all rows of a version or none",
                take(&mut observed.mismatched),
            ),
            Check::new("only accepted versions are served", others),
            Check::new("no daemon serves a route without its pool", take(&mut observed.invalid)),
        ]
    }
}

impl Observations {
    fn sample(&mut self, daemons: &Daemons) {
        for (host, daemon) in daemons.lock().iter().enumerate() {
            let Some(daemon) = daemon else { continue };
            let version_id = daemon.served();
            let last = self.last_served.get(&host).copied().unwrap_or_default();
            // A new daemon serves no version until it knows the lowest version that it may serve.
            if version_id.number == 0 || version_id == last {
                continue;
            }
            self.last_served.insert(host, version_id);
            self.first_seen.entry((host, version_id.number)).or_insert_with(Instant::now);
            if version_id.number <= last.number {
                let (from, to) = (last.number, version_id.number);
                self.regressions.push(format!("host {host} went from version {from} to {to}"));
            }
            let version = daemon.version();
            if Hash::of(version.tables.canonical().as_bytes()) != version.hash {
                self.mismatched.push(format!("host {host} in version {}", version.number));
            }
            self.served_versions.insert((version.number, version.hash));
            let findings = validate(&version.tables);
            if !findings.is_empty() {
                self.invalid.push(format!("host {host}: {findings}"));
            }
        }
    }
}

fn lock(observed: &Mutex<Observations>) -> MutexGuard<'_, Observations> {
    observed.lock().unwrap_or_else(PoisonError::into_inner)
}
