//! Heads of requests and responses, as slices of the received bytes.

use std::ops::Range;

use bytes::{BufMut, Bytes, BytesMut};
use thiserror::Error;

use super::framing::{BodyFraming, FramingError};

/// Largest number of header lines in one head; a well-behaved client sends about a dozen.
const HEADER_LINES: usize = 96;

/// A head that can't be served.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum HeadError {
    /// The head is longer than the limit.
    #[error("the head is longer than {0} bytes; send fewer or shorter headers")]
    TooLarge(usize),
    /// The head is not HTTP/1.1.
    #[error("the head is not valid HTTP/1.1: {0}; send a well-formed request")]
    Malformed(String),
}

/// One header line.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct HeaderField {
    /// Name as it was sent.
    pub name: Bytes,
    /// Value without surrounding white space.
    pub value: Bytes,
}

/// The header lines of a head, in order.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct HeaderFields {
    fields: Vec<HeaderField>,
}

impl HeaderFields {
    /// Returns the lines in order.
    pub fn iter(&self) -> impl Iterator<Item = &HeaderField> {
        self.fields.iter()
    }

    /// Returns the first value of a header as text; `None` if the header is absent or not UTF-8.
    #[must_use]
    pub fn text(&self, name: &str) -> Option<&str> {
        let field = self
            .fields
            .iter()
            .find(|field| field.name.eq_ignore_ascii_case(name.as_bytes()))?;
        std::str::from_utf8(&field.value).ok()
    }

    /// Returns all values of a header.
    pub fn all<'list>(&'list self, name: &'list str) -> impl Iterator<Item = &'list Bytes> {
        self.fields
            .iter()
            .filter(move |field| field.name.eq_ignore_ascii_case(name.as_bytes()))
            .map(|field| &field.value)
    }

    /// Returns whether a comma-separated header lists a token.
    #[must_use]
    pub fn lists(&self, name: &str, token: &str) -> bool {
        self.all(name)
            .filter_map(|value| std::str::from_utf8(value).ok())
            .flat_map(|value| value.split(','))
            .any(|part| part.trim().eq_ignore_ascii_case(token))
    }

    /// Appends a line.
    pub fn push(&mut self, name: &str, value: &str) {
        self.fields.push(HeaderField {
            name: Bytes::copy_from_slice(name.as_bytes()),
            value: Bytes::copy_from_slice(value.as_bytes()),
        });
    }

    /// Writes the lines that the filter selects, each with its line end.
    pub fn write_if<Filter>(&self, output: &mut BytesMut, mut filter: Filter)
    where
        Filter: FnMut(&HeaderField) -> bool,
    {
        for field in &self.fields {
            if !filter(field) {
                continue;
            }
            output.put_slice(&field.name);
            output.put_slice(b": ");
            output.put_slice(&field.value);
            output.put_slice(b"\r\n");
        }
    }

    /// Returns whether the line concerns one connection only (RFC 9110, section 7.6.1).
    #[must_use]
    pub fn is_hop_by_hop(&self, field: &HeaderField) -> bool {
        const NAMES: [&[u8]; 9] = [
            b"connection",
            b"keep-alive",
            b"proxy-connection",
            b"proxy-authenticate",
            b"proxy-authorization",
            b"te",
            b"trailer",
            b"transfer-encoding",
            b"upgrade",
        ];
        if NAMES
            .iter()
            .any(|name| field.name.eq_ignore_ascii_case(name))
        {
            return true;
        }
        std::str::from_utf8(&field.name).is_ok_and(|name| self.lists("connection", name))
    }

    fn lengths(&self) -> Result<Option<u64>, FramingError> {
        let mut length = None;
        for value in self.all("content-length") {
            let parsed = decimal(value).ok_or(FramingError::Length)?;
            if length.is_some_and(|known| known != parsed) {
                return Err(FramingError::Conflict);
            }
            length = Some(parsed);
        }
        Ok(length)
    }

