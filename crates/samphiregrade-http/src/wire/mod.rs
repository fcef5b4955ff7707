//! HTTP/1.1 on plain sockets, where a proxy has to see each byte: heads, body framing, sockets.
//!
//! The proxy's rules depend on what a client library hides: bytes after a whole answer, a body that
//! ends with its connection, an answer that comes before its request has left, a peer that hangs up
//! while nobody reads. Heads are parsed by `httparse`.

mod framing;
mod head;
mod queue;
mod socket;

pub use framing::{BodyDecoder, BodyFraming, BodyPiece, FramingError, LAST_CHUNK, append_chunk};
pub use head::{HeadError, HeaderField, HeaderFields, RequestHead, ResponseHead, decimal};
pub use socket::{ACCEPT_QUEUE, SilenceLimits, SocketLimits, WireSocket, apply_limits, listen};
