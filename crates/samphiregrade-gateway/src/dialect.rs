//! What the core needs from an adapter: names and formats of a platform, as pure functions.

use std::time::Duration;

use bytes::BytesMut;
use samphiregrade_http::wire::{HeaderField, RequestHead, ResponseHead};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use thiserror::Error;

use crate::model::{
    DispatchHeaders, RequestMetadata, ResponseMetadata, RoutingConfig, UpstreamId, UpstreamRecord,
};

/// Revision of the key-value service; it grows with each change.
pub type StoreRevision = u64;

/// Bytes that the adapter can't decode.
#[derive(Clone, Debug, Error)]
#[error("{what} can't be decoded: {reason}; the last good one stays in force")]
pub struct DecodeError {
    /// What was decoded.
    pub what: SmolStr,
    /// Why it failed.
    pub reason: String,
}

/// A call of the key-value service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoreCall {
    /// HTTP method.
    pub method: &'static str,
    /// Path and query.
    pub target: String,
    /// Body, empty for reads.
    pub body: Vec<u8>,
}

/// How old what is read may be.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReadConsistency {
    /// As it is.
    Latest,
    /// Some seconds old, which is cheaper.
    MayBeStale,
}

/// What lies under a key of the key-value service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum StoreValue {
    /// The bytes that were written.
    Present(Vec<u8>),
    /// Nothing any more.
    Removed,
    /// Something that can't be decoded; the reason.
    Unreadable(SmolStr),
}

impl StoreValue {
    /// Returns the bytes, where there are any that can be read.
    #[must_use]
    pub fn bytes(&self) -> Option<&[u8]> {
        match self {
            Self::Present(bytes) => Some(bytes),
            Self::Removed | Self::Unreadable(_) => None,
        }
    }
}

/// A key of the key-value service with its value.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StoreItem {
    /// The key.
    pub key: SmolStr,
    /// Its value.
    pub value: StoreValue,
    /// Revision of its last change.
    pub revision: StoreRevision,
}

/// One page of values, or what a watch brought.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct StorePage {
    /// The values, or the changes in order.
    pub items: Vec<StoreItem>,
    /// Items that name no key: nobody can tell whose they are.
    pub nameless: usize,
    /// Whether more values follow after the last one.
    pub has_more: bool,
    /// Revision of the service at that time.
    pub revision: StoreRevision,
}

/// A change under the condition that the key is unchanged.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoreWrite {
    /// Key to write.
    pub key: SmolStr,
    /// Revision that it must have; 0 where it must not exist, `None` without a condition.
    pub expected_revision: Option<StoreRevision>,
    /// New value.
    pub value: Vec<u8>,
}

/// Names and formats of the platform that the instance runs on. Nothing in it decides.
pub trait Dialect: Send + Sync + 'static {
    /// Returns the path that asks whether the instance takes connections.
    fn readiness_path(&self) -> &'static str;

    /// Decodes what a request's head says.
    fn request_metadata(&self, head: &RequestHead) -> RequestMetadata;

    /// Decodes what an answer's head says.
    fn response_metadata(&self, head: &ResponseHead) -> ResponseMetadata;

    /// Returns whether a header is the system's to set: a client's is not passed on.
    fn is_system_header(&self, field: &HeaderField) -> bool;

    /// Returns whether a header says who calls: it is not passed on where callers have keys.
    fn is_credential_header(&self, field: &HeaderField) -> bool;

    /// Writes the headers that the system sets on a dispatched request.
    fn write_dispatch_headers(&self, orders: &DispatchHeaders, output: &mut BytesMut);

    /// Writes the headers of an answer of the instance's own: which request it answers, and when the client
    /// should come back.
    fn write_refusal_headers(
        &self,
        request: Option<&str>,
        wait: Option<Duration>,
        output: &mut BytesMut,
    );

    /// Returns the key of the operators' configuration.
    fn configuration_key(&self) -> &'static str;

    /// Returns the prefix of the operators' wishes to empty instances.
    fn retirement_prefix(&self) -> &'static str;

    /// Returns the prefix of the upstreams' entries.
    fn upstream_prefix(&self) -> &'static str;

    /// Returns the upstream whose entry has the key.
    fn upstream_id(&self, key: &str) -> Option<UpstreamId>;

    /// Returns the instance that an operator's key asks to empty.
    fn retiring_instance(&self, key: &str) -> Option<SmolStr>;

    /// Returns the key and value that tell whether an instance is empty.
    fn retirement_status(&self, instance: &str, completed: bool) -> StoreWrite;

    /// Decodes the operators' configuration.
    ///
    /// # Errors
    ///
    /// [`DecodeError`] with the reason.
    fn configuration(&self, value: &[u8]) -> Result<RoutingConfig, DecodeError>;

    /// Decodes an upstream's entry.
    ///
    /// # Errors
    ///
    /// [`DecodeError`] with the reason.
    fn upstream(&self, id: &UpstreamId, value: &[u8]) -> Result<UpstreamRecord, DecodeError>;

    /// Composes a read of all keys under a prefix, after a key.
    fn read_call(&self, prefix: &str, after: Option<&str>, age: ReadConsistency) -> StoreCall;

    /// Composes a wait for changes under a prefix, after a revision.
    fn watch_call(&self, prefix: &str, after: StoreRevision, wait: Duration) -> StoreCall;

    /// Composes a change.
    fn write_call(&self, change: &StoreWrite) -> StoreCall;

    /// Decodes a page of a read or what a watch brought. An item that can't be decoded harms no other one.
    ///
    /// # Errors
    ///
    /// [`DecodeError`] with the reason.
    fn page(&self, body: &[u8]) -> Result<StorePage, DecodeError>;
}
