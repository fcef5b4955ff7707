//! Parsing of heads and bodies: complete and in pieces, well-formed and malicious.

use bytes::{Bytes, BytesMut};
use quickcheck::quickcheck;
use samphiregrade_http::wire::{
    BodyDecoder, BodyFraming, BodyPiece, FramingError, HeadError, LAST_CHUNK, RequestHead,
    ResponseHead, append_chunk,
};

const HEAD_LIMIT: usize = 1024;

fn request(text: &str) -> RequestHead {
    let mut buffer = BytesMut::from(text);
    RequestHead::take(&mut buffer, HEAD_LIMIT)
        .expect("a valid head")
        .expect("a complete head")
}

fn response(text: &str) -> ResponseHead {
    let mut buffer = BytesMut::from(text);
    ResponseHead::take(&mut buffer, HEAD_LIMIT)
        .expect("a valid head")
        .expect("a complete head")
}

/// Decodes a body that arrives in pieces of a given size; returns the body and the bytes after it.
fn decode(
    framing: BodyFraming,
    bytes: &[u8],
    step: usize,
) -> Result<(Vec<u8>, Vec<u8>), FramingError> {
    let mut decoder = BodyDecoder::new(framing);
    let mut buffer = BytesMut::new();
    let mut pieces = bytes.chunks(step.max(1));
    let mut body = Vec::new();
    loop {
        match decoder.take(&mut buffer)? {
            BodyPiece::Data(data) => body.extend_from_slice(&data),
            BodyPiece::End => {
                let rest = pieces.flatten();
                return Ok((body, buffer.iter().chain(rest).copied().collect()));
            }
            BodyPiece::More => match pieces.next() {
                Some(piece) => buffer.extend_from_slice(piece),
                None => decoder.close()?,
            },
        }
    }
}

quickcheck! {
    fn chunked_body_is_complete_for_any_split(chunks: Vec<Vec<u8>>, step: usize) -> bool {
        let mut bytes = BytesMut::new();
        for chunk in &chunks {
            append_chunk(&mut bytes, chunk);
        }
        bytes.extend_from_slice(LAST_CHUNK);
        bytes.extend_from_slice(b"next");
        let expected: Vec<u8> = chunks.concat();
        decode(BodyFraming::Chunked, &bytes, step % 40) == Ok((expected, b"next".to_vec()))
    }

    fn counted_body_leaves_the_following_bytes(body: Vec<u8>, step: usize) -> bool {
        let mut bytes = body.clone();
        bytes.extend_from_slice(b"next");
        let framing = BodyFraming::Length(body.len() as u64);
        decode(framing, &bytes, step % 40) == Ok((body, b"next".to_vec()))
    }

    fn head_is_parsed_for_any_split(step: usize) -> bool {
        let text = b"POST /a/b?c=d HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabc";
        let mut buffer = BytesMut::new();
        for piece in text.chunks(step % 20 + 1) {
            buffer.extend_from_slice(piece);
            if let Some(head) = RequestHead::take(&mut buffer, HEAD_LIMIT).expect("a valid head") {
                return head.target == Bytes::from_static(b"/a/b?c=d") && head.path() == Some("/a/b");
            }
        }
        false
    }

    fn arbitrary_bytes_never_panic(bytes: Vec<u8>) -> bool {
        let mut buffer = BytesMut::from(&bytes[..]);
        let _ = RequestHead::take(&mut buffer, HEAD_LIMIT);
        let _ = decode(BodyFraming::Chunked, &bytes, 3);
        true
    }
}

#[test]
fn length_given_twice_is_refused() {
    let both =
        request("POST / HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n");
    assert_eq!(both.framing(), Err(FramingError::Conflict));
    let differing = request("POST / HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\n");
    assert_eq!(differing.framing(), Err(FramingError::Conflict));
    let equal = request("POST / HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 3\r\n\r\n");
    assert_eq!(equal.framing(), Ok(BodyFraming::Length(3)));
}

