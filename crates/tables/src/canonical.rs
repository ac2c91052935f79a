//! The forms in which rows hold names, hosts and paths of another system that has fewer rules for them.
//!
//! What rows accept keeps its text, and with it the hash of the tables. The rest is represented by something that
//! rows accept, so that daemons of any release can take the rows over.

use std::{borrow::Cow, fmt::Write};

use percent_encoding::{NON_ALPHANUMERIC, percent_decode_str, utf8_percent_encode};
use sha2::{Digest, Sha256};

use crate::{
    Name,
    kind::{host_error, is_segment, name_error, path_error},
};

/// The number of bytes of a text's hash in what represents it.
const HASH_BYTES: usize = 16;

/// Marks a segment of a path that is percent-encoded, because rows do not accept it as it is.
const ENCODED_SEGMENT: &str = "%~";

/// The host as rows hold it, by which hosts of requests are compared too: in lower case, without the dot of the DNS
/// root at its end, and with letters outside ASCII encoded (IDNA, RFC 5891). A text that is not a host name even
/// then, such as `desk_2.example`, one with a port or the empty one, is represented by a name below `.invalid`, which
/// no host has (RFC 2606).
#[must_use]
pub fn canonical_host(host: &str) -> Cow<'_, str> {
    let host = host.strip_suffix('.').unwrap_or(host);
    let host = match host.is_ascii() {
        true if !host.bytes().any(|b| b.is_ascii_uppercase()) => Cow::Borrowed(host),
        true => Cow::Owned(host.to_ascii_lowercase()),
        false => Cow::Owned(idna::domain_to_ascii(host).unwrap_or_else(|_| host.to_lowercase())),
    };
    // In a row, an empty host stands for any host.
    if host.is_empty() || host_error(&host).is_some() {
        return Cow::Owned(format!("{}.invalid", short_hash(&host)));
    }
    host
}

/// A path, without a slash at its end and empty for the root, as rows hold it: segments that they do not accept, such
/// as an empty one, are percent-encoded and marked. [`decode_path`] reverses this. `None` if the path does not start
/// with a slash or is too long, so that no request can have it.
#[must_use]
pub fn encode_path(path: &str) -> Option<Name> {
    if path.is_empty() {
        return Some("/".into());
    }
    let encode = |segment: &str| match is_segment(segment) && !is_encoded(segment) {
        true => segment.to_owned(),
        false => format!("{ENCODED_SEGMENT}{}", utf8_percent_encode(segment, NON_ALPHANUMERIC)),
    };
    let segments: Vec<String> = path.strip_prefix('/')?.split('/').map(encode).collect();
    let encoded = format!("/{}", segments.join("/"));
    path_error(&encoded).is_none().then(|| encoded.into())
}

/// The path of requests that a path in a row stands for, without a slash at its end.
#[must_use]
pub fn decode_path(path: &str) -> Cow<'_, str> {
    let path = path.trim_end_matches('/');
    if !path.contains(ENCODED_SEGMENT) {
        return Cow::Borrowed(path);
    }
    let decode = |segment| match str::strip_prefix(segment, ENCODED_SEGMENT) {
        Some(encoded) => percent_decode_str(encoded).decode_utf8_lossy(),
        None => Cow::Borrowed(segment),
    };
    let segments: Vec<Cow<'_, str>> = path.split('/').map(decode).collect();
    Cow::Owned(segments.join("/"))
}

fn is_encoded(segment: &str) -> bool {
    segment.starts_with(ENCODED_SEGMENT)
}

impl Name {
    /// The name of a row for a text of another system: the text itself if it can be the name of a row, otherwise one
    /// that is made from its hash.
    #[must_use]
    pub fn canonical(text: &str) -> Self {
        match name_error(text) {
            None => Self::new(text),
            Some(_) => Self::from(format!("name-{}", short_hash(text))),
        }
    }
}

fn short_hash(text: &str) -> String {
    let digest = Sha256::digest(text.as_bytes());
    digest[..HASH_BYTES].iter().fold(String::new(), |mut hex, byte| {
        // Writing to a string cannot fail.
        let _ = write!(hex, "{byte:02x}");
        hex
    })
}
