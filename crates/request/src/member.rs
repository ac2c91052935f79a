use dw_tables::Name;
use tokio::time::Instant;

/// What membership says about a daemon.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum MemberState {
    /// It responds.
    #[default]
    Alive,
    /// It missed probes; it is still a keeper until it is declared dead.
    Suspect,
    /// It announced that it leaves and takes no new keys.
    Leaving,
    /// It left after an orderly shutdown.
    Left,
    /// It is gone without one.
    Dead,
}

/// A daemon as far as the choice of keepers is concerned.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// The host.
    pub host: Name,
    /// The failure domain.
    pub domain: Name,
    /// Membership state.
    pub state: MemberState,
    /// When its process started, as its first incarnation states. A value that is later by more
    /// than the clock skew means that the host was restarted.
    pub started: Instant,
    /// When the state last changed.
    pub changed: Instant,
}
