use bytes::Buf;
use prost::encoding::{WireType, decode_key, decode_varint};

use crate::{MAX_BODY_FIELDS, MAX_CONTROL_BYTES, MAX_FRAME_BYTES, MAX_MEMBERS_BYTES, WireError};

/// Checks an encoded frame before it is decoded: it may have one body at most, within the size limit
/// of its kind and with a bounded number of fields.
pub(crate) fn check_frame(bytes: &[u8]) -> Result<(), WireError> {
    let mut buf = bytes;
    let mut bodies = 0;
    while buf.has_remaining() {
        let (tag, body) = next_field(&mut buf)?;
        let Some(body) = body else { continue };
        bodies += 1;
        if bodies > 1 {
            return Err(WireError::Malformed("more than one body"));
        }
        let limit = body_limit(tag);
        if body.len() > limit {
            return Err(WireError::TooLarge { size: body.len(), limit });
        }
        check_fields(body)?;
    }
    Ok(())
}

/// The largest body in bytes of the frame kind with the given tag in `FrameBody`.
const fn body_limit(tag: u32) -> usize {
    match tag {
        7 | 8 => MAX_FRAME_BYTES,
        4 | 10 | 11 | 13 => MAX_MEMBERS_BYTES,
        _ => MAX_CONTROL_BYTES,
    }
}

fn check_fields(mut body: &[u8]) -> Result<(), WireError> {
    let mut fields = 0;
    while body.has_remaining() {
        next_field(&mut body)?;
        fields += 1;
        if fields > MAX_BODY_FIELDS {
            return Err(WireError::Malformed("too many fields"));
        }
    }
    Ok(())
}

/// Reads one field from `buf`. Returns its tag, and its content if it is length-delimited.
fn next_field<'a>(buf: &mut &'a [u8]) -> Result<(u32, Option<&'a [u8]>), WireError> {
    let (tag, wire_type) = decode_key(buf)?;
    let len = match wire_type {
        WireType::Varint => {
            decode_varint(buf)?;
            return Ok((tag, None));
        }
        WireType::SixtyFourBit => 8,
        WireType::ThirtyTwoBit => 4,
        WireType::LengthDelimited => usize::try_from(decode_varint(buf)?)
            .map_err(|_| WireError::Malformed("a field length out of range"))?,
        WireType::StartGroup | WireType::EndGroup => return Err(WireError::Malformed("a group")),
    };
    let rest = *buf;
    let (Some(content), Some(after)) = (rest.get(..len), rest.get(len..)) else {
        return Err(WireError::Malformed("a field that runs past its end"));
    };
    *buf = after;
    Ok((tag, (wire_type == WireType::LengthDelimited).then_some(content)))
}
