//! An in-memory platform with injected faults, daemons with given statuses, and captured output.

#![allow(dead_code, clippy::expect_used)]

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    io::{self, Write},
    net::SocketAddr,
    path::PathBuf,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use dw_cli::{Admin, AdminError, Console, DaemonStatus, Edit, Exit, Invocation, parse_args, run};
use dw_platform::{Commit, Entry, Event, LeaseId, Platform, PlatformError, Txn, Watch};
use dw_tables::Name;

/// A fault that is injected into the next transaction with guards, which is the write of the head.
pub(crate) enum Fault {
    /// The transaction takes effect, but the response is lost.
    LostResponse,
    /// The transaction is lost before it reaches the platform.
    LostRequest,
    /// The transaction takes effect just before the next one, and its response is lost.
    DelayedRequest,
    /// Another transaction takes effect first.
    Overtaken(Txn),
    /// The transaction takes effect, the response is lost, and another transaction follows.
    Followed(Txn),
    /// The transaction takes effect, the response is lost, and the platform goes down.
    Outage,
}

#[derive(Default)]
pub(crate) struct MemoryStore {
    pub(crate) entries: BTreeMap<String, Entry>,
    pub(crate) faults: VecDeque<Fault>,
    pub(crate) down: bool,
    delayed: Option<Txn>,
    revision: u64,
}

impl MemoryStore {
    fn check_reachable(&self) -> Result<(), PlatformError> {
        let addr = "192.0.2.1:2379".to_owned();
        if self.down { Err(PlatformError::Unreachable { addr }) } else { Ok(()) }
    }

    pub(crate) fn commit(&mut self, txn: &Txn) -> Commit {
        let revision = |key: &str| self.entries.get(key).map_or(0, |entry| entry.revision);
        if txn.guards.iter().any(|guard| revision(&guard.key) != guard.revision) {
            let keys = txn.guards.iter().filter_map(|guard| self.entries.get(&guard.key));
            return Commit::Conflict { present: keys.cloned().collect() };
        }
        self.revision += 1;
        for put in &txn.puts {
            let (key, value) = (put.key.clone(), put.value.clone());
            let entry = Entry { key: key.clone(), value, revision: self.revision, lease: None };
            self.entries.insert(key, entry);
        }
        Commit::Done { revision: self.revision }
    }

    fn inject(&mut self, fault: Fault, txn: &Txn) -> Result<Commit, PlatformError> {
        match fault {
            Fault::LostRequest => {}
            Fault::DelayedRequest => self.delayed = Some(txn.clone()),
            Fault::LostResponse => drop(self.commit(txn)),
            Fault::Overtaken(other) => {
                self.commit(&other);
                return Ok(self.commit(txn));
            }
            Fault::Followed(other) => {
                self.commit(txn);
                self.commit(&other);
            }
            Fault::Outage => {
                self.commit(txn);
                self.down = true;
            }
        }
        Err(PlatformError::Unanswered)
    }
}

#[derive(Clone, Default)]
pub(crate) struct MemoryPlatform(Arc<Mutex<MemoryStore>>);

impl MemoryPlatform {
    pub(crate) fn store(&self) -> MutexGuard<'_, MemoryStore> {
        self.0.lock().expect("store")
    }

    /// The change ids in the history, oldest first.
    pub(crate) fn change_ids(&self) -> Vec<String> {
        let store = self.store();
        let entries = store.entries.iter().filter(|(key, _)| key.starts_with("damaskwick/history"));
        let head = |entry: &Entry| serde_json::from_slice::<dw_tables::Head>(&entry.value);
        entries.map(|(_, entry)| head(entry).expect("head").change.to_string()).collect()
    }
}

impl Platform for MemoryPlatform {
    type Watch = NoWatch;

    async fn get(&self, key: &str) -> Result<Option<Entry>, PlatformError> {
        let store = self.store();
        store.check_reachable()?;
        Ok(store.entries.get(key).cloned())
    }

    async fn range(&self, _: &str) -> Result<Vec<Entry>, PlatformError> {
        Err(PlatformError::Protocol("not used by the tool".to_owned()))
    }

    async fn commit(&self, txn: Txn) -> Result<Commit, PlatformError> {
        let mut store = self.store();
        store.check_reachable()?;
        if let Some(delayed) = store.delayed.take() {
            store.commit(&delayed);
        }
        match store.faults.pop_front() {
            Some(fault) if !txn.guards.is_empty() => store.inject(fault, &txn),
            fault => {
                fault.into_iter().for_each(|fault| store.faults.push_front(fault));
                Ok(store.commit(&txn))
            }
        }
    }

