mod outbox;
mod tcp;
mod udp;

pub(crate) use tcp::{Links, ToLinks};
pub(crate) use udp::{Datagrams, ToDatagrams};
