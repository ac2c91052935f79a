//! Encoding and decoding of messages between daemons.

#![allow(clippy::expect_used)]

use bytes::{BufMut, BytesMut};
use dw_wire::{
    Frame, FrameBody, FrameCodec, Hello, JoinReply, MAX_MEMBERS_BYTES, MAX_PACKET_BYTES, Member,
    Packet, PacketBody, Ping, Snapshot, Target, WireError, decode_packet, encode_packet,
};
use googletest::prelude::*;
use proptest::prelude::{any, prop, proptest};
use prost::Message;
use tokio_util::codec::{Decoder, Encoder};

fn hello() -> Frame {
    Frame::new(FrameBody::Hello(Hello { host: "a".into(), peer: "10.0.0.1:7000".into() }))
}

/// Guards against frames that are lost or altered when they arrive in pieces.
#[gtest]
fn frame_arrives_whole_from_pieces() {
    let mut codec = FrameCodec::default();
    let mut bytes = BytesMut::new();
    codec.encode(hello(), &mut bytes).expect("encode");
    let mut part = BytesMut::new();
    for byte in &bytes[..bytes.len() - 1] {
        part.put_u8(*byte);
        expect_that!(codec.decode(&mut part).expect("partial"), none());
    }
    part.put_u8(bytes[bytes.len() - 1]);
    expect_that!(codec.decode(&mut part).expect("whole"), some(eq(&hello())));
}

/// Guards against datagrams that the network would fragment.
#[gtest]
fn oversized_packet_is_refused() {
    let mut packet = Packet::new(PacketBody::Ping(Ping { seq: 1 }));
    expect_that!(decode_packet(&encode_packet(&packet).expect("small")), ok(eq(&packet)));
    packet.host = "x".repeat(MAX_PACKET_BYTES);
    expect_that!(encode_packet(&packet), err(anything()));
    expect_that!(decode_packet(&packet.encode_to_vec()), err(anything()));
}

/// Guards against messages without a protocol version, or of a kind that only newer daemons know.
#[gtest]
fn foreign_messages_are_refused() {
    let none = Packet { protocol: 0, ..Packet::new(PacketBody::Ping(Ping { seq: 1 })) };
    expect_that!(
        decode_packet(&none.encode_to_vec()),
        err(matches_pattern!(WireError::Protocol(eq(&0))))
    );
    let newer = Packet { protocol: 2, body: None, ..Packet::default() };
    expect_that!(
        decode_packet(&newer.encode_to_vec()),
        err(matches_pattern!(WireError::UnknownKind))
    );
}

fn decode(frame: &Frame) -> std::result::Result<Option<Frame>, WireError> {
    let body = frame.encode_to_vec();
    let mut bytes = BytesMut::new();
    bytes.put_u32(u32::try_from(body.len()).expect("size"));
    bytes.put_slice(&body);
    FrameCodec::default().decode(&mut bytes)
}

/// Guards against a small frame that takes hundreds of megabytes when decoded.
#[gtest]
fn many_empty_records_are_refused() {
    let reply = JoinReply { members: vec![Member::default(); 20_000], ..JoinReply::default() };
    expect_that!(decode(&Frame::new(FrameBody::JoinReply(reply))), err(anything()));
    let host = "x".repeat(MAX_MEMBERS_BYTES);
    let long =
        JoinReply { members: vec![Member { host, ..Member::default() }], ..Default::default() };
    expect_that!(decode(&Frame::new(FrameBody::JoinReply(long))), err(anything()));
}

/// Guards against a limit for control frames that also refuses large tables.
#[gtest]
fn snapshot_may_be_large() {
    let rows = vec![b'x'; 3 << 20].into();
    let frame = Frame::new(FrameBody::Snapshot(Snapshot { rows, ..Snapshot::default() }));
    expect_that!(decode(&frame).expect("decode"), some(eq(&frame)));
}

proptest! {
    /// Guards against a panic on bytes from an unknown sender.
    #[test]
    fn arbitrary_bytes_do_not_panic(bytes in prop::collection::vec(any::<u8>(), 0..2_000)) {
        let _ = decode_packet(&bytes);
        let mut framed = BytesMut::new();
        framed.put_u32(u32::try_from(bytes.len()).expect("size"));
        framed.put_slice(&bytes);
        let _ = FrameCodec::default().decode(&mut framed);
        let _ = FrameCodec::default().decode(&mut BytesMut::from(&bytes[..]));
    }
}

/// Guards against messages that change where rollouts are not enabled, and against a version that is lost.
#[gtest]
fn target_without_version_is_encoded_as_before() {
    let plain = Target {
        index: 1,
        service: "tally".into(),
        slots: 4,
        connections: 8,
        draining: true,
        started: 300,
        version: None,
        warm: None,
    };
    let before = b"\x08\x01\x12\x05tally\x18\x04\x20\x08\x28\x01\x30\xac\x02";
    expect_that!(plain.encode_to_vec().as_slice(), eq(before.as_slice()));
    let versioned = Target { version: Some("v2".into()), warm: Some(5), ..plain };
    expect_that!(Target::decode(versioned.encode_to_vec().as_slice()), ok(eq(&versioned)));
}
