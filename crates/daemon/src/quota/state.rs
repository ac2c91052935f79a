use std::{
    collections::{BTreeSet, HashMap},
    net::IpAddr,
    sync::Arc,
    time::Duration,
};

use dw_mesh::MemberTable;
use dw_request::{Allotment, CreditAsk, CreditHolder, CreditOwner, Electorate, Lease, Member};
use dw_tables::{Name, Version};
use dw_wire::{CreditReply, CreditRequest};
use tokio::{sync::Notify, time::Instant};

use crate::clock::unix_ms;

/// Bits of the ids of credit requests below the time in ms at which the holder was created, so that ids
/// grow over restarts.
const ID_BITS: u32 = 20;

/// The credit and the buckets of one daemon.
pub(super) struct State {
    host: Name,
    quotas: HashMap<Name, Allotment>,
    electorate: Electorate,
    addrs: HashMap<Name, IpAddr>,
    entries: HashMap<Name, Entry>,
    owners: HashMap<Name, CreditOwner>,
    /// The workspaces with a credit request that has to be sent or is open.
    pending: BTreeSet<Name>,
    marked: bool,
}

/// The credit for one workspace.
pub(super) struct Entry {
    pub(super) holder: CreditHolder,
    /// Wakes the requests that wait for an answer.
    pub(super) answered: Arc<Notify>,
}

/// The messages to send, and when to call [`State::poll`] again.
#[derive(Default)]
pub(super) struct Polled {
    pub(super) requests: HashMap<IpAddr, Vec<CreditRequest>>,
    pub(super) deadline: Option<Instant>,
    /// Workspaces whose owner stopped answering.
    pub(super) alone: usize,
}

impl State {
    pub(super) fn new(host: Name, configured: usize) -> Self {
        Self {
            host,
            quotas: HashMap::new(),
            electorate: Electorate::default().with_configured(configured),
            addrs: HashMap::new(),
            entries: HashMap::new(),
            owners: HashMap::new(),
            pending: BTreeSet::new(),
            marked: false,
        }
    }

    pub(super) fn set_version(&mut self, version: &Version, now: Instant) {
        let rows = version.tables.workspaces.iter();
        let quotas = rows.map(|row| (row.name.clone(), Allotment::new(row)));
        self.quotas = quotas.filter(|(_, quota)| quota.is_limited()).collect();
        let quotas = &self.quotas;
        self.entries.retain(|name, entry| {
            let quota = quotas.get(name);
            if let Some(quota) = quota {
                entry.holder.set_allotment(*quota);
            }
            quota.is_some()
        });
        self.owners.retain(|name, owner| {
            let quota = quotas.get(name);
            if let Some(quota) = quota {
                owner.set_allotment(*quota, now);
            }
            quota.is_some()
        });
        self.pending.retain(|name| quotas.contains_key(name));
    }

    pub(super) fn set_members(&mut self, members: &[Member], table: &MemberTable, now: Instant) {
        self.electorate.set_members(members, now);
        self.addrs = table.iter().map(|m| (m.host.clone(), m.peer.ip())).collect();
        let fraction = self.electorate.fraction(now);
        for owner in self.owners.values_mut() {
            owner.set_members(fraction, now);
        }
    }

    /// Whether a workspace has a limit.
    pub(super) fn is_limiting(&self) -> bool {
        !self.quotas.is_empty()
    }

    pub(super) fn entry(&mut self, name: &Name, quota: Allotment, now: Instant) -> &mut Entry {
        let members = self.electorate.known(now);
        let new = || Entry {
            holder: CreditHolder::new(quota, unix_ms() << ID_BITS, rand::random(), now),
            answered: Arc::default(),
        };
        let entry = self.entries.entry(name.clone()).or_insert_with(new);
        entry.holder.set_members(members);
        entry
    }

    /// Notes that the workspace may have a credit request to send.
    pub(super) fn mark(&mut self, name: &Name, now: Instant) {
        if self.entries.get(name).is_some_and(|entry| entry.holder.is_wanting(now)) {
            self.pending.insert(name.clone());
            self.marked = true;
        }
    }

    /// Whether a credit request has to be sent.
    pub(super) const fn is_marked(&self) -> bool {
        self.marked
    }

    pub(super) fn refund(&mut self, name: &Name, now: Instant) {
        if let Some(entry) = self.entries.get_mut(name) {
            entry.holder.refund(now);
            entry.answered.notify_waiters();
        }
    }

