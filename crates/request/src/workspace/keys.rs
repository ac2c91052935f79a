use std::{collections::HashMap, sync::Arc};

use dw_tables::{KeyHash, Name, Workspace};

use super::Credentials;
use crate::Reason;

/// What a request may do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Access {
    /// The version has no workspaces; keys and credentials have no meaning.
    Open,
    /// The request runs for a workspace. Its credentials are removed.
    Workspace(Arc<Workspace>),
    /// The route is public and the request has no valid key. If `remove` is set, the request carries
    /// an unknown or malformed key, which is removed.
    Public {
        /// Whether to remove the credentials.
        remove: bool,
    },
}

/// The workspaces of one version, indexed by the hashes of their keys.
///
/// Load: a flood of requests with invalid keys. A check costs one lookup of a hash in a hash table,
/// whatever the number of workspaces, and compares no byte of a key.
#[derive(Clone, Debug, Default)]
pub struct KeyIndex {
    by_key: HashMap<KeyHash, Arc<Workspace>>,
    by_name: HashMap<Name, Arc<Workspace>>,
}

impl KeyIndex {
    /// Indexes the workspaces of a version.
    #[must_use]
    pub fn new(rows: &[Workspace]) -> Self {
        let mut index = Self::default();
        for row in rows {
            // Requests in flight hold this copy; they need no keys.
            let workspace = Arc::new(Workspace { keys: Vec::new(), ..row.clone() });
            index.by_key.extend(row.keys.iter().map(|hash| (*hash, workspace.clone())));
            index.by_name.insert(row.name.clone(), workspace);
        }
        index
    }

    /// Whether there are no workspaces.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.by_name.is_empty()
    }

    /// The workspace with this name.
    #[must_use]
    pub fn get(&self, name: &str) -> Option<&Arc<Workspace>> {
        self.by_name.get(name)
    }

    /// Decides on a request with these credentials; `public` is that of its route.
    ///
    /// # Errors
    /// [`Reason::KeyMissing`] or [`Reason::KeyUnknown`]: the request needs a valid key.
    pub fn check(&self, credentials: Credentials, public: bool) -> Result<Access, Reason> {
        if self.is_empty() {
            return Ok(Access::Open);
        }
        let found = match credentials {
            Credentials::Key(hash) => self.by_key.get(&hash).cloned(),
            Credentials::None | Credentials::Malformed => None,
        };
        match (found, credentials) {
            (Some(workspace), _) => Ok(Access::Workspace(workspace)),
            (None, Credentials::None) if public => Ok(Access::Public { remove: false }),
            (None, _) if public => Ok(Access::Public { remove: true }),
            (None, Credentials::None) => Err(Reason::KeyMissing),
            (None, _) => Err(Reason::KeyUnknown),
        }
    }
}