#[test]
fn invalid_lengths_and_codings_are_refused() {
    for value in ["+3", "-1", "3 ", "0x3", "", "3,3"] {
        let text = format!("POST / HTTP/1.1\r\nContent-Length: {value}x\r\n\r\n");
        assert_eq!(
            request(&text).framing(),
            Err(FramingError::Length),
            "{value}"
        );
    }
    let coding = request("POST / HTTP/1.1\r\nTransfer-Encoding: gzip, chunked\r\n\r\n");
    assert_eq!(coding.framing(), Err(FramingError::Coding));
}

#[test]
fn head_beyond_the_limit_is_refused() {
    let mut buffer =
        BytesMut::from(format!("GET /{} HTTP/1.1\r\n", "a".repeat(HEAD_LIMIT)).as_str());
    assert_eq!(
        RequestHead::take(&mut buffer, HEAD_LIMIT).err(),
        Some(HeadError::TooLarge(HEAD_LIMIT))
    );
}

#[test]
fn body_without_length_ends_only_with_an_orderly_close() {
    let head = response("HTTP/1.1 200 OK\r\n\r\n");
    assert_eq!(head.framing(), Ok(BodyFraming::UntilClose));
    let mut open = BodyDecoder::new(BodyFraming::UntilClose);
    assert_eq!(open.close(), Ok(()));
    let mut counted = BodyDecoder::new(BodyFraming::Length(2));
    assert_eq!(counted.close(), Err(FramingError::Truncated));
    let mut chunked = BodyDecoder::new(BodyFraming::Chunked);
    assert_eq!(chunked.close(), Err(FramingError::Truncated));
}

#[test]
fn malformed_chunk_is_refused() {
    assert_eq!(
        decode(BodyFraming::Chunked, b"zz\r\nabc\r\n0\r\n\r\n", 64),
        Err(FramingError::Chunk)
    );
    assert_eq!(
        decode(BodyFraming::Chunked, b"3\r\nabcde0\r\n\r\n", 64),
        Err(FramingError::Chunk)
    );
}

#[test]
fn hop_by_hop_headers_are_recognised() {
    let head =
        request("GET / HTTP/1.1\r\nConnection: close, X-Once\r\nX-Once: 1\r\nX-Kept: 2\r\n\r\n");
    let passed: Vec<_> = head
        .fields
        .iter()
        .filter(|field| !head.fields.is_hop_by_hop(field))
        .collect();
    assert_eq!(passed.len(), 1);
    assert!(!head.keeps_connection());
}

#[test]
fn idle_time_is_read_from_the_response() {
    let head =
        response("HTTP/1.1 200 OK\r\nKeep-Alive: timeout=4, max=9\r\nContent-Length: 0\r\n\r\n");
    assert_eq!(head.idle_seconds(), Some(4));
    assert_eq!(head.framing(), Ok(BodyFraming::Empty));
}

// Guards against chunk extensions without end around hardly any data, and against a limit that chunks of one byte meet.
#[test]
fn chunks_with_more_extensions_than_data_are_refused() {
    let chunks = |extension: &str, count: usize| {
        let chunk = format!("1{extension}\r\nx\r\n");
        [chunk.repeat(count).as_bytes(), LAST_CHUNK].concat()
    };
    let small = decode(BodyFraming::Chunked, &chunks("", 200_000), 4096);
    assert_eq!(small.map(|(body, _)| body.len()), Ok(200_000));
    let once = decode(BodyFraming::Chunked, &chunks(";name=value", 100), 4096);
    assert_eq!(once.map(|(body, _)| body.len()), Ok(100));
    let extension = format!(";{}", "e".repeat(3000));
    assert_eq!(
        decode(BodyFraming::Chunked, &chunks(&extension, 100), 4096).map(|(body, _)| body.len()),
        Err(FramingError::Overhead)
    );
}
