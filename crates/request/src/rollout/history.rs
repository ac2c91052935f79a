use std::{
    collections::{BTreeMap, BTreeSet},
    mem,
    time::Duration,
};

use dw_tables::Name;
use tokio::time::Instant;

/// How long a version counts as running after its last target has disappeared. Targets that crash, and those whose
/// daemon was restarted, are known again within seconds.
const ABSENCE: Duration = Duration::from_secs(10);

/// The versions of each service whose targets were live in the last seconds, as a daemon knows them.
///
/// It addresses the leader of a rollout that takes a version for the only one while the targets of the others are
/// unknown for a moment, as after a restart of many hosts.
#[derive(Clone, Debug)]
pub struct VersionHistory {
    since: Instant,
    live: BTreeSet<(Name, Option<Name>)>,
    /// When versions that are no longer live were last seen.
    gone: BTreeMap<(Name, Option<Name>), Instant>,
}

impl VersionHistory {
    /// Creates the history of a daemon that starts to observe now.
    #[must_use]
    pub const fn new(now: Instant) -> Self {
        Self { since: now, live: BTreeSet::new(), gone: BTreeMap::new() }
    }

    /// Replaces the services and versions of the live targets.
    pub fn set_live(&mut self, live: impl IntoIterator<Item = (Name, Option<Name>)>, now: Instant) {
        let before = mem::replace(&mut self.live, live.into_iter().collect());
        let gone = before.into_iter().filter(|version| !self.live.contains(version));
        self.gone.extend(gone.map(|version| (version, now)));
        self.gone.retain(|version, at| !self.live.contains(version) && now < *at + ABSENCE);
    }

    /// The versions of a service that are live or were until 10 s ago; `None` as long as the daemon has not observed
    /// the fleet for that time.
    #[must_use]
    pub fn recent(&self, service: &Name, now: Instant) -> Option<BTreeSet<Option<Name>>> {
        let gone = self.gone.iter().filter(|(_, at)| now < **at + ABSENCE).map(|(key, _)| key);
        let known = self.live.iter().chain(gone).filter(|(own, _)| own == service);
        (now >= self.since + ABSENCE).then(|| known.map(|(_, version)| version.clone()).collect())
    }
}
