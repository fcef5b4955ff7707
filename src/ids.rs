//! Identifiers and number types shared by all modules.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use smol_str::{SmolStr, format_smolstr};
use thiserror::Error;

/// Name of a failure domain.
pub type DomainId = SmolStr;
/// Name of an instance, unique in the deployment and kept across restarts.
pub type InstanceName = SmolStr;
/// Name of an organisation.
pub type OrganisationId = SmolStr;
/// Name of a program class.
pub type ClassName = SmolStr;
/// Name of an upstream.
pub type UpstreamName = SmolStr;
/// Name of a model.
pub type ModelName = SmolStr;
/// Identifies a program; contains the id of the program's shard.
pub type ProgramId = SmolStr;
/// Number of a call within its program, from 1.
pub type SequenceNumber = u32;
/// Version of a shard's placement; only increases.
pub type ShardEpoch = u64;
/// Position in a shard's log, from 1; 0 is the position before the first entry.
pub type LogIndex = u64;
/// Revision of the key-value service.
pub type RevisionNumber = u64;
/// A number of tokens.
pub type TokenCount = u64;

/// Hexadecimal digits of the part of a program id that is derived from the caller's key.
const PROGRAM_DIGEST_DIGITS: usize = 20;

/// One process of an instance: the instance's name with a number that is generated at the start.
///
/// A restarted instance has lost the state in its memory, so it counts as another member.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct InstanceRef {
    /// Name of the instance.
    pub name: InstanceName,
    /// Number generated at the start of the process.
    pub incarnation: u64,
}

impl fmt::Display for InstanceRef {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}#{:x}", self.name, self.incarnation)
    }
}

/// Identifies a shard: its failure domain and its number there.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct ShardId {
    /// Failure domain the shard belongs to.
    pub domain: DomainId,
    /// Number within the failure domain, from 0.
    pub index: u16,
}

impl fmt::Display for ShardId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}.{}", self.domain, self.index)
    }
}

/// Error for a text that is not a program id.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
#[error("`{0}` is not a program id; use the one that the begin of the program returned")]
pub struct ProgramIdError(pub SmolStr);

impl ShardId {
    /// Returns the shard that a program id names.
    ///
    /// # Errors
    ///
    /// Returns [`ProgramIdError`] for any text that does not have the form of a [`program_id`].
    pub fn of_program(program: &str) -> Result<Self, ProgramIdError> {
        let error = || ProgramIdError(program.into());
        let (rest, digest) = program.rsplit_once('.').ok_or_else(error)?;
        let (domain, index) = rest.rsplit_once('.').ok_or_else(error)?;
        let digits = digest.bytes().all(|byte| byte.is_ascii_hexdigit());
        if domain.is_empty() || digest.len() != PROGRAM_DIGEST_DIGITS || !digits {
            return Err(error());
        }
        let index = u16::from_str(index).map_err(|_| error())?;
        Ok(Self {
            domain: domain.into(),
            index,
        })
    }
}

/// Composes the id of a program from its shard, its organisation and the caller's key.
///
/// The same key always gives the same id, which makes the start of a program idempotent without a lookup.
#[must_use]
pub fn program_id(shard: &ShardId, organisation: &str, key: &str) -> ProgramId {
    let digest = key_digest(organisation, key).to_hex();
    format_smolstr!("{shard}.{}", &digest[..PROGRAM_DIGEST_DIGITS])
}

/// Computes the shard of a caller's key by hash, among `shards` shards of each failure domain.
///
/// # Panics
///
/// Panics if `domains` is empty or `shards` is 0.
#[must_use]
pub fn natural_shard(domains: &[DomainId], shards: u16, organisation: &str, key: &str) -> ShardId {
    let digest = key_digest(organisation, key);
    let [.., first, second, third, fourth] = *digest.as_bytes();
    let domain = usize::from(u16::from_be_bytes([first, second])) % domains.len();
    let index = u16::from_be_bytes([third, fourth]) % shards;
    ShardId {
        domain: domains[domain].clone(),
        index,
    }
}

/// Computes the shard of a caller's key by hash, within one failure domain.
///
/// # Panics
///
/// Panics if `shards` is 0.
#[must_use]
pub fn shard_in_domain(domain: &DomainId, shards: u16, organisation: &str, key: &str) -> ShardId {
    natural_shard(std::slice::from_ref(domain), shards, organisation, key)
}

fn key_digest(organisation: &str, key: &str) -> blake3::Hash {
    let mut hasher = blake3::Hasher::new();
    hasher.update(organisation.as_bytes());
    hasher.update(&[0]);
    hasher.update(key.as_bytes());
    hasher.finalize()
}

#[cfg(test)]
mod tests {
    use quickcheck::quickcheck;

    use super::*;

    quickcheck! {
        fn program_id_names_its_shard(index: u16, organisation: String, key: String) -> bool {
            let shard = ShardId { domain: "bilbao-a".into(), index };
            let program = program_id(&shard, &organisation, &key);
            ShardId::of_program(&program) == Ok(shard)
        }
    }

    #[test]
    fn other_texts_are_refused() {
        for text in [
            "",
            "a",
            "a.1",
            "a.x.0123456789abcdef0123",
            "a.1.zz",
            ".1.0123456789abcdef0123",
        ] {
            assert!(ShardId::of_program(text).is_err(), "{text}");
        }
    }
}
