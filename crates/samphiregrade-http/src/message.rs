//! Requests and responses as plain values that cross threads.

use std::time::Duration;

use ntex::http::Method;
use ntex::util::Bytes;
use serde::Serialize;
use serde::de::DeserializeOwned;
use smol_str::SmolStr;
use tokio::sync::mpsc;

/// Header names (lower case) with their values, in order.
pub type HeaderList = Vec<(SmolStr, SmolStr)>;

/// How long a client waits for the head of a response unless the request says otherwise.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(10);

/// Returns the first value of a header, by its lower-case name.
#[must_use]
pub fn header_value<'list>(headers: &'list HeaderList, name: &str) -> Option<&'list str> {
    headers
        .iter()
        .find(|(key, _)| key == name)
        .map(|(_, value)| value.as_str())
}

/// A request as a server hands it to its handler, with the complete body read.
#[derive(Clone, Debug)]
pub struct IncomingRequest {
    /// Request method.
    pub method: Method,
    /// Path without the query.
    pub path: SmolStr,
    /// Query without the question mark; empty if the URL has none.
    pub query: SmolStr,
    /// Headers with lower-case names.
    pub headers: HeaderList,
    /// Complete body.
    pub body: Bytes,
}

impl IncomingRequest {
    /// Returns the first value of a header, by its lower-case name.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        header_value(&self.headers, name)
    }

    /// Returns the first value of a query parameter.
    #[must_use]
    pub fn query_value(&self, name: &str) -> Option<&str> {
        self.query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .find(|(key, _)| *key == name)
            .map(|(_, value)| value)
    }

    /// Returns the path's segments.
    #[must_use]
    pub fn segments(&self) -> Vec<&str> {
        self.path
            .split('/')
            .filter(|part| !part.is_empty())
            .collect()
    }

    /// Parses the body as JSON.
    ///
    /// # Errors
    ///
    /// Returns the parser's error, which names line, column and field.
    pub fn json<Value>(&self) -> Result<Value, serde_json::Error>
    where
        Value: DeserializeOwned,
    {
        serde_json::from_slice(&self.body)
    }
}

/// The body of a response.
#[derive(Debug)]
pub enum ResponseBody {
    /// The complete body at once.
    Full(Bytes),
    /// Chunks sent as they arrive, until the sender is dropped.
    Stream(mpsc::Receiver<Bytes>),
}

/// A response as a handler returns it.
#[derive(Debug)]
pub struct OutgoingResponse {
    /// HTTP status code.
    pub status: u16,
    /// Headers except the content length.
    pub headers: HeaderList,
    /// The body.
    pub body: ResponseBody,
}

impl OutgoingResponse {
    /// Builds a response with a complete body of the given content type.
    pub fn full<Body>(status: u16, content_type: &str, body: Body) -> Self
    where
        Body: Into<Bytes>,
    {
        Self {
            status,
            headers: vec![("content-type".into(), content_type.into())],
            body: ResponseBody::Full(body.into()),
        }
    }

    /// Builds a JSON response.
    pub fn json<Value>(status: u16, value: &Value) -> Self
    where
        Value: Serialize,
    {
        let body = serde_json::to_vec(value).unwrap_or_default();
        Self::full(status, "application/json", body)
    }

    /// Builds a streamed response of the given content type.
    #[must_use]
    pub fn stream(status: u16, content_type: &str, chunks: mpsc::Receiver<Bytes>) -> Self {
        Self {
            status,
            headers: vec![("content-type".into(), content_type.into())],
            body: ResponseBody::Stream(chunks),
        }
    }

    /// Adds a header.
    #[must_use]
    pub fn with_header(mut self, name: &str, value: &str) -> Self {
        self.headers.push((name.into(), value.into()));
        self
    }

    /// Returns whether the connection is to be closed after this response.
    #[must_use]
    pub fn closes_connection(&self) -> bool {
        let mut named = self.headers.iter().filter(|(name, _)| name == "connection");
        named.any(|(_, value)| value == "close")
    }
}

/// A request for [`HttpPool::send`](crate::HttpPool::send).
#[derive(Clone, Debug)]
pub struct OutgoingRequest {
    /// Request method.
    pub method: Method,
    /// Absolute URL.
    pub url: SmolStr,
    /// Headers except host and content length.
    pub headers: HeaderList,
    /// Complete body.
    pub body: Bytes,
    /// Longest wait for the head of the response, and then for each chunk of its body.
    pub timeout: Duration,
    /// Whether to open a separate connection for this request.
    ///
    /// On a reused connection that the server has just closed, the client can't know whether a
    /// request arrived; on a fresh connection, a failure to connect proves that it did not.
    pub fresh_connection: bool,
}

impl OutgoingRequest {
    /// Starts a GET request.
    #[must_use]
    pub fn get(url: &str) -> Self {
        Self::new(Method::GET, url)
    }

    /// Starts a POST request with a JSON body.
    pub fn post_json<Value>(url: &str, value: &Value) -> Self
    where
        Value: Serialize,
    {
        let body = serde_json::to_vec(value).unwrap_or_default();
        Self::new(Method::POST, url)
            .with_header("content-type", "application/json")
            .with_body(body)
    }

    /// Starts a request with an empty body.
    #[must_use]
    pub fn new(method: Method, url: &str) -> Self {
        Self {
            method,
            url: url.into(),
            headers: HeaderList::new(),
            body: Bytes::new(),
            timeout: DEFAULT_TIMEOUT,
            fresh_connection: false,
        }
    }

    /// Adds a header.
    #[must_use]
    pub fn with_header(mut self, name: &str, value: &str) -> Self {
        self.headers.push((name.into(), value.into()));
        self
    }

    /// Replaces the body.
    #[must_use]
    pub fn with_body<Body>(mut self, body: Body) -> Self
    where
        Body: Into<Bytes>,
    {
        self.body = body.into();
        self
    }

    /// Replaces the timeout.
    #[must_use]
    pub fn with_timeout(mut self, timeout: Duration) -> Self {
        self.timeout = timeout;
        self
    }

    /// Sets whether to open a separate connection for this request.
    #[must_use]
    pub fn with_fresh_connection(mut self, fresh: bool) -> Self {
        self.fresh_connection = fresh;
        self
    }
}
