use std::time::SystemTime;

use crate::{Field, LogLevel, Value};

/// Defines the events in one table, so that names, levels and documentation stay in sync.
macro_rules! kinds {
    ($($(#[doc = $doc:literal])+ $name:ident = $text:literal, $level:ident;)*) => {
        /// The kind of an event. Log lines use no other event names.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub enum Kind {
            $($(#[doc = $doc])+ $name,)*
        }

        impl Kind {
            /// Every event, for the page that lists them.
            pub const ALL: &[Self] = &[$(Self::$name,)*];

            /// The name in the line.
            #[must_use]
            pub const fn as_str(self) -> &'static str {
                match self { $(Self::$name => $text,)* }
            }

            /// The severity.
            #[must_use]
            pub const fn level(self) -> LogLevel {
                match self { $(Self::$name => LogLevel::$level,)* }
            }

            /// The event with this name, if this release knows it.
            #[must_use]
            pub fn from_name(text: &str) -> Option<Self> {
                match text {
                    $($text => Some(Self::$name),)*
                    _ => None,
                }
            }

            /// What the event means.
            #[must_use]
            pub const fn meaning(self) -> &'static str {
                match self { $(Self::$name => concat!($($doc),+),)* }
            }
        }
    };
}

kinds! {
    /// The process started; `address` names where it listens.
    Started = "started", Info;
    /// The process was told to stop; it accepts new work for another `left_ms`.
    Stopping = "stopping", Info;
    /// The process refuses new work; `count` requests are in flight.
    Draining = "draining", Info;
    /// The time for requests in flight ended; `count` of them were cut off.
    GraceEnded = "grace-ended", Warn;
    /// The process completed its graceful shutdown.
    Stopped = "stopped", Info;
    /// The settings were read again; they are used from the next start.
    SettingsRead = "settings-read", Info;
    /// Settings were refused; the current ones stay in use.
    SettingsRefused = "settings-refused", Warn;
    /// Lines were lost because standard output did not accept them; `count` since the previous line.
    LinesDropped = "lines-dropped", Warn;
    /// Tasks of the plane `detail` run `wait_ms` after they are due, because others occupy the processor.
    TasksDelayed = "tasks-delayed", Warn;
    /// Requests were left out of the log; `count` in the last second, of `reason` `plain`, `refused` or `failed`;
    /// one in `candidates` is kept from now on.
    RequestsSampled = "requests-sampled", Info;
    /// A target was chosen for the request; the fields say on what basis.
    Placed = "placed", Info;
    /// An attempt ended without a response to pass on; `reason` and `outcome` say why.
    AttemptFailed = "attempt-failed", Warn;
    /// The request was refused before it reached a target and is sent to another one.
    Moved = "moved", Info;
    /// The request is sent again after `retry_ms`.
    Retried = "retried", Warn;
    /// The request was refused or given up; the caller was told to retry after `retry_ms`. For `no-route`, `version`
    /// is the one that has no such route.
    Refused = "refused", Warn;
    /// The response of a target was passed on in full.
    Answered = "answered", Info;
    /// The response ended early.
    Truncated = "truncated", Warn;
    /// The caller disconnected or cancelled the request.
    Cancelled = "cancelled", Warn;
    /// The keeper of the request's idempotency key was asked.
    KeeperAsked = "keeper-asked", Info;
    /// The daemon on the target's host passed the request to the target after `wait_ms` in the queue.
    Admitted = "admitted", Info;
    /// The daemon on the target's host did not pass the request to the target.
    TurnedAway = "turned-away", Warn;
    /// The target completed the request.
    Ran = "ran", Info;
    /// The target did not run the request, or its outcome there is not known.
    NotRun = "not-run", Warn;
    /// This daemon refuses a request that was in flight at targets when they died.
    Poisoned = "poisoned", Warn;
    /// A target answered a request that is refused since it was in flight at targets when they died; all daemons are
    /// told to accept it again.
    PoisonWithdrawn = "poison-withdrawn", Warn;
    /// A request detected that its target had died.
    TargetDied = "target-died", Warn;
    /// A report of a target changed what is known about it.
    TargetReported = "target-reported", Info;
    /// The responses of a target state something new: `limited` to `limit` requests a second, `unlimited`,
    /// `leaving`, or `unreadable` if the limit is not a number.
    TargetSaid = "target-said", Info;
    /// The store told which targets left, or were draining, when an earlier process on this host ended; `count` of them.
    TombstonesRead = "tombstones-read", Info;
    /// The store did not take the record that `count` targets left or are draining; it is written again.
    TombstonesUnsaved = "tombstones-unsaved", Warn;
    /// The operator's configuration cannot be read, or, with a `version`, a part of it is not used as it was written,
    /// such as a number out of range or a name that tables do not accept; at most 32 of one version.
    ConfigFinding = "config-finding", Error;
    /// A report of a target was ignored: `stale`, `unreadable`, `foreign` or `held`. The last three are not acknowledged.
    ReportIgnored = "report-ignored", Warn;
    /// Requests avoid a target: `failing`, `leaving` or `unreachable`.
    TargetAvoided = "target-avoided", Warn;
    /// Requests go again to a target that was avoided.
    TargetRestored = "target-restored", Info;
    /// A peer admitted the daemon.
    Joined = "joined", Info;
    /// No peer could be reached; the daemon works alone and keeps trying.
    Alone = "alone", Warn;
    /// The state of a member changed.
    MemberChanged = "member-changed", Info;
    /// The daemon starts or stops distributing versions to its domain.
    RelayChanged = "relay-changed", Info;
    /// The lease on a relay slot ended.
    LeaseLost = "lease-lost", Warn;
    /// A call to the store failed.
    CallFailed = "call-failed", Debug;
    /// The store does not answer; the first of a series of failed calls.
    StoreLost = "store-lost", Warn;
    /// The store answers again after `count` failed calls.
    StoreRegained = "store-regained", Info;
    /// The store has a version that is newer than any held.
    VersionSeen = "version-seen", Info;
    /// The peer `address` sent the rows of a version `took_ms` after they were requested.
    VersionFetched = "version-fetched", Info;
    /// The peer `address` did not send the rows of a version within `wait_ms`; more peers are asked at once, over new
    /// connections.
    FetchLate = "fetch-late", Warn;
    /// A version is used for requests from now on.
    VersionServed = "version-served", Info;
    /// A version was refused.
    VersionRefused = "version-refused", Error;
    /// A version is not served because the host served a higher one before.
    VersionHeld = "version-held", Warn;
    /// A lower version in the store was replaced.
    VersionRestored = "version-restored", Warn;
    /// Records of keys were handed over to `target`; `count` of them.
    RecordsMoved = "records-moved", Info;
    /// A daemon did not accept records of keys.
    RecordsRefused = "records-refused", Warn;
    /// The UDP port for quotas could not be opened; until then the daemon admits its part of each quota.
    QuotaUnavailable = "quota-unavailable", Warn;
    /// This daemon leads the rollout of `service` to the version `detail`.
    RolloutLed = "rollout-led", Info;
    /// The rollout of `service` to the version `detail` is at the step `state` in the store.
    RolloutStored = "rollout-stored", Info;
    /// The store has lost the latest state of the rollout of `service`, which is written again.
    RolloutRestored = "rollout-restored", Warn;
    /// The state of a rollout could not be read or written; the leader tries again.
    RolloutStoreFailed = "rollout-store-failed", Warn;
    /// `count` per mille of this daemon's requests for `service` go to the version `detail`, at the step `state`.
    RolloutChanged = "rollout-changed", Info;
    /// An order for a rollout was ignored, because it cannot be read.
    RolloutRefused = "rollout-refused", Error;
    /// A connection could not be accepted.
    AcceptFailed = "accept-failed", Warn;
    /// A detail of the control plane.
    Control = "control", Debug;
}

/// The content of one log line.
#[derive(Clone, Debug)]
pub struct Event {
    /// The time of the event.
    pub(crate) time: SystemTime,
    /// The kind of the event.
    pub kind: Kind,
    /// The fields, in the order of the line.
    pub fields: Vec<(Field, Value)>,
}

impl Event {
    /// Creates an event with the current time.
    #[must_use]
    pub fn new(kind: Kind) -> Self {
        // Most events have at most this many fields, so that one allocation is enough.
        Self { time: SystemTime::now(), kind, fields: Vec::with_capacity(10) }
    }

    /// Adds a field.
    #[must_use]
    pub fn with(mut self, field: Field, value: impl Into<Value>) -> Self {
        self.fields.push((field, value.into()));
        self
    }

    /// Adds a field if there is a value.
    #[must_use]
    pub fn with_some(self, field: Field, value: Option<impl Into<Value>>) -> Self {
        match value {
            Some(value) => self.with(field, value),
            None => self,
        }
    }
}
