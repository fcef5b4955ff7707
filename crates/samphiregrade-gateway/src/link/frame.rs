//! Frames of a link: the number of a request, the length of its message, and the message.

use std::io;

use bytes::{Buf, BufMut, Bytes, BytesMut};
use serde::Serialize;

use super::{LinkFailure, unreadable};

/// Largest accepted message: large enough for the longest chain and for one part of an export.
pub(super) const MESSAGE_LIMIT: usize = 64 << 20;

/// Length of a frame header in bytes: request number and message length.
const FRAME_HEADER: usize = 12;

pub(super) fn encode_message<Message>(message: &Message) -> Result<Vec<u8>, LinkFailure>
where
    Message: Serialize,
{
    let bytes = postcard::to_stdvec(message).map_err(unreadable)?;
    if bytes.len() > MESSAGE_LIMIT {
        return Err(LinkFailure::TooLong(bytes.len()));
    }
    Ok(bytes)
}

pub(super) fn append_frame(output: &mut BytesMut, number: u64, message: &[u8]) {
    output.reserve(FRAME_HEADER + message.len());
    output.put_u64(number);
    output.put_u32(u32::try_from(message.len()).unwrap_or(u32::MAX));
    output.put_slice(message);
}

/// Returns the number of the request at the front of the buffer and the length of its message, once both are known.
pub(super) fn frame_head(buffer: &BytesMut) -> io::Result<Option<(u64, usize)>> {
    if buffer.len() < FRAME_HEADER {
        return Ok(None);
    }
    let mut head = &buffer[..FRAME_HEADER];
    let number = head.get_u64();
    let length = usize::try_from(head.get_u32()).map_err(io::Error::other)?;
    if length > MESSAGE_LIMIT {
        return Err(io::Error::other("the message exceeds the size limit"));
    }
    Ok(Some((number, length)))
}

/// Removes a complete frame from the front of the buffer; returns the request's number and the message.
pub(super) fn take_frame(buffer: &mut BytesMut) -> io::Result<Option<(u64, Bytes)>> {
    let Some((number, length)) = frame_head(buffer)? else {
        return Ok(None);
    };
    if buffer.len() < FRAME_HEADER + length {
        buffer.reserve(FRAME_HEADER + length - buffer.len());
        return Ok(None);
    }
    buffer.advance(FRAME_HEADER);
    Ok(Some((number, buffer.split_to(length).freeze())))
}
