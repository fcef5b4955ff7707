//! HTTP/1.1 on plain sockets, for a proxy that has to see each byte: heads, body framing, sockets.
//!
//! The proxy's rules depend on details that a client library hides: bytes after a complete response, a body that
//! ends with its connection, a response that arrives before its request is sent completely, a peer that closes the
//! connection while nobody reads. Heads are parsed by `httparse`.

mod framing;
mod head;
mod queue;
mod socket;

pub use framing::{BodyDecoder, BodyFraming, BodyPiece, FramingError, LAST_CHUNK, append_chunk};
pub use head::{HeadError, HeaderField, HeaderFields, RequestHead, ResponseHead, decimal};
pub use socket::{
    ACCEPT_QUEUE, LivenessLimits, SocketLimits, WireSocket, apply_limits, listen, listen_with_queue,
};
