//! What a request's workspace decides: whether its key is valid, and with which priority it runs.

mod credentials;
mod keys;

pub use credentials::Credentials;
pub use keys::{Access, KeyIndex};
