use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use dw_tables::{Name, VersionMark};
use dw_wire::{DomainTotals, FrameBody, Refusal, Summary};
use tokio::time::Instant;

use crate::{
    Member, MemberState, Node, RELAY_SLOTS,
    convert::{mark_from_wire, mark_to_wire},
    timer::Timer,
};

/// Age at which the totals of a domain count as not heard from. Two relays with two receivers each
/// reach a given receiver every 4 s at the latest.
pub(crate) const FRESH: Duration = Duration::from_secs(8);

/// Hosts named for each domain.
pub(crate) const NAMES: usize = 8;

/// Records that changed this recently are sent with a summary.
const RECENT: Duration = Duration::from_secs(4);

/// Bytes of records in a summary.
const RECENT_BYTES: usize = 4 << 10;

/// Time between two comparisons of one domain's members.
const SYNC_EVERY: Duration = Duration::from_secs(3);

/// Time in which a relay that could not be reached is passed over.
const AVOID: Duration = Duration::from_secs(3);

/// Time between two audits.
const AUDIT_EVERY: Duration = Duration::from_millis(250);

/// Members probed in one audit: 40/s, so that a domain of 467 takes 12 s.
const AUDIT_MEMBERS: usize = 10;

/// Time after the tree's start before its members are probed.
const AUDIT_GRACE: Duration = Duration::from_secs(2);

/// Probe periods after its start in which a node learns who is there.
const CONFIRM_PERIODS: u32 = 2;

/// The most domains whose totals are kept.
pub(crate) const DOMAINS_LIMIT: usize = 64;

/// Totals of a domain.
#[derive(Debug)]
pub(crate) struct Heard {
    pub(crate) line: DomainTotals,
    pub(crate) at: Instant,
}

/// What is known of the domains.
#[derive(Debug, Default)]
pub(crate) struct Fleet {
    pub(crate) heard: BTreeMap<Name, Heard>,
    synced: BTreeMap<Name, Instant>,
    avoid: BTreeMap<SocketAddr, Instant>,
    /// Counts the choices of a relay of each domain, so that its relays are served in turn.
    turns: BTreeMap<Name, usize>,
    cycle: usize,
    /// The version of which all members were last announced to hold it.
    complete: VersionMark,
    cursor: Option<Name>,
    pub(crate) wanted: Option<Instant>,
}

impl Fleet {
    /// A peer could not be reached.
    pub(crate) fn mark_unreachable(&mut self, to: SocketAddr, now: Instant) {
        self.avoid.retain(|_, until| *until > now);
        if self.avoid.len() < DOMAINS_LIMIT {
            self.avoid.insert(to, now + AVOID);
        }
    }
}

