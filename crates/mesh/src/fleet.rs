use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use dw_tables::{Name, VersionId};
use dw_wire::{DomainState, FrameBody, Refusal, Summary};
use tokio::time::Instant;

use crate::{
    Member, MemberState, Node, RELAY_SLOTS,
    convert::{version_id_from_wire, version_id_to_wire},
    timer::Timer,
};

/// Age at which the totals of a domain expire. A relay of another domain receives them at least every
/// 4 s, because two senders and two receivers take turns.
pub(crate) const TOTALS_MAX_AGE: Duration = Duration::from_secs(8);

/// The most hosts of a domain that are named as behind, and as unreachable.
pub(crate) const NAMED_HOSTS_LIMIT: usize = 8;

/// Records that changed within this time are sent with a summary.
const RECENT_TIME: Duration = Duration::from_secs(4);

/// The most bytes of member records in a summary.
const SUMMARY_RECORDS_BYTES: usize = 4 << 10;

/// The shortest time between two comparisons of the members of one domain.
const SYNC_INTERVAL: Duration = Duration::from_secs(3);

/// How long a relay that could not be reached is not chosen.
const UNREACHABLE_TIME: Duration = Duration::from_secs(3);

/// Time between two audits.
const AUDIT_INTERVAL: Duration = Duration::from_millis(250);

/// Members probed in one audit: 40/s, so that a domain of 467 members takes 12 s.
const AUDIT_MEMBERS: usize = 10;

/// How long after the start of a tree its members are not probed yet.
const AUDIT_GRACE: Duration = Duration::from_secs(2);

/// Probe periods after its start in which a node may not know all members yet.
const STARTUP_PERIODS: u32 = 2;

/// The most domains whose totals are kept.
pub(crate) const DOMAINS_LIMIT: usize = 64;

/// The latest totals received for a domain.
#[derive(Debug)]
pub(crate) struct DomainTotals {
    pub(crate) domain_state: DomainState,
    pub(crate) at: Instant,
}

/// What the node knows about the failure domains.
#[derive(Debug, Default)]
pub(crate) struct Fleet {
    pub(crate) totals: BTreeMap<Name, DomainTotals>,
    last_synced: BTreeMap<Name, Instant>,
    unreachable_until: BTreeMap<SocketAddr, Instant>,
    /// How often a relay of each domain was chosen, so that its relays are used in turn.
    relay_turns: BTreeMap<Name, usize>,
    summary_round: usize,
    /// The version last announced as held by all members of this node's domain.
    announced: VersionId,
    audit_cursor: Option<Name>,
    pub(crate) status_requested: Option<Instant>,
}

impl Fleet {
    /// Excludes a peer that could not be reached from the choice of relays for a while.
    pub(crate) fn mark_unreachable(&mut self, to: SocketAddr, now: Instant) {
        self.unreachable_until.retain(|_, until| *until > now);
        if self.unreachable_until.len() < DOMAINS_LIMIT {
            self.unreachable_until.insert(to, now + UNREACHABLE_TIME);
        }
    }
}

impl Node {
    /// Returns a relay of a domain, in turn, or one of its candidates if no relay is known.
    pub(crate) fn relay_of(&mut self, domain: &Name) -> Option<SocketAddr> {
        let turn = self.fleet.relay_turns.entry(domain.clone()).or_default();
        *turn = turn.wrapping_add(1);
        let turn = *turn;
        let mut hosts: Vec<Name> = self.roster.relays(domain).cloned().collect();
        if hosts.is_empty() || turn.is_multiple_of(16) {
            // A member that became a relay a moment ago may not be known as one yet.
            hosts.extend(self.roster.candidates(domain).iter().cloned());
        }
        let now = self.now;
        let mut peers: Vec<_> = hosts
            .iter()
            .filter_map(|host| self.roster.get(host))
            .filter(|m| m.host != self.me.host)
            .map(|m| m.peer)
            .collect();
        peers.dedup();
        let reachable = |peer: &SocketAddr| {
            self.fleet.unreachable_until.get(peer).is_none_or(|until| *until <= now)
        };
        if peers.iter().any(reachable) {
            peers.retain(reachable);
        }
        (!peers.is_empty()).then(|| peers[turn % peers.len()])
    }

    fn other_domains(&self) -> Vec<Name> {
        self.roster.domains().filter(|domain| **domain != self.me.domain).cloned().collect()
    }

