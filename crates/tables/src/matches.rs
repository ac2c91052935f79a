use std::cmp::Reverse;

use serde::{Deserialize, Serialize};

use crate::{Name, UnknownFields};

/// Conditions on a request; all of them must hold.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Match {
    /// The host of the request in lower case; empty matches any host.
    pub host: Name,
    /// A prefix of the path that ends at a segment boundary; `/` matches any path.
    pub path: Name,
    /// Methods in upper case; empty matches any method.
    pub methods: Vec<Name>,
    /// Fields of a later release.
    #[serde(flatten)]
    pub unknown: UnknownFields,
}

impl Match {
    /// Whether a request matches. `host` is in lower case and without port; `path` is without
    /// query.
    #[must_use]
    pub fn is_match(&self, host: &str, path: &str, method: &str) -> bool {
        self.matches_host(host) && self.matches_path(path) && self.matches_method(method)
    }

    /// Orders routes that match the same request: the smallest rank wins. A route with a host
    /// precedes one for any host, then the longer path wins, then listed methods precede any method.
    /// Two routes of valid tables never match the same request with the same rank.
    #[must_use]
    pub fn rank(&self) -> (bool, Reverse<usize>, bool) {
        (self.host.is_empty(), Reverse(self.path.len()), self.methods.is_empty())
    }

    fn matches_host(&self, host: &str) -> bool {
        self.host.is_empty() || self.host.as_str() == host
    }

    fn matches_path(&self, path: &str) -> bool {
        if self.path.as_str() == "/" {
            return path.starts_with('/');
        }
        path.strip_prefix(self.path.as_str())
            .is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
    }

    fn matches_method(&self, method: &str) -> bool {
        self.methods.is_empty() || self.methods.iter().any(|m| m.as_str() == method)
    }
}
