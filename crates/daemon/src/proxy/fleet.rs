use std::{collections::HashMap, sync::Arc, time::Duration};

use dw_mesh::{DomainMembers, Member, MemberState, MemberTable};
use dw_request::{Endpoint, EndpointState, Ranking, home_domain};
use dw_tables::Name;
use tokio::time::Instant;

use crate::clock::unix_ms;

/// The members of the fleet in the forms that `dw_request` takes.
pub(super) struct Fleet {
    own: Arc<Member>,
    table: Arc<MemberTable>,
    domains: Ranking,
    rankings: HashMap<Name, Ranking>,
    states: HashMap<Name, (MemberState, u64, Instant)>,
    base: Instant,
    base_ms: u64,
}

impl Fleet {
    /// A fleet that consists of this daemon only.
    pub(super) fn new(own: Member) -> Self {
        let (own, table) = (Arc::new(own), Arc::default());
        let (base, base_ms) = (Instant::now(), unix_ms());
        Self {
            own,
            table,
            domains: Ranking::default(),
            rankings: HashMap::new(),
            states: HashMap::new(),
            base,
            base_ms,
        }
    }

    /// Sets a new membership table. This daemon is included even before it has joined.
    pub(super) fn set(&mut self, table: &Arc<MemberTable>, now: Instant) {
        let mut table = table.clone();
        let own = &self.own;
        if table.get(&own.domain, &own.host).is_none() {
            let domains = &mut Arc::make_mut(&mut table).domains;
            let domain: &mut Arc<DomainMembers> = domains.entry(own.domain.clone()).or_default();
            Arc::make_mut(domain).insert(own.host.clone(), own.clone());
        }
        let mut states = HashMap::with_capacity(table.len());
        for member in table.iter() {
            let (state, started) = (member.state, member.started);
            let old = self.states.get(&member.host).filter(|o| (o.0, o.1) == (state, started));
            let changed = old.map_or(now, |old| old.2);
            states.insert(member.host.clone(), (state, started, changed));
        }
        (self.states, self.table) = (states, table);
        let domains = &self.table.domains;
        self.domains = Ranking::new(domains.keys().cloned());
        let rank = |(domain, hosts): (&Name, &Arc<DomainMembers>)| {
            let fit = hosts.values().filter(|member| is_keeper(member.state));
            (domain.clone(), Ranking::new(fit.map(|member| member.host.clone())))
        };
        self.rankings = domains.iter().map(rank).collect();
    }

    /// The current membership table.
    pub(super) fn table(&self) -> Arc<MemberTable> {
        self.table.clone()
    }

    /// The keeper of a key. The key's home domain is the stated one or, for a local caller, this
    /// daemon's.
    pub(super) fn keeper(
        &self,
        key: &str,
        stated: Option<&Name>,
        local: bool,
    ) -> Option<Arc<Member>> {
        let local = local.then_some(&self.own.domain);
        let home = home_domain(key, stated, local, &self.domains)?;
        let host = self.rankings.get(home)?.first(key)?;
        self.table.get(home, host).cloned()
    }

    /// The targets of all members.
    pub(super) fn endpoints(&self) -> Vec<Endpoint> {
        let mut list = Vec::new();
        for member in self.table.iter() {
            for target in &member.targets {
                let started = if target.started == 0 { member.started } else { target.started };
                let since = self.instant_of(started);
                let leaving = target.draining && member.state == MemberState::Alive;
                list.push(Endpoint {
                    host: member.host.clone(),
                    target: u16::try_from(target.index).unwrap_or(u16::MAX),
                    service: target.service.clone(),
                    domain: member.domain.clone(),
                    region: member.region.clone(),
                    addr: member.data,
                    slots: target.slots,
                    connections: target.connections,
                    state: if leaving {
                        EndpointState::Leaving
                    } else {
                        endpoint_state(member.state)
                    },
                    started: since,
                    version: target.version.clone(),
                    warm: target.warm.map(|warm| self.instant_of(warm)),
                });
            }
        }
        list
    }

    /// All members, in the form in which the choice of keepers uses them.
    pub(super) fn keeper_members(&self) -> Vec<dw_request::Member> {
        let view = |member: &Arc<Member>| dw_request::Member {
            host: member.host.clone(),
            domain: member.domain.clone(),
            state: keeper_state(member.state),
            started: self.instant_of(member.started),
            changed: self.states.get(&member.host).map_or(self.base, |state| state.2),
        };
        self.table.iter().map(view).collect()
    }

    /// Converts a wall-clock time in ms; equal times give equal instants.
    fn instant_of(&self, ms: u64) -> Instant {
        if ms >= self.base_ms {
            return self.base + Duration::from_millis(ms - self.base_ms);
        }
        let ago = Duration::from_millis(self.base_ms - ms);
        // The subtraction fails for times before the host booted, of which only equality matters.
        self.base.checked_sub(ago).unwrap_or(self.base)
    }
}

/// Whether a daemon in this state can be a keeper.
const fn is_keeper(state: MemberState) -> bool {
    matches!(state, MemberState::Alive | MemberState::Suspect)
}

const fn endpoint_state(state: MemberState) -> EndpointState {
    match state {
        MemberState::Alive => EndpointState::Alive,
        MemberState::Suspect => EndpointState::Suspect,
        MemberState::Leaving => EndpointState::Leaving,
        MemberState::Dead | MemberState::Left => EndpointState::Dead,
    }
}

const fn keeper_state(state: MemberState) -> dw_request::MemberState {
    match state {
        MemberState::Alive => dw_request::MemberState::Alive,
        MemberState::Suspect => dw_request::MemberState::Suspect,
        MemberState::Leaving => dw_request::MemberState::Leaving,
        MemberState::Left => dw_request::MemberState::Left,
        MemberState::Dead => dw_request::MemberState::Dead,
    }
}