    /// Collects the credit requests to send. Those for workspaces that this daemon owns are answered here.
    pub(super) fn poll(&mut self, can_send: bool, now: Instant) -> Polled {
        let mut polled = Polled::default();
        self.marked = false;
        for name in std::mem::take(&mut self.pending) {
            let Some(entry) = self.entries.get_mut(&name) else { continue };
            let was_alone = entry.holder.is_alone();
            if let Some(ask) = entry.holder.poll(now) {
                match self.electorate.owner(&name) {
                    Some(owner) if *owner == self.host => {
                        let lease = self.lease(&self.host.clone(), &name, ask, now);
                        self.apply(&name, ask.id, lease, now);
                    }
                    Some(owner) if can_send => {
                        if let Some(addr) = self.addrs.get(owner) {
                            polled.requests.entry(*addr).or_default().push(CreditRequest {
                                id: ask.id,
                                host: self.host.to_string(),
                                workspace: name.to_string(),
                                want: ask.want,
                                spent: ask.spent,
                            });
                        }
                    }
                    _ => entry.holder.unanswered(now),
                }
            }
            let Some(entry) = self.entries.get_mut(&name) else { continue };
            if !was_alone && entry.holder.is_alone() {
                polled.alone += 1;
            }
            if entry.holder.is_deciding_locally() {
                entry.answered.notify_waiters();
            }
            if let Some(at) = entry.holder.deadline() {
                polled.deadline = Some(polled.deadline.map_or(at, |other| at.min(other)));
                self.pending.insert(name);
            }
        }
        polled
    }

    /// Answers the credit request of another daemon; `None` if it is out of date.
    pub(super) fn answer(&mut self, request: CreditRequest, now: Instant) -> Option<CreditReply> {
        let CreditRequest { id, host, workspace, want, spent } = request;
        let ask = CreditAsk { id, want, spent };
        let mut reply = CreditReply { id, workspace, ..CreditReply::default() };
        match self.lease(&host.into(), &reply.workspace.as_str().into(), ask, now) {
            Lease::Granted { tokens, ttl, share } => {
                reply.tokens = tokens;
                reply.ttl_ms = whole_ms(ttl);
                reply.share = narrow(share);
            }
            Lease::Denied { wait, share } => {
                reply.wait_ms = whole_ms(wait).max(1);
                reply.share = narrow(share);
            }
            Lease::WarmingUp => {}
            Lease::Stale => return None,
        }
        Some(reply)
    }

    /// Applies the reply of an owner. Returns the time since the first attempt of its credit request if that
    /// is open.
    pub(super) fn receive(&mut self, reply: &CreditReply, now: Instant) -> Option<Duration> {
        let share = f64::from(reply.share).max(0.0);
        let lease = match (reply.tokens, reply.wait_ms) {
            (0, 0) => Lease::WarmingUp,
            (0, wait) => Lease::Denied { wait: Duration::from_millis(wait.into()), share },
            (tokens, _) => {
                let ttl = Duration::from_millis(reply.ttl_ms.into());
                Lease::Granted { tokens, ttl, share }
            }
        };
        let name = reply.workspace.as_str().into();
        let holder = &self.entries.get(&name)?.holder;
        let took = holder.is_open(reply.id).then(|| holder.asked_ago(now));
        self.apply(&name, reply.id, lease, now);
        took
    }

    fn lease(&mut self, host: &Name, name: &Name, ask: CreditAsk, now: Instant) -> Lease {
        let Some(quota) = self.quotas.get(name).copied() else { return Lease::WarmingUp };
        let Some(ready) = self.electorate.leases_from(name, &self.host) else {
            return Lease::WarmingUp;
        };
        let fraction = self.electorate.fraction(now);
        let new = || CreditOwner::new(quota, ready);
        let owner = self.owners.entry(name.clone()).or_insert_with(new);
        // The workspace had another owner in the meantime.
        if ready > owner.ready() {
            *owner = new();
        }
        owner.set_members(fraction, now);
        owner.lease(host, ask, now)
    }

    fn apply(&mut self, name: &Name, id: u64, lease: Lease, now: Instant) {
        let Some(entry) = self.entries.get_mut(name) else { return };
        let is_open = entry.holder.is_open(id);
        match lease {
            Lease::Granted { tokens, ttl, share } => {
                entry.holder.granted(id, tokens, ttl, share, now);
            }
            Lease::Denied { wait, share } => entry.holder.denied(id, wait, share, now),
            Lease::WarmingUp if is_open => entry.holder.unanswered(now),
            Lease::WarmingUp | Lease::Stale => {}
        }
        if is_open {
            entry.answered.notify_waiters();
        }
    }
}

fn whole_ms(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}

#[expect(clippy::cast_possible_truncation, reason = "a share needs few digits")]
const fn narrow(share: f64) -> f32 {
    share as f32
}
