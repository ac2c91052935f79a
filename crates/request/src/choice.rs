//! The choice of a target for a request: the route, the targets of its pool, what this daemon knows
//! about each of them, and the balancing between them.

pub(crate) mod balancer;
mod endpoint;
mod load;
pub(crate) mod locality;
pub(crate) mod outlier;
mod router;
pub(crate) mod target;
pub(crate) mod upstream;
pub(crate) mod versions;
pub(crate) mod view;

pub use endpoint::{Endpoint, EndpointState};
pub use load::{Load, ParseLoadError};
pub use router::{PathMatch, ResolvedRoute, Router};
pub use view::{Avoidance, Basis, TargetChange};
