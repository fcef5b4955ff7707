//! The deployment's certificate authority for links, and the keys of the key-value service under which instances share
//! state.

use serde::{Deserialize, Serialize};

use crate::identity::{IdentityError, LinkIdentity, make_authority, make_identity};

/// Prefix of the keys that every instance follows. Each change under it costs one call per instance, so it holds only
/// two keys.
pub const SHARED_PREFIX: &str = "samphiregrade/shared/";

/// Key of the certificate authority.
pub const AUTHORITY_KEY: &str = "samphiregrade/shared/authority";

/// Key of the keeper placement.
pub const PLACEMENT_KEY: &str = "samphiregrade/shared/placement";

/// Prefix of the keepers' registrations, which only keepers follow.
pub const REGISTRATION_PREFIX: &str = "samphiregrade/keepers/";

/// Prefix of all keys that keepers follow.
pub const KEEPER_PREFIX: &str = "samphiregrade/";

/// Certificate and private key of the certificate authority, in PEM format.
///
/// The first keeper generates the authority and stores it in the platform's key-value service, which only the platform
/// and the deployment's instances can read. Whoever reads the key can open links.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LinkAuthority {
    /// Certificate in PEM format.
    pub certificate: String,
    /// Private key in PEM format.
    pub key: String,
}

impl LinkAuthority {
    /// Generates a new authority.
    ///
    /// # Errors
    ///
    /// Returns the error of the certificate library.
    pub fn generate() -> Result<Self, IdentityError> {
        let (certificate, key) = make_authority()?;
        Ok(Self { certificate, key })
    }

    /// Issues the certificate and key of an instance.
    ///
    /// # Errors
    ///
    /// Returns the error of the certificate library.
    pub fn issue_identity(&self, name: &str) -> Result<LinkIdentity, IdentityError> {
        make_identity(&self.certificate, &self.key, name)
    }
}
