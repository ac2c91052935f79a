use std::{fmt::Display, str::FromStr};

use http::{HeaderMap, HeaderName, HeaderValue, header};
use tokio::time::Instant;

/// The caller's idempotency key, for a request that may run at most once.
pub(crate) const KEY: HeaderName = HeaderName::from_static("idempotency-key");
/// When the caller first sent the request, in ms since the Unix epoch.
pub(crate) const FIRST_SENT: HeaderName = HeaderName::from_static("damaskwick-first-sent");
/// The home failure domain of a key.
pub(crate) const HOME: HeaderName = HeaderName::from_static("damaskwick-home");
/// Time left for the whole response, in ms.
pub(crate) const TIMEOUT: HeaderName = HeaderName::from_static("damaskwick-timeout-ms");
/// The time after which a target must not start the request, in ms since the Unix epoch.
pub(crate) const DEADLINE: HeaderName = HeaderName::from_static("damaskwick-deadline");
/// Number of calls above this one in the call chain.
pub(crate) const DEPTH: HeaderName = HeaderName::from_static("damaskwick-depth");
/// Whether another level of the call chain retries the request.
pub(crate) const RETRIED: HeaderName = HeaderName::from_static("damaskwick-retried");
/// The service that the target must run, between daemons.
pub(crate) const SERVICE: HeaderName = HeaderName::from_static("damaskwick-service");
/// Context of a request for the daemon on the target's host, between daemons.
pub(crate) const HOP_CONTEXT: HeaderName = HeaderName::from_static("damaskwick-leg");
/// The operation that the receiving daemon is asked for, between daemons.
pub(crate) const STEP: HeaderName = HeaderName::from_static("damaskwick-step");
/// The name of the request's workspace, to a keeper. It is also the default header for targets.
pub(crate) const WORKSPACE: HeaderName = HeaderName::from_static("damaskwick-workspace");
/// The fingerprint of the request, between daemons.
pub(crate) const FINGERPRINT: HeaderName = HeaderName::from_static("damaskwick-fingerprint");
/// The host that sends the request, between daemons.
pub(crate) const FROM: HeaderName = HeaderName::from_static("damaskwick-from");
/// Time since the daemon of the sending host started, in ms, between daemons.
pub(crate) const FROM_AGE: HeaderName = HeaderName::from_static("damaskwick-from-age-ms");
/// A daemon that has already been asked for the record of the key, between daemons; one header each.
pub(crate) const ASKED: HeaderName = HeaderName::from_static("damaskwick-asked");
/// Whether these are the last records that are handed over, between daemons.
pub(crate) const LAST: HeaderName = HeaderName::from_static("damaskwick-last");
/// Digest of the set of daemons among which records are divided, between daemons.
pub(crate) const SUCCESSORS: HeaderName = HeaderName::from_static("damaskwick-heirs");
/// The load of a target, on responses between daemons.
pub(crate) const LOAD: HeaderName = HeaderName::from_static("damaskwick-load");
/// Counter of the target's deaths, on responses between daemons.
pub(crate) const DEATH: HeaderName = HeaderName::from_static("damaskwick-death");
/// Whether the request was run.
pub(crate) const OUTCOME: HeaderName = HeaderName::from_static("damaskwick-outcome");
/// Why the request was refused.
pub(crate) const REASON: HeaderName = HeaderName::from_static("damaskwick-reason");

const PREFIX: &str = "damaskwick-";

/// Hop-by-hop headers, which are not forwarded (RFC 9110, section 7.6.1).
const HOP_BY_HOP: [HeaderName; 8] = [
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    // The proxy itself sends `100 Continue`.
    header::EXPECT,
];

/// Hop-by-hop headers without a constant in the `http` crate.
const HOP_BY_HOP_NAMES: [&str; 3] = ["keep-alive", "proxy-connection", "http2-settings"];

/// Removes the hop-by-hop headers, including those listed in `Connection`.
pub(crate) fn strip_hop_by_hop(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|text| text.split(','))
        .filter_map(|name| HeaderName::from_str(name.trim()).ok())
        .collect();
    for name in named.iter().chain(&HOP_BY_HOP) {
        headers.remove(name);
    }
    for name in HOP_BY_HOP_NAMES {
        headers.remove(name);
    }
}

/// Removes all headers with our own prefix, so that one sent by a caller or a target is not mistaken
/// for one of a daemon.
pub(crate) fn strip_own(headers: &mut HeaderMap) {
    let own: Vec<HeaderName> =
        headers.keys().filter(|name| name.as_str().starts_with(PREFIX)).cloned().collect();
    for name in own {
        headers.remove(name);
    }
}

/// Reads a header; `None` if it is missing or malformed.
pub(crate) fn read<T: FromStr>(headers: &HeaderMap, name: &HeaderName) -> Option<T> {
    headers.get(name)?.to_str().ok()?.trim().parse().ok()
}

/// Sets a header, unless the text is not valid as a header value.
pub(crate) fn set(headers: &mut HeaderMap, name: HeaderName, value: impl Into<Text>) {
    if let Ok(value) = HeaderValue::try_from(value.into().0) {
        headers.insert(name, value);
    }
}

/// Sets a header whose value differs with each request. It is marked as sensitive, which keeps it out
/// of the HPACK table of an HTTP/2 connection, where it would evict values that repeat.
pub(crate) fn set_unindexed(headers: &mut HeaderMap, name: HeaderName, value: impl Into<Text>) {
    if let Ok(mut value) = HeaderValue::try_from(value.into().0) {
        value.set_sensitive(true);
        headers.insert(name, value);
    }
}

/// Marks an existing header as one whose value differs with each request, see [`set_unindexed`].
pub(crate) fn mark_unindexed(headers: &mut HeaderMap, name: &HeaderName) {
    if let Some(value) = headers.get_mut(name) {
        value.set_sensitive(true);
    }
}

/// The text of a header value.
pub(crate) struct Text(String);

impl<T: Display> From<T> for Text {
    fn from(value: T) -> Self {
        Self(value.to_string())
    }
}

/// The time left until `deadline`, in whole ms.
pub(crate) fn ms_left(deadline: Instant) -> u128 {
    deadline.saturating_duration_since(Instant::now()).as_millis()
}