    /// As a relay, sends the state of its domain to a relay of each other domain. The relays of a
    /// domain divide the other domains among themselves.
    pub(crate) fn run_summary(&mut self) {
        if !self.acts_as_relay() {
            return;
        }
        self.timers.set(Timer::Summary, self.now + self.cfg.preset.summary_period);
        let summary = self.summary();
        if summary.totals.as_ref().is_some_and(|domain_state| {
            domain_state.partial || domain_state.applied < domain_state.members
        }) {
            // Once all members hold the version again, this has to be announced at once. Otherwise the
            // receivers would show the incomplete totals for seconds.
            self.fleet.announced = VersionId::default();
        }
        let relays: Vec<_> = self.roster.relays(&self.me.domain).cloned().collect();
        let relay_count = relays.len().clamp(1, RELAY_SLOTS as usize);
        let position = relays.iter().position(|host| *host == self.me.host).unwrap_or(0);
        self.fleet.summary_round = self.fleet.summary_round.wrapping_add(1);
        let turn = self.fleet.summary_round;
        for (idx, domain) in self.other_domains().into_iter().enumerate() {
            if (idx + turn) % relay_count != position % relay_count {
                continue;
            }
            if let Some(peer) = self.relay_of(&domain) {
                self.send(peer, FrameBody::Summary(summary.clone()));
            }
        }
    }

    /// As a relay, notifies the relays of all other domains as soon as all members of its domain
    /// hold the version.
    pub(crate) fn announce_complete(&mut self) {
        let version_id = self.store.served_id();
        if !self.acts_as_relay() || self.fleet.announced == version_id {
            return;
        }
        let summary = self.summary();
        if summary.totals.as_ref().is_none_or(|domain_state| {
            domain_state.partial || domain_state.applied < domain_state.members
        }) {
            return;
        }
        self.fleet.announced = version_id;
        for domain in self.other_domains() {
            let hosts: Vec<_> = self.roster.relays(&domain).cloned().collect();
            for host in hosts {
                if let Some(peer) = self.roster.get(&host).map(|m| m.peer) {
                    self.send(peer, FrameBody::Summary(summary.clone()));
                }
            }
        }
    }

    fn summary(&mut self) -> Summary {
        let now = self.now;
        while self.recent_changes.front().is_some_and(|(at, _)| *at + RECENT_TIME < now) {
            self.recent_changes.pop_front();
        }
        let hosts: BTreeSet<&Name> = self.recent_changes.iter().map(|(_, host)| host).collect();
        let records = hosts.into_iter().filter_map(|host| self.roster.get(host));
        let (mut members, mut room) = (Vec::new(), SUMMARY_RECORDS_BYTES);
        self.roster.collect(&mut members, &mut room, records, self.now);
        Summary {
            host: self.me.host.to_string(),
            totals: Some(self.own_domain_state()),
            digest: self.roster.domain_digest(&self.me.domain),
            members,
            poison: self.poison.to_wire(now),
        }
    }

    pub(crate) fn on_summary(&mut self, from: SocketAddr, summary: &Summary) {
        let Some(domain_state) = &summary.totals else { return };
        let domain = Name::new(&domain_state.domain);
        if domain == self.me.domain {
            return;
        }
        self.spread_poison(&summary.poison);
        for wire in &summary.members {
            if self.merge_wire_record(wire) {
                self.queue_broadcast(&wire.host.as_str().into());
            }
        }
        let version_id = version_id_from_wire(domain_state.version_id.as_ref()).unwrap_or_default();
        self.compare_number(from, version_id.number);
        if self.roster.domain_digest(&domain) != summary.digest {
            let due = self
                .fleet
                .last_synced
                .get(&domain)
                .is_none_or(|at| *at + SYNC_INTERVAL <= self.now);
            if due && self.fleet.last_synced.len() < DOMAINS_LIMIT {
                self.fleet.last_synced.insert(domain.clone(), self.now);
                self.sync_with(from, Some(&domain));
            }
        }
        self.record_totals(domain_state.clone());
    }

