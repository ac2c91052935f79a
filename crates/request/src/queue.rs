use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet, HashMap},
};

use tokio::time::Instant;

use crate::{Reason, Ticket};

/// Depths that are told apart; deeper calls count as the deepest.
const DEPTHS: u8 = 16;

/// The deepest call first, then the oldest.
type Position = (Reverse<u8>, u64);

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

/// Requests that wait for a slot, by depth and age. Every operation takes logarithmic time.
#[derive(Debug)]
pub(crate) struct WaitQueue<T> {
    list: BTreeMap<Position, Waiting<T>>,
    until: BTreeSet<(Instant, Position)>,
    tickets: HashMap<u64, u8>,
    depths: [usize; DEPTHS as usize],
}

impl<T> WaitQueue<T> {
    pub(crate) fn new() -> Self {
        Self {
            list: BTreeMap::new(),
            until: BTreeSet::new(),
            tickets: HashMap::new(),
            depths: [0; DEPTHS as usize],
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.list.len()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.list.is_empty()
    }

    /// Requests that run before a new one of this depth.
    pub(crate) fn ahead(&self, depth: u8) -> usize {
        self.depths[usize::from(cap(depth))..].iter().sum()
    }

    pub(crate) fn push(&mut self, ticket: Ticket, depth: u8, waiting: Waiting<T>) {
        let depth = cap(depth);
        let at = (Reverse(depth), ticket.0);
        self.until.insert((waiting.until, at));
        self.list.insert(at, waiting);
        self.tickets.insert(ticket.0, depth);
        self.depths[usize::from(depth)] += 1;
    }

    /// Takes the request that runs next.
    pub(crate) fn pop(&mut self) -> Option<(Ticket, Waiting<T>)> {
        let at = *self.list.first_key_value()?.0;
        self.take(at)
    }

    /// Takes the newest of the shallowest requests if it is less deep than `depth`.
    pub(crate) fn pop_below(&mut self, depth: u8) -> Option<(Ticket, Waiting<T>)> {
        let at = *self.list.last_key_value()?.0;
        if at.0.0 < cap(depth) { self.take(at) } else { None }
    }

    /// Takes a request whose time is over.
    pub(crate) fn pop_expired(&mut self, now: Instant) -> Option<(Ticket, Waiting<T>)> {
        let (until, at) = *self.until.first()?;
        if until <= now { self.take(at) } else { None }
    }

    /// Takes the request with this ticket.
    pub(crate) fn remove(&mut self, ticket: Ticket) -> Option<Waiting<T>> {
        let depth = *self.tickets.get(&ticket.0)?;
        self.take((Reverse(depth), ticket.0)).map(|(_, waiting)| waiting)
    }

    /// When the first request is refused.
    pub(crate) fn deadline(&self) -> Option<Instant> {
        self.until.first().map(|(until, _)| *until)
    }

    fn take(&mut self, at: Position) -> Option<(Ticket, Waiting<T>)> {
        let waiting = self.list.remove(&at)?;
        self.until.remove(&(waiting.until, at));
        self.tickets.remove(&at.1);
        let count = &mut self.depths[usize::from(at.0.0)];
        *count = count.saturating_sub(1);
        Some((Ticket(at.1), waiting))
    }
}

const fn cap(depth: u8) -> u8 {
    if depth >= DEPTHS { DEPTHS - 1 } else { depth }
}
