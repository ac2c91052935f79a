use derive_more::Display;

/// The events that a node counts. The `Display` form is the label value in the metrics.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Counter {
    /// A version lower than the one served was refused.
    #[display("refused-lower")]
    RefusedLower,
    /// A version that does not descend from the one served was refused.
    #[display("refused-fork")]
    RefusedFork,
    /// A version that failed validation was refused.
    #[display("refused-invalid")]
    RefusedInvalid,
    /// A platform call failed.
    #[display("platform-failed")]
    PlatformFailed,
    /// A version was published.
    #[display("published")]
    Published,
    /// A delta was sent.
    #[display("delta-sent")]
    DeltaSent,
    /// A snapshot was sent.
    #[display("snapshot-sent")]
    SnapshotSent,
    /// A transfer was deferred because too many were in progress.
    #[display("transfer-deferred")]
    TransferDeferred,
    /// A pull timed out.
    #[display("pull-timeout")]
    PullTimeout,
    /// The children of a failed tree node were adopted.
    #[display("adopted")]
    Adopted,
    /// A member was suspected.
    #[display("suspected")]
    Suspected,
    /// A member was declared dead.
    #[display("died")]
    Died,
    /// The node refuted a record about itself, such as a suspicion.
    #[display("refuted")]
    Refuted,
    /// A join was admitted.
    #[display("join-admitted")]
    JoinAdmitted,
    /// A join was deferred.
    #[display("join-deferred")]
    JoinDeferred,
    /// The member table was compared in full with that of a peer.
    #[display("members-synced")]
    MembersSynced,
    /// The process was paused for longer than a probe period.
    #[display("paused")]
    Paused,
    /// A standby read a version that no relay had distributed.
    #[display("covered")]
    StandbyRead,
    /// A malformed message was dropped.
    #[display("bad-message")]
    BadMessage,
    /// The platform's head was overwritten with the version served.
    #[display("republished")]
    Republished,
}
