//! What a request's workspace decides: whether its key is valid, with which priority it runs, and
//! whether it is within the quota, which all daemons keep together: the bucket at its owner, the credit
//! that each daemon holds, and the choice of the owner.

mod allotment;
mod credentials;
mod electorate;
mod holder;
mod keys;
mod local;
mod owner;

pub use allotment::Allotment;
pub use credentials::Credentials;
pub use electorate::Electorate;
pub use holder::{CreditHolder, Take};
pub use keys::{Access, KeyIndex};
pub use owner::{CreditAsk, CreditOwner, Lease};