    /// Stores the totals of a domain unless newer ones are known.
    pub(crate) fn record_totals(&mut self, domain_state: DomainState) {
        let domain = Name::new(&domain_state.domain);
        let age = Duration::from_millis(u64::from(domain_state.age_ms));
        let Some(at) = self.now.checked_sub(age) else { return };
        if self.fleet.totals.get(&domain).is_some_and(|totals| totals.at > at) {
            return;
        }
        if self.fleet.totals.len() < DOMAINS_LIMIT || self.fleet.totals.contains_key(&domain) {
            self.fleet.totals.insert(domain, DomainTotals { domain_state, at });
        }
    }

    /// Returns the members of this domain that may be serving: the live ones and those that were
    /// recently declared dead without proof, because a network partition looks like a crash.
    fn maybe_serving(&self) -> impl Iterator<Item = &Arc<Member>> {
        self.roster
            .members(&self.me.domain)
            .filter(|m| m.state.is_live() || self.may_still_serve(m))
    }

    /// Whether a member was declared dead without proof so recently that it may still be serving.
    pub(crate) fn may_still_serve(&self, member: &Member) -> bool {
        let gone = self.roster.gone.get(&member.host);
        member.state == MemberState::Dead
            && gone.is_some_and(|at| *at + self.cfg.preset.dead_grace > self.now)
    }

    /// Whether the node can be assumed to know all members of its domain: it has run for some time,
    /// has learned members from a peer or from the platform's relay records, knows which member has
    /// each of its join addresses, and no peer's member table differs from its own.
    fn knows_all_members(&self) -> bool {
        let age = self.now.saturating_duration_since(self.join.started_at);
        age >= self.cfg.preset.probe_period * STARTUP_PERIODS
            && self.join.members_known
            && (self.join.unknown_addrs.is_empty() || age >= self.cfg.preset.dead_grace)
            && self.probe.differs_since.is_none()
    }

    /// Returns the state of this node's domain as a relay sees it.
    pub(crate) fn own_domain_state(&self) -> DomainState {
        let version_id = self.store.served_id();
        let mut domain_state = DomainState {
            domain: self.me.domain.to_string(),
            version_id: Some(version_id_to_wire(version_id)),
            spread_ms: millis(self.now.saturating_duration_since(self.store.published_at)),
            processes: self.roster.processes(&self.me.domain),
            partial: !self.knows_all_members(),
            ..DomainState::default()
        };
        for member in self.maybe_serving() {
            domain_state.members += 1;
            if version_id.number > 0 && self.acks.holds(&member.host, member.started, version_id) {
                domain_state.applied += 1;
                continue;
            }
            let unreachable = matches!(member.state, MemberState::Suspect | MemberState::Dead);
            let list =
                if unreachable { &mut domain_state.unreachable } else { &mut domain_state.behind };
            if list.len() < NAMED_HOSTS_LIMIT {
                list.push(member.host.to_string());
            }
        }
        let refused_head = self.store.refused_head;
        let refused = self.store.refused.iter().rev().take(4).rev();
        domain_state.refused = refused
            .map(|refused| Refusal {
                version_id: Some(version_id_to_wire(refused.version_id)),
                reason: refused.reason.clone(),
                is_head: refused_head == Some(refused.version_id),
            })
            .collect();
        domain_state
    }

    /// As a relay, probes members that have not acknowledged the version. Their answers carry the
    /// version that they serve, and the probe makes them fetch a newer one.
    pub(crate) fn run_audit(&mut self) {
        if !self.acts_as_relay() {
            return;
        }
        self.timers.set(Timer::Audit, self.now + AUDIT_INTERVAL);
        let started = self.store.published_at + self.cfg.preset.batch_delay + AUDIT_GRACE;
        self.announce_complete();
        let version_id = self.store.served_id();
        if version_id.number == 0 || (!self.tree_done() && self.now < started) {
            return;
        }
        let mut pending: Vec<_> = self
            .maybe_serving()
            .filter(|m| !self.acks.holds(&m.host, m.started, version_id))
            .cloned()
            .collect();
        let cursor = self.fleet.audit_cursor.take();
        let start = pending.partition_point(|m| cursor.as_ref().is_some_and(|c| m.host <= *c));
        pending.rotate_left(start);
        pending.truncate(AUDIT_MEMBERS);
        self.fleet.audit_cursor = pending.last().map(|m| m.host.clone());
        for member in pending {
            if member.state == MemberState::Dead {
                self.send_hello(member.peer);
            }
            self.send_ping(member.peer);
        }
    }
}

/// Converts a duration to milliseconds, saturating.
pub(crate) fn millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}
