//! Encoding and decoding of the datagrams of the quota port.

#![allow(clippy::expect_used)]

use dw_wire::{CreditPacket, CreditReply, CreditRequest, MAX_PACKET_BYTES};
use googletest::prelude::*;

/// Guards against datagrams that the network would fragment, and against messages that are lost when
/// several share one.
#[gtest]
fn messages_are_packed_into_datagrams() {
    let request = |id| CreditRequest {
        id: u64::MAX - id,
        host: "h".repeat(64),
        workspace: "w".repeat(64),
        want: u32::MAX,
        spent: u64::MAX,
    };
    let reply = |id| CreditReply {
        id,
        workspace: "w".repeat(64),
        tokens: u32::MAX,
        ttl_ms: 1000,
        wait_ms: 1000,
        share: 1.5,
    };
    let (requests, replies): (Vec<_>, Vec<_>) = (0..50).map(|id| (request(id), reply(id))).unzip();
    let packets = CreditPacket::pack(requests.clone(), replies.clone());
    let (mut seen_requests, mut seen_replies) = (Vec::new(), Vec::new());
    for bytes in &packets {
        expect_that!(bytes.len(), le(MAX_PACKET_BYTES));
        let packet = CreditPacket::parse(bytes).expect("a datagram");
        seen_requests.extend(packet.requests);
        seen_replies.extend(packet.replies);
    }
    expect_that!(seen_requests, eq(&requests));
    expect_that!(seen_replies, eq(&replies));
    expect_that!(packets.len(), lt(20));
    expect_that!(CreditPacket::pack(Vec::new(), Vec::new()), is_empty());
}

/// Guards against datagrams of another protocol and against oversized or damaged ones.
#[gtest]
fn foreign_datagrams_are_refused() {
    for bytes in [&b""[..], &b"\xff\xff"[..], &[0; MAX_PACKET_BYTES + 1]] {
        expect_that!(CreditPacket::parse(bytes), err(anything()));
    }
}
