use derive_more::Display;

/// Events that a node counts. The display form is the metric label.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Counter {
    /// A version lower than the one served was refused.
    #[display("refused-lower")]
    RefusedLower,
    /// A version that does not descend from the one served was refused.
    #[display("refused-fork")]
    RefusedFork,
    /// A version that fails its checks was refused.
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
    /// A transfer was deferred because too many were under way.
    #[display("transfer-deferred")]
    TransferDeferred,
    /// A pull was not answered in time.
    #[display("pull-timeout")]
    PullTimeout,
    /// The children of a tree node that failed were adopted.
    #[display("adopted")]
    Adopted,
    /// A member was suspected.
    #[display("suspected")]
    Suspected,
    /// A member was declared dead.
    #[display("died")]
    Died,
    /// The node refuted a suspicion about itself.
    #[display("refuted")]
    Refuted,
    /// A join was admitted.
    #[display("join-admitted")]
    JoinAdmitted,
    /// A join was deferred.
    #[display("join-deferred")]
    JoinDeferred,
    /// Member tables were compared in full.
    #[display("members-synced")]
    MembersSynced,
    /// The process was paused for longer than a probe period.
    #[display("paused")]
    Paused,
    /// A standby read a version that no relay had distributed.
    #[display("covered")]
    StandbyRead,
    /// A message could not be used.
    #[display("bad-message")]
    BadMessage,
    /// The platform's head was republished.
    #[display("republished")]
    Republished,
}
