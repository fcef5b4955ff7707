//! Interface between the core and a platform adapter: names and formats of the platform, as pure functions.

use std::time::Duration;

use bytes::BytesMut;
use samphiregrade_http::wire::{HeaderField, RequestHead, ResponseHead};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use thiserror::Error;

use crate::model::{
    DispatchHeaders, RequestMetadata, ResponseMetadata, RoutingConfig, UpstreamId, UpstreamRecord,
};

/// Revision of the key-value service, which grows with each change.
pub type StoreRevision = u64;

/// Error of decoding data of the platform.
#[derive(Clone, Debug, Error)]
#[error("{what} can't be decoded: {reason}; the last valid one stays in force")]
pub struct DecodeError {
    /// Kind of the data.
    pub what: SmolStr,
    /// Cause of the failure.
    pub reason: String,
}

/// An HTTP call to the key-value service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoreCall {
    /// HTTP method.
    pub method: &'static str,
    /// Path and query.
    pub target: String,
    /// Body; empty for reads.
    pub body: Vec<u8>,
}

/// Consistency of a read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReadConsistency {
    /// The newest state.
    Latest,
    /// A state that may be some seconds old, which is cheaper.
    MayBeStale,
}

/// Value of a key in the key-value service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum StoreValue {
    /// The bytes that were written.
    Present(Vec<u8>),
    /// The key has been removed.
    Removed,
    /// The value can't be decoded, for the given reason.
    Unreadable(SmolStr),
}

impl StoreValue {
    /// Returns the bytes, if present and readable.
    #[must_use]
    pub fn bytes(&self) -> Option<&[u8]> {
        match self {
            Self::Present(bytes) => Some(bytes),
            Self::Removed | Self::Unreadable(_) => None,
        }
    }
}

/// A key in the key-value service with its value.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StoreItem {
    /// The key.
    pub key: SmolStr,
    /// The value.
    pub value: StoreValue,
    /// Revision of the last change of the key.
    pub revision: StoreRevision,
}

/// One page of a read, or the result of a watch.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct StorePage {
    /// The keys and values of a read, or the changes of a watch in order.
    pub items: Vec<StoreItem>,
    /// Number of items without a key, which can't be attributed.
    pub nameless: usize,
    /// Whether more items follow after the last one.
    pub has_more: bool,
    /// Revision of the service at the time of the call.
    pub revision: StoreRevision,
}

/// A conditional write of a key (compare-and-set).
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoreWrite {
    /// Key to write.
    pub key: SmolStr,
    /// Revision that the key must have: 0 if the key must not exist, `None` for an unconditional write.
    pub expected_revision: Option<StoreRevision>,
    /// New value.
    pub value: Vec<u8>,
}

/// Names and formats of the platform on which the instance runs. Implementations only translate and make no decisions.
pub trait Dialect: Send + Sync + 'static {
    /// Returns the path of the readiness probe.
    fn readiness_path(&self) -> &'static str;

    /// Decodes the metadata in the head of a request.
    fn request_metadata(&self, head: &RequestHead) -> RequestMetadata;

    /// Decodes the metadata in the head of a response.
    fn response_metadata(&self, head: &ResponseHead) -> ResponseMetadata;

    /// Returns whether only the system sets a header; such a header of a client is not forwarded.
    fn is_system_header(&self, field: &HeaderField) -> bool;

    /// Returns whether a header identifies the caller; such a header is not forwarded if callers have keys.
    fn is_credential_header(&self, field: &HeaderField) -> bool;

    /// Writes the headers that the system sets on a dispatched request.
    fn write_dispatch_headers(&self, headers: &DispatchHeaders, output: &mut BytesMut);

    /// Writes the headers of a response that the instance itself generates: the request to which the response belongs,
    /// and the time after which the client should retry.
    fn write_refusal_headers(
        &self,
        request: Option<&str>,
        wait: Option<Duration>,
        output: &mut BytesMut,
    );

    /// Returns the key of the operators' configuration.
    fn configuration_key(&self) -> &'static str;

    /// Returns the prefix of the keys with which operators retire instances.
    fn retirement_prefix(&self) -> &'static str;

    /// Returns the prefix of the upstreams' records.
    fn upstream_prefix(&self) -> &'static str;

    /// Returns the upstream whose record has the given key.
    fn upstream_id(&self, key: &str) -> Option<UpstreamId>;

    /// Returns the instance that the given key of an operator retires.
    fn retiring_instance(&self, key: &str) -> Option<SmolStr>;

    /// Composes the write that reports whether the retirement of an instance is complete.
    fn retirement_status(&self, instance: &str, completed: bool) -> StoreWrite;

    /// Decodes the operators' configuration.
    ///
    /// # Errors
    ///
    /// Returns [`DecodeError`] with the reason.
    fn configuration(&self, value: &[u8]) -> Result<RoutingConfig, DecodeError>;

    /// Decodes an upstream's record.
    ///
    /// # Errors
    ///
    /// Returns [`DecodeError`] with the reason.
    fn upstream(&self, id: &UpstreamId, value: &[u8]) -> Result<UpstreamRecord, DecodeError>;

    /// Composes a read of all keys under a prefix, starting after the key `after`.
    fn read_call(
        &self,
        prefix: &str,
        after: Option<&str>,
        consistency: ReadConsistency,
    ) -> StoreCall;

    /// Composes a watch for changes under a prefix after a revision, which waits at most `wait`.
    fn watch_call(&self, prefix: &str, after: StoreRevision, wait: Duration) -> StoreCall;

    /// Composes a conditional write.
    fn write_call(&self, write: &StoreWrite) -> StoreCall;

    /// Decodes a page of a read or the result of a watch. An item that can't be decoded does not affect the others.
    ///
    /// # Errors
    ///
    /// Returns [`DecodeError`] with the reason.
    fn page(&self, body: &[u8]) -> Result<StorePage, DecodeError>;
}
