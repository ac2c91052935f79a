use std::time::SystemTime;

use crate::{Field, LogLevel, Value};

/// Defines the events in one table, so that name, level and documentation cannot get out of step.
macro_rules! kinds {
    ($($(#[doc = $doc:literal])+ $name:ident = $text:literal, $level:ident;)*) => {
        /// What a log line is about; no other names are used.
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

            /// The event of this name, if this release knows it.
            #[must_use]
            pub fn from_name(text: &str) -> Option<Self> {
                match text {
                    $($text => Some(Self::$name),)*
                    _ => None,
                }
            }

            /// What the event says.
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
    /// The process was told to stop; it takes new work for `left_ms` more.
    Stopping = "stopping", Info;
    /// The process refuses new work; `count` requests are in flight.
    Draining = "draining", Info;
    /// The time for requests in flight ended; `count` were cut off.
    GraceEnded = "grace-ended", Warn;
    /// The process stopped in order.
    Stopped = "stopped", Info;
    /// The settings were read again; they are used from the next start.
    SettingsRead = "settings-read", Info;
    /// Settings were refused; those in use stay.
    SettingsRefused = "settings-refused", Warn;
    /// Lines were lost because standard output did not take them; `count` since the line before.
    LinesDropped = "lines-dropped", Warn;
    /// Requests were left out of the log; `count` in the last second, of `reason` `plain`, `refused` or `failed`;
    /// one in `candidates` is kept from now on.
    RequestsSampled = "requests-sampled", Info;
    /// A target was chosen for the request; the fields say on what basis.
    Placed = "placed", Info;
    /// An attempt ended without a response to pass on; `reason` and `outcome` say why.
    AttemptFailed = "attempt-failed", Warn;
    /// After a refusal that reached no target the request goes to another one.
    Moved = "moved", Info;
    /// The request is sent again after `retry_ms`.
    Retried = "retried", Warn;
    /// The request was refused or given up, with the time to return that the caller was told.
    Refused = "refused", Warn;
    /// The response of a target was passed on whole.
    Answered = "answered", Info;
    /// The response ended early.
    Truncated = "truncated", Warn;
    /// The caller went away.
    Cancelled = "cancelled", Warn;
    /// The keeper of a request's key was asked.
    KeeperAsked = "keeper-asked", Info;
    /// The daemon beside a target handed the request over after `wait_ms` in the queue.
    Admitted = "admitted", Info;
    /// The daemon beside a target did not hand the request over.
    TurnedAway = "turned-away", Warn;
    /// The target ended the request.
    Ran = "ran", Info;
    /// What became of the request at the target is not known, or it did not run it.
    NotRun = "not-run", Warn;
    /// A request that was in flight at targets when they died is refused by this daemon.
    Poisoned = "poisoned", Warn;
    /// A target was found dead under a request.
    TargetDied = "target-died", Warn;
    /// A target's own report changed what is known of it.
    TargetReported = "target-reported", Info;
    /// A target's responses say something new: `limited` to `limit` requests a second, `unlimited`,
    /// `leaving`, or `unreadable` where the limit is no number.
    TargetSaid = "target-said", Info;
    /// A target's report was not used: `stale` or `unreadable`.
    ReportIgnored = "report-ignored", Warn;
    /// Requests avoid a target: `failing`, `leaving` or `unreachable`.
    TargetAvoided = "target-avoided", Warn;
    /// Requests go to a target again that was avoided.
    TargetRestored = "target-restored", Info;
    /// A peer admitted the daemon.
    Joined = "joined", Info;
    /// No peer was reached; the daemon acts on its own and goes on looking.
    Alone = "alone", Warn;
    /// The state of a member changed.
    MemberChanged = "member-changed", Info;
    /// The daemon begins or ends to distribute versions to its domain.
    RelayChanged = "relay-changed", Info;
    /// The lease on a relay slot ended.
    LeaseLost = "lease-lost", Warn;
    /// A call to the store failed.
    CallFailed = "call-failed", Debug;
    /// The store does not answer; the first of a series of failed calls.
    StoreLost = "store-lost", Warn;
    /// The store answers again after `count` failed calls.
    StoreRegained = "store-regained", Info;
    /// The store shows a version that is newer than any held.
    VersionSeen = "version-seen", Info;
    /// The rows of a version came from the peer `address`, `took_ms` after they were asked for.
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
    /// A daemon did not take records of keys.
    RecordsRefused = "records-refused", Warn;
    /// A connection could not be accepted.
    AcceptFailed = "accept-failed", Warn;
    /// A detail of the control plane.
    Control = "control", Debug;
}

/// One line of the log before it is written.
#[derive(Clone, Debug)]
pub struct Event {
    /// When it happened.
    pub(crate) time: SystemTime,
    /// What happened.
    pub kind: Kind,
    /// The fields, in the order of the line.
    pub fields: Vec<(Field, Value)>,
}

impl Event {
    /// An event that happens now.
    #[must_use]
    pub fn new(kind: Kind) -> Self {
        // Most events have no more fields, so that one allocation is enough.
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
