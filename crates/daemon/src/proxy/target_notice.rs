use std::time::Duration;

use dw_request::Rate;
use http::{HeaderMap, HeaderValue};

use crate::Dialect;

/// Minimum time between two log lines about unreadable limits of one target.
pub(super) const UNREADABLE_LOG_INTERVAL: Duration = Duration::from_secs(60);

/// What a response says about the target itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct TargetNotice {
    /// The rate limit; `None` if there is none or it can't be parsed.
    pub(super) limit: Option<Rate>,
    /// Whether there is a rate limit that can't be parsed, or more than one.
    pub(super) unreadable: bool,
    /// Whether the target is leaving.
    pub(super) leaving: bool,
}

impl TargetNotice {
    /// Reads the headers of a response.
    pub(super) fn read(map: &HeaderMap, dialect: &Dialect) -> Self {
        let mut values = map.get_all(&dialect.limit).iter();
        let (first, second) = (values.next(), values.next());
        let rate = |value: &HeaderValue| value.to_str().ok()?.trim().parse().ok();
        let limit = first.filter(|_| second.is_none()).and_then(rate);
        let unreadable = first.is_some() && limit.is_none();
        let leaving = map.get(&dialect.leaving).is_some_and(|value| value == "1");
        Self { limit, unreadable, leaving }
    }
}
