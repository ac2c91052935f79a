use std::{collections::BTreeSet, net::SocketAddr, sync::Arc, time::Duration};

use dw_tables::{Name, VersionMark};
use dw_wire::{DomainTotals, FrameBody, StatusPull, StatusReply};

use crate::{
    DomainStatus, Member, Node, RefusedVersion, RolloutState, Status,
    convert::{mark_from_wire, names},
    fleet::{DOMAINS_LIMIT, FRESH, NAMES, millis},
    timer::Timer,
};

/// Time in which a change is expected to be in force; later the state is `behind`.
const SPREAD_TIME: Duration = Duration::from_secs(10);

/// Time between two refreshes of the status.
const STATUS_EVERY: Duration = Duration::from_secs(1);

/// How long the refreshes go on after a request.
const STATUS_WANTED: Duration = Duration::from_secs(30);

impl Node {
    /// The status will be read: a node that is no relay fetches it.
    pub(crate) fn on_status_request(&mut self) {
        self.fleet.wanted = Some(self.now);
        if !self.acts_as_relay() && !self.timers.is_set(Timer::Status) {
            self.timers.set(Timer::Status, self.now);
        }
    }

    pub(crate) fn run_status(&mut self) {
        let wanted = self.fleet.wanted.is_some_and(|at| at + STATUS_WANTED > self.now);
        if self.acts_as_relay() || !wanted {
            return;
        }
        self.timers.set(Timer::Status, self.now + STATUS_EVERY);
        let domain = self.me.domain.clone();
        if let Some(peer) = self.relay_of(&domain) {
            self.send(peer, FrameBody::StatusPull(StatusPull {}));
        }
    }

    pub(crate) fn on_status_pull(&mut self, from: SocketAddr) {
        if !self.acts_as_relay() {
            return;
        }
        let mut domains = vec![self.own_line()];
        for heard in self.fleet.heard.values() {
            let age_ms = millis(self.now.saturating_duration_since(heard.at));
            if *heard.line.domain != **self.me.domain {
                domains.push(DomainTotals { age_ms, ..heard.line.clone() });
            }
        }
        self.send(from, FrameBody::StatusReply(StatusReply { domains }));
    }

    pub(crate) fn on_status_reply(&mut self, from: SocketAddr, reply: &StatusReply) {
        for line in reply.domains.iter().take(DOMAINS_LIMIT) {
            let mark = mark_from_wire(line.mark.as_ref()).unwrap_or_default();
            if *line.domain == **self.me.domain {
                self.compare_number(from, mark.number);
            }
            self.hear(line.clone());
        }
    }

    /// What the node knows about the version in force. A relay knows it at any time; another node
    /// after `LocalEvent::StatusRequested`.
    #[must_use]
    pub fn status(&self) -> Status {
        let version = self.store.mark();
        let mut domains: Vec<_> = Vec::new();
        let mut refused: Vec<RefusedVersion> = self.store.refused.iter().cloned().collect();
        let mut open = self.store.refused_head.is_some();
        for domain in self.known_domains() {
            let own = (domain == self.me.domain && self.acts_as_relay()).then(|| self.own_line());
            let heard = self.fleet.heard.get(&domain).filter(|h| h.at + FRESH > self.now);
            let line = own.as_ref().or(heard.map(|heard| &heard.line));
            for refusal in line.iter().flat_map(|line| &line.refused) {
                open |= refusal.open;
                let mark = mark_from_wire(refusal.mark.as_ref()).unwrap_or_default();
                let item = RefusedVersion { mark, reason: refusal.reason.clone() };
                if !refused.iter().any(|known| known.mark == mark) {
                    refused.push(item);
                }
            }
            domains.push(line.map_or_else(
                || self.silent_domain(&domain),
                |line| self.domain_status(&domain, line, version),
            ));
        }
        let has = |state| domains.iter().any(|d| d.state == state);
        let state = if open || has(RolloutState::Refused) {
            RolloutState::Refused
        } else if version.number == 0 || domains.is_empty() || has(RolloutState::Unknown) {
            RolloutState::Unknown
        } else if has(RolloutState::Behind) {
            RolloutState::Behind
        } else if has(RolloutState::Spreading) {
            RolloutState::Spreading
        } else {
            RolloutState::InForce
        };
        let (host, domain) = (self.me.host.clone(), self.me.domain.clone());
        Status { host, domain, state, version, domains, refused }
    }

    /// Domains with a member that may be serving.
    fn known_domains(&self) -> BTreeSet<Name> {
        self.roster
            .domains()
            .filter(|domain| {
                self.roster.live_count(domain) > 0
                    || self.roster.members(domain).any(|m| self.in_doubt(m))
            })
            .cloned()
            .collect()
    }

    /// A domain of which no relay is heard: its members that may be serving are unreachable.
    fn silent_domain(&self, domain: &Name) -> DomainStatus {
        let may_serve = |m: &&Arc<Member>| m.state.is_live() || self.in_doubt(m);
        let hosts = || self.roster.members(domain).filter(may_serve).map(|m| m.host.clone());
        DomainStatus {
            domain: domain.clone(),
            members: u32::try_from(hosts().count()).unwrap_or(u32::MAX),
            unreachable: hosts().take(NAMES).collect(),
            ..DomainStatus::default()
        }
    }

    /// The state of one domain in terms of the version that this node serves.
    fn domain_status(
        &self,
        domain: &Name,
        line: &DomainTotals,
        version: VersionMark,
    ) -> DomainStatus {
        let mark = mark_from_wire(line.mark.as_ref()).unwrap_or_default();
        let spread = Duration::from_millis(u64::from(line.spread_ms));
        let local = self.now.saturating_duration_since(self.store.published_at);
        let late = if mark == version { spread.max(local) } else { local };
        let open = if late < SPREAD_TIME { RolloutState::Spreading } else { RolloutState::Behind };
        // Totals for a higher version say that those members hold no less than this node.
        let holds = mark.number >= version.number && mark.number > 0;
        let state = if mark.number == version.number && mark.hash != version.hash {
            RolloutState::Refused
        } else if line.partial || line.processes != self.roster.processes(domain) {
            // Who is in the domain is not agreed: a member that is not counted may be serving.
            RolloutState::Unknown
        } else if mark == version && line.applied == line.members {
            RolloutState::InForce
        } else {
            open
        };
        DomainStatus {
            domain: domain.clone(),
            state,
            members: line.members,
            applied: if holds { line.applied } else { 0 },
            behind: names(&line.behind).take(NAMES).collect(),
            unreachable: names(&line.unreachable).take(NAMES).collect(),
            highest: mark.number,
        }
    }
}
