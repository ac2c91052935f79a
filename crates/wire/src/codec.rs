use bytes::{Bytes, BytesMut};
use prost::Message;
use thiserror::Error;
use tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec};

use crate::{Frame, MAX_FRAME_BYTES, MAX_PACKET_BYTES, PROTOCOL, Packet, scan};

/// Why a message was not encoded or decoded.
#[derive(Debug, Error)]
pub enum WireError {
    /// The message exceeds the size limit of its kind.
    #[error("a message of {size} bytes is over the limit of {limit} bytes")]
    TooLarge {
        /// Size in bytes.
        size: usize,
        /// Limit in bytes.
        limit: usize,
    },
    /// The bytes are not protobuf of the expected type.
    #[error("the message cannot be decoded: {0}")]
    Decode(#[from] prost::DecodeError),
    /// The bytes are protobuf, but not in the form that daemons encode.
    #[error("the message has {0}")]
    Malformed(&'static str),
    /// The protocol version of the message is not supported by this build.
    #[error("protocol version {0} is not supported; this build speaks {PROTOCOL}")]
    Protocol(u32),
    /// The message has no body of a known kind; the peer may be newer.
    #[error("the message is of an unknown kind")]
    UnknownKind,
    /// The connection failed.
    #[error("the connection failed: {0}")]
    Io(#[from] std::io::Error),
}

/// Encodes a datagram.
///
/// # Errors
/// `TooLarge` if the datagram would exceed [`MAX_PACKET_BYTES`].
pub fn encode_packet(packet: &Packet) -> Result<Bytes, WireError> {
    let size = packet.encoded_len();
    if size > MAX_PACKET_BYTES {
        return Err(WireError::TooLarge { size, limit: MAX_PACKET_BYTES });
    }
    Ok(packet.encode_to_vec().into())
}

/// Decodes a datagram.
///
/// # Errors
/// The datagram is too large or malformed, or has an unsupported protocol version or unknown kind.
pub fn decode_packet(bytes: &[u8]) -> Result<Packet, WireError> {
    if bytes.len() > MAX_PACKET_BYTES {
        return Err(WireError::TooLarge { size: bytes.len(), limit: MAX_PACKET_BYTES });
    }
    let packet = Packet::decode(bytes)?;
    check_header(packet.protocol, packet.body.is_some())?;
    Ok(packet)
}

/// Encodes and decodes frames on a connection: a length of four bytes, then protobuf.
///
/// After an error other than `UnknownKind` and `Protocol` the position in the stream is lost, and the
/// connection has to be closed.
#[derive(Debug)]
pub struct FrameCodec {
    inner: LengthDelimitedCodec,
}

impl Default for FrameCodec {
    fn default() -> Self {
        Self {
            inner: LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME_BYTES).new_codec(),
        }
    }
}

impl Encoder<Frame> for FrameCodec {
    type Error = WireError;

    fn encode(&mut self, frame: Frame, dst: &mut BytesMut) -> Result<(), WireError> {
        let size = frame.encoded_len();
        if size > MAX_FRAME_BYTES {
            return Err(WireError::TooLarge { size, limit: MAX_FRAME_BYTES });
        }
        self.inner.encode(Bytes::from(frame.encode_to_vec()), dst).map_err(WireError::Io)
    }
}

impl Decoder for FrameCodec {
    type Item = Frame;
    type Error = WireError;

    fn decode(&mut self, src: &mut BytesMut) -> Result<Option<Frame>, WireError> {
        let Some(bytes) = self.inner.decode(src)? else { return Ok(None) };
        scan::check_frame(&bytes)?;
        let frame = Frame::decode(bytes.freeze())?;
        check_header(frame.protocol, frame.body.is_some())?;
        Ok(Some(frame))
    }
}

const fn check_header(protocol: u32, known: bool) -> Result<(), WireError> {
    match (protocol, known) {
        (0, _) => Err(WireError::Protocol(protocol)),
        (_, false) => Err(WireError::UnknownKind),
        _ => Ok(()),
    }
}
