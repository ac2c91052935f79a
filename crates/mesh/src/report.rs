use std::{collections::BTreeSet, net::SocketAddr, sync::Arc, time::Duration};

use dw_tables::{Name, VersionId};
use dw_wire::{DomainState, FrameBody, StatusPull, StatusReply};

use crate::{
    DomainStatus, Member, Node, RefusedVersion, RolloutState, Status,
    convert::{names, version_id_from_wire},
    fleet::{DOMAINS_LIMIT, NAMED_HOSTS_LIMIT, TOTALS_MAX_AGE, millis},
    timer::Timer,
};

/// How long a change may take to be in force everywhere; after that the state is `behind`.
const SPREAD_TIME: Duration = Duration::from_secs(10);

/// Time between two refreshes of the status.
const STATUS_INTERVAL: Duration = Duration::from_secs(1);

/// How long the status is refreshed after a request for it.
const STATUS_REFRESH_TIME: Duration = Duration::from_secs(30);

impl Node {
    /// Starts to fetch the status on a node that is not a relay, because it is about to be read.
    pub(crate) fn on_status_request(&mut self) {
        self.fleet.status_requested = Some(self.now);
        if !self.acts_as_relay() && !self.timers.is_set(Timer::Status) {
            self.timers.set(Timer::Status, self.now);
        }
    }

    pub(crate) fn run_status(&mut self) {
        let requested =
            self.fleet.status_requested.is_some_and(|at| at + STATUS_REFRESH_TIME > self.now);
        if self.acts_as_relay() || !requested {
            return;
        }
        self.timers.set(Timer::Status, self.now + STATUS_INTERVAL);
        let domain = self.me.domain.clone();
        if let Some(peer) = self.relay_of(&domain) {
            self.send(peer, FrameBody::StatusPull(StatusPull {}));
        }
    }

    pub(crate) fn on_status_pull(&mut self, from: SocketAddr) {
        if !self.acts_as_relay() {
            return;
        }
        let mut domains = vec![self.own_domain_state()];
        for totals in self.fleet.totals.values() {
            let age_ms = millis(self.now.saturating_duration_since(totals.at));
            if *totals.domain_state.domain != **self.me.domain {
                domains.push(DomainState { age_ms, ..totals.domain_state.clone() });
            }
        }
        self.send(from, FrameBody::StatusReply(StatusReply { domains }));
    }

    pub(crate) fn on_status_reply(&mut self, from: SocketAddr, reply: &StatusReply) {
        for domain_state in reply.domains.iter().take(DOMAINS_LIMIT) {
            let version_id =
                version_id_from_wire(domain_state.version_id.as_ref()).unwrap_or_default();
            if *domain_state.domain == **self.me.domain {
                self.compare_number(from, version_id.number);
            }
            self.record_totals(domain_state.clone());
        }
    }

    /// Returns what the node knows about the version in force. A relay knows it at any time,
    /// another node only after `LocalEvent::StatusRequested`.
    #[must_use]
    pub fn status(&self) -> Status {
        let version = self.store.served_id();
        let mut domains: Vec<_> = Vec::new();
        let mut refused: Vec<RefusedVersion> = self.store.refused.iter().cloned().collect();
        let mut head_refused = self.store.refused_head.is_some();
        for domain in self.known_domains() {
            let own =
                (domain == self.me.domain && self.acts_as_relay()).then(|| self.own_domain_state());
            let totals =
                self.fleet.totals.get(&domain).filter(|h| h.at + TOTALS_MAX_AGE > self.now);
            let domain_state = own.as_ref().or(totals.map(|totals| &totals.domain_state));
            for refusal in domain_state.iter().flat_map(|domain_state| &domain_state.refused) {
                head_refused |= refusal.is_head;
                let version_id =
                    version_id_from_wire(refusal.version_id.as_ref()).unwrap_or_default();
                let item = RefusedVersion { version_id, reason: refusal.reason.clone() };
                if !refused.iter().any(|known| known.version_id == version_id) {
                    refused.push(item);
                }
            }
            domains.push(domain_state.map_or_else(
                || self.unreported_domain(&domain),
                |domain_state| self.domain_status(&domain, domain_state, version),
            ));
        }
        let has = |state| domains.iter().any(|d| d.state == state);
        let state = if head_refused || has(RolloutState::Refused) {
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

    /// Returns the domains with at least one member that may be serving.
    fn known_domains(&self) -> BTreeSet<Name> {
        self.roster
            .domains()
            .filter(|domain| {
                self.roster.live_count(domain) > 0
                    || self.roster.members(domain).any(|m| self.may_still_serve(m))
            })
            .cloned()
            .collect()
    }

    /// The state of a domain without recent totals: its members that may be serving are reported as
    /// unreachable.
    fn unreported_domain(&self, domain: &Name) -> DomainStatus {
        let may_serve = |m: &&Arc<Member>| m.state.is_live() || self.may_still_serve(m);
        let hosts = || self.roster.members(domain).filter(may_serve).map(|m| m.host.clone());
        DomainStatus {
            domain: domain.clone(),
            members: u32::try_from(hosts().count()).unwrap_or(u32::MAX),
            unreachable: hosts().take(NAMED_HOSTS_LIMIT).collect(),
            ..DomainStatus::default()
        }
    }

    /// The state of a domain with respect to the version that this node serves.
    fn domain_status(
        &self,
        domain: &Name,
        domain_state: &DomainState,
        served: VersionId,
    ) -> DomainStatus {
        let reported = version_id_from_wire(domain_state.version_id.as_ref()).unwrap_or_default();
        let spread = Duration::from_millis(u64::from(domain_state.spread_ms));
        let local = self.now.saturating_duration_since(self.store.published_at);
        let elapsed = if reported == served { spread.max(local) } else { local };
        let unfinished =
            if elapsed < SPREAD_TIME { RolloutState::Spreading } else { RolloutState::Behind };
        // Totals for a higher version count members that hold no less than this node.
        let holds = reported.number >= served.number && reported.number > 0;
        let state = if reported.number == served.number && reported.hash != served.hash {
            RolloutState::Refused
        } else if domain_state.partial || domain_state.processes != self.roster.processes(domain) {
            // The relay may not know all members of the domain, or this node knows others, so a
            // member that is not counted may be serving.
            RolloutState::Unknown
        } else if reported == served && domain_state.applied == domain_state.members {
            RolloutState::InForce
        } else {
            unfinished
        };
        DomainStatus {
            domain: domain.clone(),
            state,
            members: domain_state.members,
            applied: if holds { domain_state.applied } else { 0 },
            behind: names(&domain_state.behind).take(NAMED_HOSTS_LIMIT).collect(),
            unreachable: names(&domain_state.unreachable).take(NAMED_HOSTS_LIMIT).collect(),
            highest: reported.number,
        }
    }
}