    fn chunked(&self) -> Result<bool, FramingError> {
        let mut codings = self.all("transfer-encoding");
        let Some(coding) = codings.next() else {
            return Ok(false);
        };
        if codings.next().is_some() || !coding.eq_ignore_ascii_case(b"chunked") {
            return Err(FramingError::Coding);
        }
        Ok(true)
    }
}

/// Parses a decimal integer that consists of digits only.
#[must_use]
pub fn decimal(text: &[u8]) -> Option<u64> {
    if text.is_empty() || !text.iter().all(u8::is_ascii_digit) {
        return None;
    }
    std::str::from_utf8(text).ok()?.parse().ok()
}

/// The head of a request.
#[derive(Clone, Debug)]
pub struct RequestHead {
    /// Method as it was sent.
    pub method: Bytes,
    /// Target as it was sent: path and query.
    pub target: Bytes,
    /// Minor version of HTTP/1.
    pub minor_version: u8,
    /// Header lines.
    pub fields: HeaderFields,
}

impl RequestHead {
    /// Removes a head from the front of the buffer; returns `None` until the head is complete.
    ///
    /// # Errors
    ///
    /// [`HeadError`] for a head that is too long or malformed.
    pub fn take(buffer: &mut BytesMut, limit: usize) -> Result<Option<Self>, HeadError> {
        let mut lines = [httparse::EMPTY_HEADER; HEADER_LINES];
        let mut request = httparse::Request::new(&mut lines);
        let Some(length) = complete_length(request.parse(buffer), buffer.len(), limit)? else {
            return Ok(None);
        };
        let base = buffer.as_ptr() as usize;
        let method = span(base, request.method.unwrap_or_default().as_bytes());
        let target = span(base, request.path.unwrap_or_default().as_bytes());
        let minor_version = request.version.unwrap_or(1);
        let spans = field_spans(base, request.headers);
        let raw = buffer.split_to(length).freeze();
        Ok(Some(Self {
            method: raw.slice(method),
            target: raw.slice(target),
            minor_version,
            fields: slices(&raw, spans),
        }))
    }

    /// Returns how the body is framed.
    ///
    /// # Errors
    ///
    /// [`FramingError`] if lengths conflict, because two readers could see two different requests.
    pub fn framing(&self) -> Result<BodyFraming, FramingError> {
        let length = self.fields.lengths()?;
        let chunked = self.fields.chunked()?;
        match (length, chunked) {
            (Some(_), true) => Err(FramingError::Conflict),
            (None, true) if self.minor_version == 0 => Err(FramingError::Coding),
            (None, true) => Ok(BodyFraming::Chunked),
            (None | Some(0), false) => Ok(BodyFraming::Empty),
            (Some(length), false) => Ok(BodyFraming::Length(length)),
        }
    }

    /// Returns the path without the query; `None` if the target is not UTF-8.
    #[must_use]
    pub fn path(&self) -> Option<&str> {
        let target = std::str::from_utf8(&self.target).ok()?;
        Some(target.split_once('?').map_or(target, |(path, _)| path))
    }

    /// Returns whether the sender keeps the connection open after the response.
    #[must_use]
    pub fn keeps_connection(&self) -> bool {
        is_kept(&self.fields, self.minor_version)
    }
}

/// The head of a response.
#[derive(Clone, Debug)]
pub struct ResponseHead {
    /// Status code.
    pub status: u16,
    /// Reason as it was sent.
    pub reason: Bytes,
    /// Minor version of HTTP/1.
    pub minor_version: u8,
    /// Header lines.
    pub fields: HeaderFields,
}

