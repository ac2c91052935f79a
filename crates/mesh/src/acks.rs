use std::collections::BTreeMap;

use dw_tables::{Name, VersionId};

/// Maximum number of hosts whose acknowledgements are kept: twice the target scale.
const HOSTS_LIMIT: usize = 8_400;

/// The version that a host is known to serve.
#[derive(Debug, Default)]
struct Ack {
    started: u64,
    number: u64,
    prefix: u32,
    /// The highest version number that any process on the host has served.
    floor: u64,
}

/// The versions that hosts have acknowledged.
#[derive(Debug, Default)]
pub(crate) struct Acks {
    hosts: BTreeMap<Name, Ack>,
}

impl Acks {
    /// Records that a process serves a version.
    pub(crate) fn record(&mut self, host: &str, started: u64, number: u64, prefix: u32) {
        if number == 0 {
            return;
        }
        if !self.hosts.contains_key(host) {
            if self.hosts.len() >= HOSTS_LIMIT {
                return;
            }
            self.hosts.insert(host.into(), Ack::default());
        }
        let Some(ack) = self.hosts.get_mut(host) else { return };
        ack.floor = ack.floor.max(number);
        if started > ack.started || (started == ack.started && number >= ack.number) {
            (ack.started, ack.number, ack.prefix) = (started, number, prefix);
        }
    }

    /// Whether the process is known to serve this version or a later one.
    pub(crate) fn holds(&self, host: &str, started: u64, version_id: VersionId) -> bool {
        self.hosts.get(host).is_some_and(|ack| {
            ack.started == started
                && (ack.number > version_id.number
                    || (ack.number == version_id.number && ack.prefix == version_id.hash.prefix()))
        })
    }

    /// The highest version number that the host is known to have served.
    pub(crate) fn floor(&self, host: &str) -> u64 {
        self.hosts.get(host).map_or(0, |ack| ack.floor)
    }

    /// Resets the acknowledgement of a host on which a new process was started, because it is not known what
    /// that process serves. The floor is kept.
    pub(crate) fn restart(&mut self, host: &str, started: u64) {
        if let Some(ack) = self.hosts.get_mut(host)
            && ack.started != started
        {
            (ack.started, ack.number, ack.prefix) = (started, 0, 0);
        }
    }

    /// Removes a host and its floor.
    pub(crate) fn forget(&mut self, host: &str) {
        self.hosts.remove(host);
    }
}