impl Node {
    /// A relay of a domain, in turn; one of its candidates if none is known.
    pub(crate) fn relay_of(&mut self, domain: &Name) -> Option<SocketAddr> {
        let turn = self.fleet.turns.entry(domain.clone()).or_default();
        *turn = turn.wrapping_add(1);
        let turn = *turn;
        let mut hosts: Vec<Name> = self.roster.relays(domain).cloned().collect();
        if hosts.is_empty() || turn.is_multiple_of(16) {
            // A relay that has become one only lately may not be known as such.
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
        let good = |peer: &SocketAddr| self.fleet.avoid.get(peer).is_none_or(|until| *until <= now);
        if peers.iter().any(good) {
            peers.retain(good);
        }
        (!peers.is_empty()).then(|| peers[turn % peers.len()])
    }

    fn other_domains(&self) -> Vec<Name> {
        self.roster.domains().filter(|domain| **domain != self.me.domain).cloned().collect()
    }

    /// As a relay, sends the state of the own domain to a relay of each other domain. Two relays of
    /// a domain share the domains between them.
    pub(crate) fn run_summary(&mut self) {
        if !self.acts_as_relay() {
            return;
        }
        self.timers.set(Timer::Summary, self.now + self.cfg.preset.summary_period);
        let summary = self.summary();
        if summary.totals.as_ref().is_some_and(|line| line.partial || line.applied < line.members) {
            // Its end is announced at once, or the receivers would show it for some seconds.
            self.fleet.complete = VersionMark::default();
        }
        let relays: Vec<_> = self.roster.relays(&self.me.domain).cloned().collect();
        let share = relays.len().clamp(1, RELAY_SLOTS as usize);
        let place = relays.iter().position(|host| *host == self.me.host).unwrap_or(0);
        self.fleet.cycle = self.fleet.cycle.wrapping_add(1);
        let turn = self.fleet.cycle;
        for (idx, domain) in self.other_domains().into_iter().enumerate() {
            if (idx + turn) % share != place % share {
                continue;
            }
            if let Some(peer) = self.relay_of(&domain) {
                self.send(peer, FrameBody::Summary(summary.clone()));
            }
        }
    }

    /// As a relay, tells all other relays at once when all members of the domain hold the version.
    pub(crate) fn announce_complete(&mut self) {
        let mark = self.store.mark();
        if !self.acts_as_relay() || self.fleet.complete == mark {
            return;
        }
        let summary = self.summary();
        if summary.totals.as_ref().is_none_or(|line| line.partial || line.applied < line.members) {
            return;
        }
        self.fleet.complete = mark;
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
        while self.recent.front().is_some_and(|(at, _)| *at + RECENT < now) {
            self.recent.pop_front();
        }
        let hosts: BTreeSet<&Name> = self.recent.iter().map(|(_, host)| host).collect();
        let rows = hosts.into_iter().filter_map(|host| self.roster.get(host));
        let (mut members, mut room) = (Vec::new(), RECENT_BYTES);
        self.roster.collect(&mut members, &mut room, rows, self.now);
        Summary {
            host: self.me.host.to_string(),
            totals: Some(self.own_line()),
            digest: self.roster.domain_digest(&self.me.domain),
            members,
        }
    }

    pub(crate) fn on_summary(&mut self, from: SocketAddr, summary: &Summary) {
        let Some(line) = &summary.totals else { return };
        let domain = Name::new(&line.domain);
        if domain == self.me.domain {
            return;
        }
        for wire in &summary.members {
            if self.merge_wire_record(wire) {
                self.queue_broadcast(&wire.host.as_str().into());
            }
        }
        let mark = mark_from_wire(line.mark.as_ref()).unwrap_or_default();
        self.compare_number(from, mark.number);
        if self.roster.domain_digest(&domain) != summary.digest {
            let due = self.fleet.synced.get(&domain).is_none_or(|at| *at + SYNC_EVERY <= self.now);
            if due && self.fleet.synced.len() < DOMAINS_LIMIT {
                self.fleet.synced.insert(domain.clone(), self.now);
                self.sync_with(from, Some(&domain));
            }
        }
        self.hear(line.clone());
    }

    pub(crate) fn hear(&mut self, line: DomainTotals) {
        let domain = Name::new(&line.domain);
        let age = Duration::from_millis(u64::from(line.age_ms));
        let Some(at) = self.now.checked_sub(age) else { return };
        if self.fleet.heard.get(&domain).is_some_and(|heard| heard.at > at) {
            return;
        }
        if self.fleet.heard.len() < DOMAINS_LIMIT || self.fleet.heard.contains_key(&domain) {
            self.fleet.heard.insert(domain, Heard { line, at });
        }
    }

    /// Members of the own domain that may be serving: the live ones, and those that were declared
    /// dead a short time ago without proof, because a cut looks like a death.
    fn maybe_serving(&self) -> impl Iterator<Item = &Arc<Member>> {
        self.roster.members(&self.me.domain).filter(|m| m.state.is_live() || self.in_doubt(m))
    }

    pub(crate) fn in_doubt(&self, member: &Member) -> bool {
        let gone = self.roster.gone.get(&member.host);
        member.state == MemberState::Dead
            && gone.is_some_and(|at| *at + self.cfg.preset.dead_grace > self.now)
    }

    /// Whether the node can know all members of its domain: it has run for some time, was told
    /// who is there by a peer or by the platform's relay records, knows who
    /// is at each address that it was to join through, and no peer's table differs from its own.
    fn confirmed(&self) -> bool {
        let age = self.now.saturating_duration_since(self.join.since);
        age >= self.cfg.preset.probe_period * CONFIRM_PERIODS
            && self.join.members_known
            && (self.join.unknown_addrs.is_empty() || age >= self.cfg.preset.dead_grace)
            && self.probe.differs.is_none()
    }

    /// The state of the own domain, as a relay sees it.
    pub(crate) fn own_line(&self) -> DomainTotals {
        let mark = self.store.mark();
        let mut line = DomainTotals {
            domain: self.me.domain.to_string(),
            mark: Some(mark_to_wire(mark)),
            spread_ms: millis(self.now.saturating_duration_since(self.store.published_at)),
            processes: self.roster.processes(&self.me.domain),
            partial: !self.confirmed(),
            ..DomainTotals::default()
        };
        for member in self.maybe_serving() {
            line.members += 1;
            if mark.number > 0 && self.acks.holds(&member.host, member.started, mark) {
                line.applied += 1;
                continue;
            }
            let lost = matches!(member.state, MemberState::Suspect | MemberState::Dead);
            let list = if lost { &mut line.unreachable } else { &mut line.behind };
            if list.len() < NAMES {
                list.push(member.host.to_string());
            }
        }
        let open = self.store.refused_head;
        let refused = self.store.refused.iter().rev().take(4).rev();
        line.refused = refused
            .map(|refused| Refusal {
                mark: Some(mark_to_wire(refused.mark)),
                reason: refused.reason.clone(),
                open: open == Some(refused.mark),
            })
            .collect();
        line
    }

    /// As a relay, probes members that have not acknowledged the version: their answers carry their
    /// version, and the probe makes them fetch a newer one.
    pub(crate) fn run_audit(&mut self) {
        if !self.acts_as_relay() {
            return;
        }
        self.timers.set(Timer::Audit, self.now + AUDIT_EVERY);
        let started = self.store.published_at + self.cfg.preset.batch_delay + AUDIT_GRACE;
        self.announce_complete();
        let mark = self.store.mark();
        if mark.number == 0 || (!self.tree_done() && self.now < started) {
            return;
        }
        let mut open: Vec<_> = self
            .maybe_serving()
            .filter(|m| !self.acks.holds(&m.host, m.started, mark))
            .cloned()
            .collect();
        let cursor = self.fleet.cursor.take();
        let start = open.partition_point(|m| cursor.as_ref().is_some_and(|c| m.host <= *c));
        open.rotate_left(start);
        open.truncate(AUDIT_MEMBERS);
        self.fleet.cursor = open.last().map(|m| m.host.clone());
        for member in open {
            if member.state == MemberState::Dead {
                self.send_hello(member.peer);
            }
            self.send_ping(member.peer);
        }
    }
}

/// A time in ms.
pub(crate) fn millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}
