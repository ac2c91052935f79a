use std::sync::Arc;

use dw_tables::{Name, Tables, Version, join_parts, validate};
use tokio::time::Instant;

use crate::{
    Action, DomainStatus, Force, Input, MemberTable, NodeConfig, PlatformCall, PlatformEvent,
    Status,
};

/// The control plane of one daemon.
#[derive(Debug)]
pub struct Node {
    cfg: NodeConfig,
    start: Option<Instant>,
    served: Option<Arc<Version>>,
    table: Arc<MemberTable>,
}

impl Node {
    /// A node that starts at `now`.
    #[must_use]
    pub fn new(cfg: NodeConfig, now: Instant) -> Self {
        Self { cfg, start: Some(now), served: None, table: Arc::default() }
    }

    /// Takes one input and returns what is to be done, in order.
    pub fn handle(&mut self, input: Input, _now: Instant) -> Vec<Action> {
        match input {
            Input::Tick if self.start.take().is_some() => {
                vec![Action::Platform(PlatformCall::ReadHead)]
            }
            Input::Platform(PlatformEvent::HeadRead { head, revision }) => vec![
                Action::Platform(PlatformCall::WatchHead { revision }),
                Action::Platform(PlatformCall::ReadParts(head)),
            ],
            Input::Platform(PlatformEvent::PartsRead { head, parts }) => {
                let Some(text) = join_parts(&parts, head.hash) else { return Vec::new() };
                let Ok(tables) = Tables::from_canonical(&text) else { return Vec::new() };
                if !validate(&tables).is_empty() {
                    return Vec::new();
                }
                let version = Arc::new(Version::new(head.number, tables));
                self.served = Some(Arc::clone(&version));
                vec![Action::Publish(version)]
            }
            _ => Vec::new(),
        }
    }

    /// When `Tick` is wanted next.
    #[must_use]
    pub const fn deadline(&self) -> Option<Instant> {
        self.start
    }

    /// What the node knows about the version in force.
    #[must_use]
    pub fn status(&self) -> Status {
        let version = self.served.as_ref().map(|v| v.mark()).unwrap_or_default();
        let state = if self.served.is_some() { Force::InForce } else { Force::Unknown };
        let own = DomainStatus {
            domain: self.cfg.domain.clone(),
            state,
            members: 1,
            applied: u32::from(self.served.is_some()),
            highest: version.number,
            ..DomainStatus::default()
        };
        Status {
            host: Name::clone(&self.cfg.host),
            domain: self.cfg.domain.clone(),
            state,
            version,
            domains: vec![own],
            refused: Vec::new(),
        }
    }

    /// The members as this node sees them.
    #[must_use]
    pub fn members(&self) -> Arc<MemberTable> {
        Arc::clone(&self.table)
    }
}
