//! Messages of etcd's JSON gateway, as far as the stand-in supports them.
//!
//! Keys and values are base64 and 64-bit numbers are decimal strings, according to the gateway's
//! mapping of protocol buffers to JSON.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde::{Deserialize, Deserializer};

/// Decodes a base64 field.
fn bytes<'de, Source>(source: Source) -> Result<Vec<u8>, Source::Error>
where
    Source: Deserializer<'de>,
{
    let text = String::deserialize(source)?;
    STANDARD.decode(text).map_err(serde::de::Error::custom)
}

/// Reads a 64-bit number given as a number or as a decimal string.
fn number<'de, Source>(source: Source) -> Result<u64, Source::Error>
where
    Source: Deserializer<'de>,
{
    #[derive(Deserialize)]
    #[serde(untagged)]
    enum Either {
        Number(u64),
        Text(String),
    }
    match Either::deserialize(source)? {
        Either::Number(value) => Ok(value),
        Either::Text(text) => text.parse().map_err(serde::de::Error::custom),
    }
}

/// A range of keys: one key, or all keys from `key` (inclusive) to `range_end` (exclusive).
#[derive(Clone, Debug, Deserialize)]
pub struct RangeCall {
    #[serde(deserialize_with = "bytes")]
    pub key: Vec<u8>,
    #[serde(default, deserialize_with = "bytes")]
    pub range_end: Vec<u8>,
    #[serde(default, deserialize_with = "number")]
    pub start_revision: u64,
}

impl RangeCall {
    /// Returns whether the range contains the key.
    pub fn covers(&self, key: &[u8]) -> bool {
        if self.range_end.is_empty() {
            return self.key == key;
        }
        key >= self.key.as_slice() && key < self.range_end.as_slice()
    }
}

/// One condition of a transaction: the revision of a key's last change.
#[derive(Clone, Debug, Deserialize)]
pub struct Compare {
    #[serde(deserialize_with = "bytes")]
    pub key: Vec<u8>,
    #[serde(deserialize_with = "number")]
    pub mod_revision: u64,
}

/// A write of one key.
#[derive(Clone, Debug, Deserialize)]
pub struct PutCall {
    #[serde(deserialize_with = "bytes")]
    pub key: Vec<u8>,
    #[serde(deserialize_with = "bytes")]
    pub value: Vec<u8>,
    #[serde(default, deserialize_with = "number")]
    pub lease: u64,
}

/// One operation of a transaction.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct Operation {
    #[serde(rename = "request_put")]
    pub put: Option<PutCall>,
    #[serde(rename = "request_delete_range")]
    pub delete: Option<RangeCall>,
    #[serde(rename = "request_range")]
    pub range: Option<RangeCall>,
}

/// A transaction: runs the operations of `success` if every condition holds, otherwise those of `failure`.
#[derive(Clone, Debug, Deserialize)]
pub struct TxnCall {
    #[serde(default)]
    pub compare: Vec<Compare>,
    #[serde(default)]
    pub success: Vec<Operation>,
    #[serde(default)]
    pub failure: Vec<Operation>,
}

/// A request to grant, renew or revoke a lease.
#[derive(Clone, Debug, Deserialize)]
pub struct LeaseCall {
    #[serde(default, rename = "TTL", deserialize_with = "number")]
    pub ttl: u64,
    #[serde(default, rename = "ID", deserialize_with = "number")]
    pub id: u64,
}

/// A request to open a watch.
#[derive(Clone, Debug, Deserialize)]
pub struct WatchCall {
    pub create_request: RangeCall,
}

/// Encodes a base64 field.
pub fn encode(bytes: &[u8]) -> String {
    STANDARD.encode(bytes)
}
