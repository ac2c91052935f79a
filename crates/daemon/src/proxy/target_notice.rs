use std::time::Duration;

use dw_request::Rate;
use http::{HeaderMap, HeaderValue};

use crate::Dialect;

/// The shortest time between two log lines about limits of one target that cannot be read.
pub(super) const COMPLAINT_PAUSE: Duration = Duration::from_secs(60);

/// What a response of a target says about the target itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Notice {
    /// The rate that it takes; `None` if it names none, or none that can be read.
    pub(super) limit: Option<Rate>,
    /// Whether it names a rate that cannot be read, or several.
    pub(super) unreadable: bool,
    /// Whether it is leaving.
    pub(super) leaving: bool,
}

impl Notice {
    /// Reads the headers of a response.
    pub(super) fn read(map: &HeaderMap, dialect: &Dialect) -> Self {
        let mut named = map.get_all(&dialect.limit).iter();
        let (first, second) = (named.next(), named.next());
        let rate = |value: &HeaderValue| value.to_str().ok()?.trim().parse().ok();
        let limit = first.filter(|_| second.is_none()).and_then(rate);
        let unreadable = first.is_some() && limit.is_none();
        let leaving = map.get(&dialect.leaving).is_some_and(|value| value == "1");
        Self { limit, unreadable, leaving }
    }
}
