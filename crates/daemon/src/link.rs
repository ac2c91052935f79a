mod outbox;
mod tcp;
mod udp;

pub(crate) use tcp::{LinkMessage, Links};
pub(crate) use udp::{Datagrams, OutgoingDatagram};
