use std::{collections::HashSet, fmt::Display};

use crate::{Bounds, KeyHash, MAX_REQUEST_RATE, Millis, Name, Share, field::Value};

/// The maximum length of the name of a row or service.
pub const MAX_NAME_BYTES: usize = 64;
/// The maximum length of a host, as in the domain name system.
pub const MAX_HOST_BYTES: usize = 253;
/// The maximum length of a path prefix. A longer one does not fit into a request whose head has at most 16 KiB.
pub const MAX_PATH_BYTES: usize = 16 << 10;
/// The methods a route may list.
pub const METHODS: [&str; 7] = ["DELETE", "GET", "HEAD", "OPTIONS", "PATCH", "POST", "PUT"];

/// The kind of values that a field accepts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FieldKind {
    /// The name of a row or of a service.
    Name,
    /// The host of a request, or empty.
    Host,
    /// A path prefix.
    Path,
    /// A list of request methods.
    Methods,
    /// A list of pools with their weights.
    Shares,
    /// One of the listed values.
    Choice(&'static [&'static str]),
    /// A whole number.
    Count(Bounds),
    /// A duration in ms.
    Time(Bounds),
    /// A list of hashes of keys.
    Keys,
    /// A whole number, or null for none.
    Rank(Bounds),
    /// Requests per second.
    Rate,
    /// True or false.
    Flag,
}

impl FieldKind {
    /// Describes the accepted values, in the words of findings and of `docs/tables.md`.
    #[must_use]
    pub fn accepted(self) -> String {
        match self {
            Self::Name => format!(
                "a text of 1 to {MAX_NAME_BYTES} letters, digits, '.', '_' or '-' that starts with a \
                 letter or digit"
            ),
            Self::Host => format!(
                "\"\" for any host, or a host name in lower case without port, of at most \
                 {MAX_HOST_BYTES} bytes"
            ),
            Self::Path => format!(
                "\"/\", or a path such as \"/credits/new\" without '/' at the end, empty or dot \
                 segments, query or fragment, of at most {MAX_PATH_BYTES} bytes"
            ),
            Self::Methods => {
                format!("[] for any method, or a list of different ones of {}", METHODS.join(", "))
            }
            Self::Shares => {
                "[] for no split, or a list of pools with their weights, such as \"ledger=90\", each \
                 pool once"
                    .to_owned()
            }
            Self::Choice(list) => {
                let list: Vec<String> = list.iter().map(|one| format!("{one:?}")).collect();
                format!("one of {}", list.join(", "))
            }
            Self::Count(bounds) => format!("a whole number from {bounds}"),
            Self::Keys => {
                "[] for none, or a list of different SHA-256 hashes of 64 hexadecimal digits"
                    .to_owned()
            }
            Self::Rank(bounds) => format!("null, or a whole number from {bounds}"),
            Self::Rate => {
                format!("a number from 0 to {MAX_REQUEST_RATE} with at most three decimals")
            }
            Self::Flag => "true or false".to_owned(),
            Self::Time(Bounds { min, max }) => {
                let (min, max) = (Millis::new(min), Millis::new(max));
                format!("a duration from {min} to {max}, as a whole number and ms, s, m or h")
            }
        }
    }

    /// Why `value` is not accepted; `None` if it is.
    pub(crate) fn value_error(self, value: Value<'_>) -> Option<String> {
        match (self, value) {
            (Self::Name, Value::Text(text)) => name_error(text),
            (Self::Host, Value::Text(text)) => host_error(text),
            (Self::Path, Value::Text(text)) => path_error(text),
            (Self::Methods, Value::List(list)) => methods_error(list),
            (Self::Shares, Value::Shares(list)) => shares_error(list),
            (Self::Count(bounds), Value::Count(count)) => bounds_error(bounds, count, count),
            (Self::Keys, Value::Keys(list)) => keys_error(list),
            (Self::Rank(bounds), Value::Rank(Some(rank))) => {
                bounds_error(bounds, u64::from(rank), rank)
            }
            (Self::Time(bounds), Value::Time(time)) => bounds_error(bounds, time.get(), time),
            _ => None,
        }
    }
}

fn bounds_error(bounds: Bounds, value: u64, shown: impl Display) -> Option<String> {
    match value {
        0 if bounds.min > 0 => Some(format!("{shown} is a limit of zero")),
        v if v < bounds.min => Some(format!("{shown} is too small")),
        v if v > bounds.max => Some(format!("{shown} is too large")),
        _ => None,
    }
}

/// Why `text` is not a name of a row, service, host, failure domain or region; `None` if it is one.
pub fn name_error(text: &str) -> Option<String> {
    if text.is_empty() {
        return Some("the name is empty".to_owned());
    }
    if text.len() > MAX_NAME_BYTES {
        return Some(format!("the name has {} bytes", text.len()));
    }
    let inner = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'.' | b'_' | b'-');
    let valid = text.bytes().all(inner) && text.as_bytes()[0].is_ascii_alphanumeric();
    (!valid).then(|| format!("{text:?} is not a name"))
}

pub(crate) fn host_error(text: &str) -> Option<String> {
    if text.len() > MAX_HOST_BYTES {
        return Some(format!("the host has {} bytes", text.len()));
    }
    let label = |label: &str| {
        let inner = |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit() || b == b'-';
        !label.is_empty()
            && !label.starts_with('-')
            && !label.ends_with('-')
            && label.bytes().all(inner)
    };
    let valid = text.is_empty() || text.split('.').all(label);
    (!valid).then(|| format!("{text:?} is not a host name"))
}

pub(crate) fn path_error(text: &str) -> Option<String> {
    if text.len() > MAX_PATH_BYTES {
        return Some(format!("the path has {} bytes", text.len()));
    }
    if text == "/" {
        return None;
    }
    let Some(rest) = text.strip_prefix('/') else {
        return Some(format!("the path {text:?} does not start with '/'"));
    };
    let valid = rest.split('/').all(is_segment);
    (!valid).then(|| format!("{text:?} is not a path prefix"))
}

/// Whether the path of a row may have this segment.
pub(crate) fn is_segment(text: &str) -> bool {
    let inner = |b: u8| b.is_ascii_graphic() && !matches!(b, b'?' | b'#');
    !matches!(text, "" | "." | "..") && text.bytes().all(inner)
}

fn methods_error(list: &[Name]) -> Option<String> {
    let mut seen = HashSet::new();
    list.iter().find_map(|method| match method.as_str() {
        text if !METHODS.contains(&text) => Some(format!("{text:?} is not a known method")),
        text if !seen.insert(text) => Some(format!("method {text:?} is listed twice")),
        _ => None,
    })
}

fn shares_error(list: &[Share]) -> Option<String> {
    let mut seen = HashSet::new();
    list.iter().find_map(|share| match name_error(&share.pool) {
        Some(error) => Some(error),
        None if !seen.insert(&share.pool) => {
            Some(format!("pool {:?} is listed twice", share.pool.as_str()))
        }
        None => None,
    })
}

/// The message names the position of a key in the list, never the key.
fn keys_error(list: &[KeyHash]) -> Option<String> {
    let mut seen = HashSet::new();
    list.iter().enumerate().find_map(|(idx, hash)| match idx + 1 {
        number if hash.is_of_empty() => Some(format!("key {number} is the hash of an empty key")),
        number if !seen.insert(hash) => Some(format!("key {number} is listed twice")),
        _ => None,
    })
}
