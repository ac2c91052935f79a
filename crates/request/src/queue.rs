use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet, HashMap},
};

use tokio::time::Instant;

use crate::{Reason, Ticket};

/// Which of the waiting requests runs first: one that takes little time before all others, then one
/// that can still end within its objective, then the deepest call, then the most urgent one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Rank {
    /// Whether its work is short.
    pub(crate) short: Reverse<bool>,
    /// Whether it can no longer end within its objective.
    pub(crate) late: bool,
    /// Calls above it in the chain.
    pub(crate) depth: Reverse<u8>,
    /// The smaller, the more urgent.
    pub(crate) urgency: Instant,
}

/// Rank, then age.
type Position = (Rank, u64);

/// A request that waits for a slot.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Waiting<T> {
    /// When it is refused.
    pub(crate) until: Instant,
    /// Why it is refused then.
    pub(crate) reason: Reason,
    /// What runs.
    pub(crate) item: T,
}

/// Requests that wait for a slot, by rank and age. Every operation but [`Self::ahead`] takes
/// logarithmic time.
#[derive(Debug)]
pub(crate) struct WaitQueue<T> {
    list: BTreeMap<Position, Waiting<T>>,
    until: BTreeSet<(Instant, Position)>,
    tickets: HashMap<u64, Rank>,
}

impl<T> WaitQueue<T> {
    pub(crate) fn new() -> Self {
        Self { list: BTreeMap::new(), until: BTreeSet::new(), tickets: HashMap::new() }
    }

    pub(crate) fn len(&self) -> usize {
        self.list.len()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.list.is_empty()
    }

    /// Requests that run before a new one of this rank. Takes linear time; the queue is short.
    pub(crate) fn ahead(&self, rank: Rank) -> impl Iterator<Item = &T> {
        self.list.range(..=(rank, u64::MAX)).map(|(_, waiting)| &waiting.item)
    }

    pub(crate) fn push(&mut self, ticket: Ticket, rank: Rank, waiting: Waiting<T>) {
        let at = (rank, ticket.0);
        self.until.insert((waiting.until, at));
        self.list.insert(at, waiting);
        self.tickets.insert(ticket.0, rank);
    }

    /// Takes the request that runs next.
    pub(crate) fn pop(&mut self) -> Option<(Ticket, Waiting<T>)> {
        let at = *self.list.first_key_value()?.0;
        self.take(at)
    }

    /// Takes the last request if `rank` goes before it for more than its urgency.
    pub(crate) fn pop_below(&mut self, rank: Rank) -> Option<(Ticket, Waiting<T>)> {
        let at = *self.list.last_key_value()?.0;
        let last = at.0;
        let class = |rank: Rank| (rank.short, rank.late, rank.depth);
        if class(last) > class(rank) { self.take(at) } else { None }
    }

    /// Takes a request whose time is over.
    pub(crate) fn pop_expired(&mut self, now: Instant) -> Option<(Ticket, Waiting<T>)> {
        let (until, at) = *self.until.first()?;
        if until <= now { self.take(at) } else { None }
    }

    /// Takes the request with this ticket.
    pub(crate) fn remove(&mut self, ticket: Ticket) -> Option<Waiting<T>> {
        let rank = *self.tickets.get(&ticket.0)?;
        self.take((rank, ticket.0)).map(|(_, waiting)| waiting)
    }

    /// Takes the requests whose turn comes too late, as `is_late` says of the number of requests before one
    /// and the moment at which it is refused.
    pub(crate) fn take_late(
        &mut self,
        is_late: impl Fn(u32, Instant) -> bool,
    ) -> Vec<(Ticket, Waiting<T>)> {
        let mut ahead = 0;
        let mut late = Vec::new();
        for (at, waiting) in &self.list {
            match is_late(ahead, waiting.until) {
                true => late.push(*at),
                false => ahead += 1,
            }
        }
        late.into_iter().filter_map(|at| self.take(at)).collect()
    }

    /// When the first request is refused.
    pub(crate) fn deadline(&self) -> Option<Instant> {
        self.until.first().map(|(until, _)| *until)
    }

    fn take(&mut self, at: Position) -> Option<(Ticket, Waiting<T>)> {
        let waiting = self.list.remove(&at)?;
        self.until.remove(&(waiting.until, at));
        self.tickets.remove(&at.1);
        Some((Ticket(at.1), waiting))
    }
}
