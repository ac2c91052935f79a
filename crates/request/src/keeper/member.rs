use dw_tables::Name;
use tokio::time::Instant;

/// Membership state of a daemon.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum MemberState {
    /// It responds.
    #[default]
    Alive,
    /// It missed probes; it remains a keeper until it is declared dead.
    Suspect,
    /// It announced that it is leaving, and takes no new keys.
    Leaving,
    /// It left with an orderly shutdown.
    Left,
    /// It disappeared without an orderly shutdown.
    Dead,
}

/// A daemon, with what is needed to choose keepers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// The host.
    pub host: Name,
    /// The failure domain.
    pub domain: Name,
    /// Membership state.
    pub state: MemberState,
    /// When its process started, according to its first incarnation. If the value becomes later by
    /// more than the clock skew, the daemon was restarted.
    pub started: Instant,
    /// When the state last changed.
    pub changed: Instant,
}
