use std::cmp::Reverse;

use serde::{Deserialize, Serialize};

use crate::Name;

/// Conditions on a request; all of them must hold.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Match {
    /// The host of the request in lower case; empty takes any host.
    pub host: Name,
    /// A prefix of the path that ends at a segment; `/` takes any path.
    pub path: Name,
    /// Methods in upper case; empty takes any method.
    pub methods: Vec<Name>,
}

impl Match {
    /// Whether a request is taken. `host` is in lower case and without port; `path` is without
    /// query.
    #[must_use]
    pub fn is_match(&self, host: &str, path: &str, method: &str) -> bool {
        self.takes_host(host) && self.takes_path(path) && self.takes_method(method)
    }

    /// Orders routes that take the same request: the smallest rank wins. An exact host precedes
    /// any host, then the longest path, then listed methods precede any method. Two routes of
    /// valid tables never take the same request with the same rank.
    #[must_use]
    pub fn rank(&self) -> (bool, Reverse<usize>, bool) {
        (self.host.is_empty(), Reverse(self.path.len()), self.methods.is_empty())
    }

    fn takes_host(&self, host: &str) -> bool {
        self.host.is_empty() || self.host.as_str() == host
    }

    fn takes_path(&self, path: &str) -> bool {
        if self.path.as_str() == "/" {
            return path.starts_with('/');
        }
        path.strip_prefix(self.path.as_str())
            .is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
    }

    fn takes_method(&self, method: &str) -> bool {
        self.methods.is_empty() || self.methods.iter().any(|m| m.as_str() == method)
    }
}
