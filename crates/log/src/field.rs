use std::fmt::Write as _;

use dw_tables::Name;

/// Defines the fields in one table, so that names and documentation stay in sync.
macro_rules! fields {
    ($($(#[doc = $doc:literal])+ $name:ident = $text:literal;)*) => {
        /// The fields of a log line. No other field names are used.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub enum Field {
            $($(#[doc = $doc])+ $name,)*
        }

        impl Field {
            /// Every field, for the page that lists them.
            pub const ALL: &[Self] = &[$(Self::$name,)*];

            /// The name in the line.
            #[must_use]
            pub const fn as_str(self) -> &'static str {
                match self { $(Self::$name => $text,)* }
            }

            /// What the field holds.
            #[must_use]
            pub const fn meaning(self) -> &'static str {
                match self { $(Self::$name => concat!($($doc),+),)* }
            }
        }
    };
}

fields! {
    /// When it happened, by the clock of the host, RFC 3339.
    Time = "time";
    /// Severity: `error`, `warn`, `info` or `debug`.
    Level = "level";
    /// The host that logs.
    Host = "host";
    /// What happened; see the events.
    Event = "event";
    /// The id of the request.
    Request = "request";
    /// The route that the request takes.
    Route = "route";
    /// The service of the target.
    Service = "service";
    /// The host of the target or daemon that the line is about.
    Target = "target";
    /// The index of the target at its host.
    Index = "index";
    /// The name of a target's incarnation.
    Instance = "instance";
    /// The number of the attempt, from 1.
    Attempt = "attempt";
    /// Why it happened: the reason of a refusal, or one of the words listed with the event.
    Reason = "reason";
    /// Whether the request was run: `run`, `not-run` or `unknown`.
    Outcome = "outcome";
    /// The HTTP status.
    Status = "status";
    /// The state of a member or target.
    State = "state";
    /// The number of the configuration version that was in use or that the line is about.
    Version = "version";
    /// The number of the version that `version` is compared with.
    Floor = "floor";
    /// The incarnation of a member, the start of a target in ms since the Unix epoch, or the revision
    /// of an entry.
    Incarnation = "incarnation";
    /// Targets among which one was chosen.
    Candidates = "candidates";
    /// Requests in flight at the target as known to the daemon that chose it, its own included.
    InFlight = "in_flight";
    /// Requests that the target runs at once.
    Slots = "slots";
    /// Requests a second that the target accepts, as it states itself.
    Limit = "limit";
    /// Requests that waited in the queue of the target.
    Queued = "queued";
    /// The age of what was known about the target's load or state, in ms; missing if nothing was
    /// reported.
    AgeMs = "age_ms";
    /// The wait for a slot in ms; for a refusal, the wait that was expected.
    WaitMs = "wait_ms";
    /// How long a request of its kind was expected to take, in ms.
    ServiceMs = "service_ms";
    /// The time that it took, in ms.
    TookMs = "took_ms";
    /// The time that was left until the deadline, in ms.
    LeftMs = "left_ms";
    /// The delay before a retry, or the one that the caller was told to wait, in ms.
    RetryMs = "retry_ms";
    /// Whether the response missed the latency objective of its route.
    Late = "late";
    /// How many; the event says of what.
    Count = "count";
    /// The size in bytes.
    Bytes = "bytes";
    /// The address of a peer or of the store, or those on which a process listens.
    Address = "address";
    /// The fingerprint of a request, as daemons send it to each other.
    Fingerprint = "print";
    /// The failure domain.
    Domain = "domain";
    /// What a library or the other side reported.
    Detail = "detail";
}

/// The value of a field.
#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    /// One of a fixed set of words.
    Word(&'static str),
    /// A name, which is cheap to clone.
    Name(Name),
    /// Other text.
    Text(String),
    /// A number.
    Number(u64),
    /// A boolean.
    Flag(bool),
}

impl Value {
    pub(crate) fn push_json(&self, out: &mut String) {
        match self {
            Self::Word(text) => push_quoted(text, out),
            Self::Name(name) => push_quoted(name.as_str(), out),
            Self::Text(text) => push_quoted(text, out),
            Self::Number(number) => push(number, out),
            Self::Flag(flag) => push(flag, out),
        }
    }

    pub(crate) fn push_text(&self, out: &mut String) {
        match self {
            Self::Word(text) => out.push_str(text),
            Self::Name(name) if is_plain(name.as_str()) => out.push_str(name.as_str()),
            Self::Text(text) if is_plain(text) => out.push_str(text),
            value => value.push_json(out),
        }
    }
}

/// Whether the text needs no quotes in the text format.
fn is_plain(text: &str) -> bool {
    !text.is_empty() && text.bytes().all(|b| b.is_ascii_graphic() && b != b'"' && b != b'=')
}

fn push(value: &impl std::fmt::Display, out: &mut String) {
    // Writing to a string does not fail.
    let _ = write!(out, "{value}");
}

pub(crate) fn push_quoted(text: &str, out: &mut String) {
    let plain = text.bytes().all(|b| (b' '..0x7f).contains(&b) && b != b'"' && b != b'\\');
    if plain {
        out.push('"');
        out.push_str(text);
        out.push('"');
    } else {
        out.push_str(&serde_json::Value::from(text).to_string());
    }
}

impl From<&'static str> for Value {
    fn from(text: &'static str) -> Self {
        Self::Word(text)
    }
}

impl From<Name> for Value {
    fn from(name: Name) -> Self {
        Self::Name(name)
    }
}

impl From<&Name> for Value {
    fn from(name: &Name) -> Self {
        Self::Name(name.clone())
    }
}

impl From<String> for Value {
    fn from(text: String) -> Self {
        Self::Text(text)
    }
}

impl From<u64> for Value {
    fn from(number: u64) -> Self {
        Self::Number(number)
    }
}

impl From<u32> for Value {
    fn from(number: u32) -> Self {
        Self::Number(number.into())
    }
}

impl From<u16> for Value {
    fn from(number: u16) -> Self {
        Self::Number(number.into())
    }
}

impl From<usize> for Value {
    fn from(number: usize) -> Self {
        Self::Number(u64::try_from(number).unwrap_or(u64::MAX))
    }
}

impl From<bool> for Value {
    fn from(flag: bool) -> Self {
        Self::Flag(flag)
    }
}

impl From<std::time::Duration> for Value {
    fn from(time: std::time::Duration) -> Self {
        Self::Number(u64::try_from(time.as_millis()).unwrap_or(u64::MAX))
    }
}
