use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet, HashMap},
};

use tokio::time::Instant;

use crate::{Reason, Ticket};

/// The order in which queued requests run: short requests before all others, then requests that can
/// still meet their objective, then deeper calls, then more urgent requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Rank {
    /// Whether the request is short.
    pub(crate) short: Reverse<bool>,
    /// Whether the request can no longer meet its objective.
    pub(crate) late: bool,
    /// Number of calls above the request in the call chain.
    pub(crate) depth: Reverse<u8>,
    /// Smaller values are more urgent.
    pub(crate) urgency: Instant,
}

/// Rank, then ticket number, so that older requests go first within a rank.
type Position = (Rank, u64);

/// A request that waits for a slot.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Waiting<T> {
    /// When the request is refused if it still waits.
    pub(crate) expires: Instant,
    /// The reason of that refusal.
    pub(crate) reason: Reason,
    /// The queued request.
    pub(crate) item: T,
}

/// Requests that wait for a slot, by rank and age. [`Self::ahead`] and [`Self::remove_late`] take linear
/// time, all other operations logarithmic time.
#[derive(Debug)]
pub(crate) struct WaitQueue<T> {
    entries: BTreeMap<Position, Waiting<T>>,
    expiries: BTreeSet<(Instant, Position)>,
    tickets: HashMap<u64, Rank>,
}

impl<T> WaitQueue<T> {
    pub(crate) fn new() -> Self {
        Self { entries: BTreeMap::new(), expiries: BTreeSet::new(), tickets: HashMap::new() }
    }

    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Requests that run before a new one of this rank. Linear time is acceptable: the queue is short.
    pub(crate) fn ahead(&self, rank: Rank) -> impl Iterator<Item = &T> {
        self.entries.range(..=(rank, u64::MAX)).map(|(_, waiting)| &waiting.item)
    }

    pub(crate) fn push(&mut self, ticket: Ticket, rank: Rank, waiting: Waiting<T>) {
        let at = (rank, ticket.0);
        self.expiries.insert((waiting.expires, at));
        self.entries.insert(at, waiting);
        self.tickets.insert(ticket.0, rank);
    }

    /// Removes the request that runs next.
    pub(crate) fn pop(&mut self) -> Option<(Ticket, Waiting<T>)> {
        let at = *self.entries.first_key_value()?.0;
        self.remove_at(at)
    }

    /// Removes the last request if `rank` precedes it by more than urgency.
    pub(crate) fn pop_lower_ranked(&mut self, rank: Rank) -> Option<(Ticket, Waiting<T>)> {
        let at = *self.entries.last_key_value()?.0;
        let last = at.0;
        let class = |rank: Rank| (rank.short, rank.late, rank.depth);
        if class(last) > class(rank) { self.remove_at(at) } else { None }
    }

    /// Removes a request whose time in the queue has expired.
    pub(crate) fn pop_expired(&mut self, now: Instant) -> Option<(Ticket, Waiting<T>)> {
        let (until, at) = *self.expiries.first()?;
        if until <= now { self.remove_at(at) } else { None }
    }

    /// Removes the request with this ticket.
    pub(crate) fn remove(&mut self, ticket: Ticket) -> Option<Waiting<T>> {
        let rank = *self.tickets.get(&ticket.0)?;
        self.remove_at((rank, ticket.0)).map(|(_, waiting)| waiting)
    }

    /// Removes the requests whose turn comes too late. `is_late` decides from the number of requests ahead
    /// and the time at which the request expires.
    pub(crate) fn remove_late(
        &mut self,
        is_late: impl Fn(u32, Instant) -> bool,
    ) -> Vec<(Ticket, Waiting<T>)> {
        let mut ahead = 0;
        let mut late = Vec::new();
        for (at, waiting) in &self.entries {
            match is_late(ahead, waiting.expires) {
                true => late.push(*at),
                false => ahead += 1,
            }
        }
        late.into_iter().filter_map(|at| self.remove_at(at)).collect()
    }

    /// When the next request expires.
    pub(crate) fn deadline(&self) -> Option<Instant> {
        self.expiries.first().map(|(until, _)| *until)
    }

    fn remove_at(&mut self, at: Position) -> Option<(Ticket, Waiting<T>)> {
        let waiting = self.entries.remove(&at)?;
        self.expiries.remove(&(waiting.expires, at));
        self.tickets.remove(&at.1);
        Some((Ticket(at.1), waiting))
    }
}