    async fn grant(&self, _: Duration) -> Result<LeaseId, PlatformError> {
        Err(PlatformError::LeaseGone)
    }

    async fn renew(&self, _: LeaseId) -> Result<(), PlatformError> {
        Err(PlatformError::LeaseGone)
    }

    async fn revoke(&self, _: LeaseId) -> Result<(), PlatformError> {
        Err(PlatformError::LeaseGone)
    }

    async fn watch(&self, _: &str, _: u64) -> Result<NoWatch, PlatformError> {
        Err(PlatformError::Compacted)
    }

    async fn watch_prefix(&self, _: &str) -> Result<(Vec<Entry>, NoWatch), PlatformError> {
        Err(PlatformError::Compacted)
    }
}

pub(crate) struct NoWatch;

impl Watch for NoWatch {
    async fn next(&mut self) -> Result<Event, PlatformError> {
        Err(PlatformError::Compacted)
    }
}

/// Daemons that answer with the given statuses in turn; the last one is repeated.
#[derive(Default)]
pub(crate) struct FakeAdmin(pub(crate) Mutex<VecDeque<DaemonStatus>>);

impl FakeAdmin {
    pub(crate) fn new(list: impl IntoIterator<Item = DaemonStatus>) -> Self {
        Self(Mutex::new(list.into_iter().collect()))
    }
}

impl Admin for FakeAdmin {
    async fn status(&self, addr: SocketAddr) -> Result<DaemonStatus, AdminError> {
        let mut list = self.0.lock().expect("statuses");
        let status = if list.len() > 1 { list.pop_front() } else { list.front().cloned() };
        status.ok_or(AdminError { addr, reason: "connection refused".to_owned() })
    }

    /// Every service has targets of the versions v1 and v2.
    async fn versions(&self, _: SocketAddr, _: &Name) -> Result<BTreeSet<Name>, AdminError> {
        Ok(["v1", "v2"].into_iter().map(Name::new).collect())
    }
}

#[derive(Clone, Default)]
pub(crate) struct Capture(Arc<Mutex<Vec<u8>>>);

impl Capture {
    pub(crate) fn text(&self) -> String {
        String::from_utf8(self.0.lock().expect("capture").clone()).expect("UTF-8")
    }
}

impl Write for Capture {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().expect("capture").extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Runs a command line and returns its exit code and its output, with stdout and stderr joined.
pub(crate) async fn run_tool(
    platform: &MemoryPlatform,
    daemons: &FakeAdmin,
    change: &str,
    line: &str,
) -> (Exit, String) {
    let raw_args: Vec<String> = line.split_whitespace().map(str::to_owned).collect();
    let command = match parse_args(&raw_args) {
        Invocation::Run(args) => args.command.expect("command"),
        Invocation::Print(text) => return (Exit::Ok, text),
        Invocation::UsageError(text) => return (Exit::Usage, text),
    };
    let capture = Capture::default();
    let (out, err) = (Box::new(capture.clone()), Box::new(capture.clone()));
    let mut console = Console::new(command.json(), out, err);
    let edit = Edit { author: "ada".into(), change: change.into(), time: 1_000_000_000_000 };
    let exit = run(&command, &edit, |_| platform.clone(), daemons, &mut console).await;
    (exit, capture.text())
}

/// Writes tables with the given deadlines for the routes `credit` and `lookup` to a new directory.
pub(crate) fn write_tables(test: &str, credit: &str, lookup: &str) -> String {
    let routes = format!(
        r#"{{ "routes": [
        {{ "name": "credit", "match": {{ "path": "/credits" }}, "pool": "ledger",
           "deadline": "{credit}" }},
        {{ "name": "lookup", "match": {{ "path": "/copies" }}, "pool": "ledger",
           "deadline": "{lookup}" }}
        ] }}"#
    );
    let dir = empty_dir(&format!("{test}-{credit}-{lookup}"));
    std::fs::write(dir.join("routes.jsonc"), routes).expect("routes");
    let pools = r#"{ "pools": [{ "name": "ledger", "service": "ledger" }] }"#;
    std::fs::write(dir.join("pools.jsonc"), pools).expect("pools");
    dir.display().to_string()
}

/// Creates an empty directory, replacing an existing one.
pub(crate) fn empty_dir(name: &str) -> PathBuf {
    let dir = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    if dir.exists() {
        std::fs::remove_dir_all(&dir).expect("remove");
    }
    std::fs::create_dir_all(&dir).expect("directory");
    dir
}
