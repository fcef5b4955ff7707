//! Where a body ends: by length, by chunks, or with its connection.

use bytes::{Buf, BufMut, Bytes, BytesMut};
use thiserror::Error;

/// The chunk that ends a chunked body without trailers.
pub const LAST_CHUNK: &[u8] = b"0\r\n\r\n";

/// Longest line of a chunk's size with its extensions, and maximum size of all trailer lines, in bytes.
const LINE_LIMIT: usize = 4096;

/// Bytes of sizes, extensions and line ends that a chunked body may have for each byte of data: a chunk of one byte takes
/// five.
const FRAMING_RATIO: u64 = 8;

/// Bytes of sizes, extensions and line ends that any chunked body may have.
const FRAMING_ALLOWANCE: u64 = 64 << 10;

/// A body whose end can't be determined.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum FramingError {
    /// The length is not a number.
    #[error("the content length is not a number; send digits only")]
    Length,
    /// Both a length and chunks, or two different lengths.
    #[error("the body's length is given twice; send either a length or chunks")]
    Conflict,
    /// A transfer coding other than chunked.
    #[error("the transfer coding is not known; send a length or chunks")]
    Coding,
    /// The chunks have far more framing than data.
    #[error("the chunks have more extensions than data; send larger chunks without extensions")]
    Overhead,
    /// A chunk's size or end is malformed.
    #[error("a chunk is malformed; send each chunk with its size and line end")]
    Chunk,
    /// The connection ended inside the body.
    #[error("the connection ended inside the body; send the complete body")]
    Truncated,
}

/// How the end of a body is marked.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BodyFraming {
    /// There is no body.
    Empty,
    /// The body has this number of bytes.
    Length(u64),
    /// The body consists of chunks and ends with an empty chunk.
    Chunked,
    /// The body ends with its connection.
    UntilClose,
}

impl BodyFraming {
    /// Returns the name used in logs and metrics.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Empty => "empty",
            Self::Length(_) => "length",
            Self::Chunked => "chunks",
            Self::UntilClose => "close",
        }
    }
}

/// What the decoder returns for the bytes in the buffer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum BodyPiece {
    /// Bytes of the body.
    Data(Bytes),
    /// The body is complete.
    End,
    /// More bytes are needed.
    More,
}

#[derive(Clone, Copy, Debug)]
enum DecoderState {
    Counted(u64),
    ChunkSize,
    ChunkData(u64),
    ChunkEnd,
    /// With the bytes of the trailer lines so far.
    Trailer(usize),
    Open,
    Done,
}

/// Removes a body's bytes from a buffer.
#[derive(Clone, Copy, Debug)]
pub struct BodyDecoder {
    state: DecoderState,
    /// Bytes of framing and of data in the chunks so far.
    framing_bytes: u64,
    data_bytes: u64,
}

impl BodyDecoder {
    /// Creates a decoder that starts at the first byte of a body.
    #[must_use]
    pub fn new(framing: BodyFraming) -> Self {
        let state = match framing {
            BodyFraming::Empty => DecoderState::Done,
            BodyFraming::Length(length) => DecoderState::Counted(length),
            BodyFraming::Chunked => DecoderState::ChunkSize,
            BodyFraming::UntilClose => DecoderState::Open,
        };
        Self {
            state,
            framing_bytes: 0,
            data_bytes: 0,
        }
    }

    /// Removes the next piece from the buffer.
    ///
    /// # Errors
    ///
    /// [`FramingError::Chunk`] for a malformed chunk, [`FramingError::Overhead`] for chunks with hardly any data.
    pub fn take(&mut self, buffer: &mut BytesMut) -> Result<BodyPiece, FramingError> {
        loop {
            match self.state {
                DecoderState::Done => return Ok(BodyPiece::End),
                DecoderState::Counted(0) => self.state = DecoderState::Done,
                DecoderState::Open | DecoderState::Counted(_) | DecoderState::ChunkData(_)
                    if buffer.is_empty() =>
                {
                    return Ok(BodyPiece::More);
                }
                DecoderState::Open => return Ok(BodyPiece::Data(buffer.split().freeze())),
                DecoderState::Counted(left) => {
                    let data = take_up_to(buffer, left);
                    self.state = DecoderState::Counted(left - data.len() as u64);
                    return Ok(BodyPiece::Data(data));
                }
                DecoderState::ChunkData(left) => {
                    let data = take_up_to(buffer, left);
                    let rest = left - data.len() as u64;
                    self.data_bytes += data.len() as u64;
                    self.state = if rest == 0 {
                        DecoderState::ChunkEnd
                    } else {
                        DecoderState::ChunkData(rest)
                    };
                    return Ok(BodyPiece::Data(data));
                }
                DecoderState::ChunkSize => match httparse::parse_chunk_size(buffer) {
                    Ok(httparse::Status::Complete((used, size))) => {
                        buffer.advance(used);
                        self.count_framing(used)?;
                        self.state = if size == 0 {
                            DecoderState::Trailer(0)
                        } else {
                            DecoderState::ChunkData(size)
                        };
                    }
                    Ok(httparse::Status::Partial) if buffer.len() <= LINE_LIMIT => {
                        return Ok(BodyPiece::More);
                    }
                    _ => return Err(FramingError::Chunk),
                },
                DecoderState::ChunkEnd => {
                    if buffer.len() < 2 {
                        return Ok(BodyPiece::More);
                    }
                    if &buffer[..2] != b"\r\n" {
                        return Err(FramingError::Chunk);
                    }
                    buffer.advance(2);
                    self.state = DecoderState::ChunkSize;
                }
                DecoderState::Trailer(before) => {
                    let end = buffer.iter().position(|&byte| byte == b'\n');
                    let length = end.map_or(buffer.len(), |end| end + 1);
                    if before + length > LINE_LIMIT {
                        return Err(FramingError::Chunk);
                    }
                    if end.is_none() {
                        return Ok(BodyPiece::More);
                    }
                    let line = buffer.split_to(length);
                    self.state = if line.as_ref() == b"\r\n" || line.as_ref() == b"\n" {
                        DecoderState::Done
                    } else {
                        DecoderState::Trailer(before + length)
                    };
                }
            }
        }
    }

    fn count_framing(&mut self, bytes: usize) -> Result<(), FramingError> {
        self.framing_bytes += bytes as u64;
        let most = FRAMING_ALLOWANCE.saturating_add(self.data_bytes.saturating_mul(FRAMING_RATIO));
        if self.framing_bytes > most {
            return Err(FramingError::Overhead);
        }
        Ok(())
    }

    /// Reports to the decoder that the peer closed the connection in an orderly way.
    ///
    /// # Errors
    ///
    /// [`FramingError::Truncated`] if the body is incomplete.
    pub fn close(&mut self) -> Result<(), FramingError> {
        match self.state {
            DecoderState::Open | DecoderState::Done | DecoderState::Counted(0) => {
                self.state = DecoderState::Done;
                Ok(())
            }
            _ => Err(FramingError::Truncated),
        }
    }
}

fn take_up_to(buffer: &mut BytesMut, limit: u64) -> Bytes {
    let length = usize::try_from(limit)
        .unwrap_or(usize::MAX)
        .min(buffer.len());
    buffer.split_to(length).freeze()
}

/// Appends a chunk with its size and line ends; appends nothing for empty data, which would end the body.
pub fn append_chunk(output: &mut BytesMut, data: &[u8]) {
    if data.is_empty() {
        return;
    }
    output.put_slice(format!("{:x}\r\n", data.len()).as_bytes());
    output.put_slice(data);
    output.put_slice(b"\r\n");
}
