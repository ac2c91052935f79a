use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use dw_tables::{Hash, VersionMark, validate};
use tokio::{
    task::JoinHandle,
    time::{Instant, sleep},
};

use super::{Check, fleet::Daemons};

/// Time between two looks at all daemons; it limits the resolution of convergence times.
const LOOK: Duration = Duration::from_millis(2);

/// What daemons were seen to serve.
#[derive(Default)]
struct Seen {
    /// The last version of each host, over all daemons that it had.
    last: HashMap<usize, VersionMark>,
    /// When a host was first seen to serve a version.
    first: HashMap<(usize, u64), Instant>,
    /// The hashes of accepted versions.
    accepted: BTreeMap<u64, Hash>,
    /// Every version that was served.
    marks: BTreeSet<(u64, Hash)>,
    down: Vec<String>,
    foreign: Vec<String>,
    invalid: Vec<String>,
}

/// Watches which versions the daemons serve.
pub(super) struct Served {
    seen: Arc<Mutex<Seen>>,
    daemons: Daemons,
    task: JoinHandle<()>,
}

impl Served {
    pub(super) fn start(daemons: Daemons) -> Self {
        let seen = Arc::<Mutex<Seen>>::default();
        let (shared, watched) = (seen.clone(), daemons.clone());
        let task = tokio::spawn(async move {
            loop {
                lock(&shared).look(&watched);
                sleep(LOOK).await;
            }
        });
        Self { seen, daemons, task }
    }

    /// Notes that the operators' version `number` with this hash is accepted.
    pub(super) fn accept(&self, number: u64, hash: Hash) {
        lock(&self.seen).accepted.insert(number, hash);
    }

    /// Waits until every running daemon serves version `number` or a later one, and returns when
    /// each of them did so first; `None` if it takes longer than `limit`.
    pub(super) async fn in_force(&self, number: u64, limit: Duration) -> Option<Vec<Instant>> {
        let end = Instant::now() + limit;
        loop {
            if let Some(times) = self.times(number) {
                return Some(times);
            }
            if Instant::now() >= end {
                return None;
            }
            sleep(LOOK).await;
        }
    }

    fn times(&self, number: u64) -> Option<Vec<Instant>> {
        let running: Vec<usize> = {
            let daemons = self.daemons.lock();
            (0..daemons.len()).filter(|host| daemons[*host].is_some()).collect()
        };
        let seen = lock(&self.seen);
        let first = |host: &usize| {
            let times = seen.first.iter().filter(|((h, n), _)| h == host && *n >= number);
            times.map(|(_, at)| *at).min()
        };
        running.iter().map(first).collect()
    }

    /// Stops watching.
    pub(super) fn finish(self) -> Vec<Check> {
        self.task.abort();
        let mut seen = lock(&self.seen);
        let others: Vec<String> = seen
            .marks
            .iter()
            .filter(|(number, hash)| seen.accepted.get(number) != Some(hash))
            .map(|(number, hash)| format!("version {number} with hash {hash} is served"))
            .collect();
        let take = |cases: &mut Vec<String>| std::mem::take(cases);
        vec![
            Check::new("the version that a host serves never goes down", take(&mut seen.down)),
            Check::new("a daemon serves all rows of a version or none", take(&mut seen.foreign)),
            Check::new("only accepted versions are served", others),
            Check::new("no daemon serves a route without its pool", take(&mut seen.invalid)),
        ]
    }
}

impl Seen {
    fn look(&mut self, daemons: &Daemons) {
        for (host, daemon) in daemons.lock().iter().enumerate() {
            let Some(daemon) = daemon else { continue };
            let mark = daemon.served();
            let last = self.last.get(&host).copied().unwrap_or_default();
            // A new daemon serves nothing until it knows its floor.
            if mark.number == 0 || mark == last {
                continue;
            }
            self.last.insert(host, mark);
            self.first.entry((host, mark.number)).or_insert_with(Instant::now);
            if mark.number <= last.number {
                let (from, to) = (last.number, mark.number);
                self.down.push(format!("host {host} went from version {from} to {to}"));
            }
            let version = daemon.version();
            if Hash::of(version.tables.canonical().as_bytes()) != version.hash {
                self.foreign.push(format!("host {host} in version {}", version.number));
            }
            self.marks.insert((version.number, version.hash));
            let findings = validate(&version.tables);
            if !findings.is_empty() {
                self.invalid.push(format!("host {host}: {findings}"));
            }
        }
    }
}

fn lock(seen: &Mutex<Seen>) -> MutexGuard<'_, Seen> {
    seen.lock().unwrap_or_else(PoisonError::into_inner)
}
