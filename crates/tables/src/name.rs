use std::sync::Arc;

use derive_more::{AsRef, Deref, Display, From};
use serde::{Deserialize, Serialize};

/// A shared, immutable name of a route, pool, service, host or failure domain.
///
/// Cloning copies a pointer, not the text.
#[derive(
    Clone,
    Debug,
    Default,
    Display,
    Deref,
    AsRef,
    From,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
)]
#[serde(transparent)]
#[as_ref(str)]
pub struct Name(Arc<str>);

impl Name {
    /// A name with the given text.
    #[must_use]
    pub fn new(text: &str) -> Self {
        Self(Arc::from(text))
    }

    /// The text of the name.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl From<&str> for Name {
    fn from(text: &str) -> Self {
        Self::new(text)
    }
}

impl From<String> for Name {
    fn from(text: String) -> Self {
        Self(Arc::from(text))
    }
}

impl std::borrow::Borrow<str> for Name {
    fn borrow(&self) -> &str {
        &self.0
    }
}
