use dw_tables::Tombstone;

/// What others know of the targets on this host that left, or were draining, when an earlier process here ended.
///
/// Neither the store nor peers know all of it: a peer may not have been told before the process was
/// killed, and the store may have been down when a target left.
#[derive(Clone, Debug, Default)]
pub struct Departures {
    tombstones: Vec<Tombstone>,
    store: StoreState,
    /// Whether a peer that knew the earlier process has told what it knows.
    peer_told: bool,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum StoreState {
    /// It has not answered yet.
    #[default]
    Asked,
    /// A call to it failed, or there is none.
    Failed,
    Told,
}

impl Departures {
    /// The targets.
    #[must_use]
    pub fn tombstones(&self) -> &[Tombstone] {
        &self.tombstones
    }

    /// Whether no more is expected. The word of a peer suffices only if the store does not answer.
    #[must_use]
    pub const fn is_complete(&self) -> bool {
        match self.store {
            StoreState::Asked => false,
            StoreState::Failed => self.peer_told,
            StoreState::Told => true,
        }
    }

    /// Adds what a peer that knew the earlier process tells.
    pub fn add_from_peer(&mut self, tombstones: Vec<Tombstone>) {
        self.tombstones.extend(tombstones);
        self.peer_told = true;
    }

    /// Adds what the store has.
    pub fn add_from_store(&mut self, tombstones: Vec<Tombstone>) {
        self.tombstones.extend(tombstones);
        self.store = StoreState::Told;
    }

    /// Notes that the store does not answer.
    pub const fn set_store_failed(&mut self) {
        if matches!(self.store, StoreState::Asked) {
            self.store = StoreState::Failed;
        }
    }
}