impl ResponseHead {
    /// Removes a head from the front of the buffer; returns `None` until the head is complete.
    ///
    /// # Errors
    ///
    /// [`HeadError`] for a head that is too long or malformed.
    pub fn take(buffer: &mut BytesMut, limit: usize) -> Result<Option<Self>, HeadError> {
        let mut lines = [httparse::EMPTY_HEADER; HEADER_LINES];
        let mut response = httparse::Response::new(&mut lines);
        let Some(length) = complete_length(response.parse(buffer), buffer.len(), limit)? else {
            return Ok(None);
        };
        let base = buffer.as_ptr() as usize;
        let reason = span(base, response.reason.unwrap_or_default().as_bytes());
        let status = response.code.unwrap_or_default();
        let minor_version = response.version.unwrap_or(1);
        let spans = field_spans(base, response.headers);
        let raw = buffer.split_to(length).freeze();
        Ok(Some(Self {
            status,
            reason: raw.slice(reason),
            minor_version,
            fields: slices(&raw, spans),
        }))
    }

    /// Returns how the body is framed.
    ///
    /// # Errors
    ///
    /// [`FramingError`] if lengths conflict.
    pub fn framing(&self) -> Result<BodyFraming, FramingError> {
        if matches!(self.status, 100..=199 | 204 | 304) {
            return Ok(BodyFraming::Empty);
        }
        let length = self.fields.lengths()?;
        match (length, self.fields.chunked()?) {
            (Some(_), true) => Err(FramingError::Conflict),
            (None, true) => Ok(BodyFraming::Chunked),
            (Some(0), false) => Ok(BodyFraming::Empty),
            (Some(length), false) => Ok(BodyFraming::Length(length)),
            (None, false) => Ok(BodyFraming::UntilClose),
        }
    }

    /// Returns whether the sender keeps the connection open after the response.
    #[must_use]
    pub fn keeps_connection(&self) -> bool {
        is_kept(&self.fields, self.minor_version)
    }

    /// Returns the seconds for which the sender keeps an idle connection, if its `keep-alive` header states them.
    #[must_use]
    pub fn idle_seconds(&self) -> Option<u64> {
        let value = self.fields.text("keep-alive")?;
        let part = value
            .split(',')
            .find_map(|part| part.trim().strip_prefix("timeout="))?;
        decimal(part.as_bytes())
    }
}

fn is_kept(fields: &HeaderFields, minor_version: u8) -> bool {
    if minor_version == 0 {
        return fields.lists("connection", "keep-alive");
    }
    !fields.lists("connection", "close")
}

fn complete_length(
    parsed: httparse::Result<usize>,
    present: usize,
    limit: usize,
) -> Result<Option<usize>, HeadError> {
    match parsed {
        Ok(httparse::Status::Complete(length)) if length > limit => Err(HeadError::TooLarge(limit)),
        Ok(httparse::Status::Complete(length)) => Ok(Some(length)),
        Ok(httparse::Status::Partial) if present > limit => Err(HeadError::TooLarge(limit)),
        Ok(httparse::Status::Partial) => Ok(None),
        Err(httparse::Error::TooManyHeaders) => Err(HeadError::TooLarge(limit)),
        Err(error) => Err(HeadError::Malformed(error.to_string())),
    }
}

/// Byte ranges of a header's name and value in the head.
struct FieldSpan {
    name: Range<usize>,
    value: Range<usize>,
}

fn span(base: usize, part: &[u8]) -> Range<usize> {
    if part.is_empty() {
        return 0..0;
    }
    let start = part.as_ptr() as usize - base;
    start..start + part.len()
}

fn field_spans(base: usize, headers: &[httparse::Header<'_>]) -> Vec<FieldSpan> {
    headers
        .iter()
        .map(|header| FieldSpan {
            name: span(base, header.name.as_bytes()),
            value: span(base, header.value),
        })
        .collect()
}

fn slices(raw: &Bytes, spans: Vec<FieldSpan>) -> HeaderFields {
    let fields = spans
        .into_iter()
        .map(|span| HeaderField {
            name: raw.slice(span.name),
            value: raw.slice(span.value),
        })
        .collect();
    HeaderFields { fields }
}
