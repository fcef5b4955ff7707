//! The deployment's own authority for links, and the keys under which instances share what they agree on.

use serde::{Deserialize, Serialize};

use crate::identity::{IdentityError, LinkIdentity, make_authority, make_identity};

/// Prefix of the keys that every instance follows. Each change there costs a call of each instance, so there
/// are only two.
pub const SHARED_PREFIX: &str = "samphiregrade/shared/";

/// Key of the authority.
pub const AUTHORITY_KEY: &str = "samphiregrade/shared/authority";

/// Key of the placement of keepers.
pub const PLACEMENT_KEY: &str = "samphiregrade/shared/placement";

/// Prefix of the keepers' registrations, which only keepers follow.
pub const REGISTRATION_PREFIX: &str = "samphiregrade/keepers/";

/// Prefix of all keys that keepers follow.
pub const KEEPER_PREFIX: &str = "samphiregrade/";

/// Certificate and key of the authority, as PEM text.
///
/// The first keeper makes it. It lies in the platform's key-value service, which only the platform and the
/// deployment's instances can read; whoever reads it can open links.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LinkAuthority {
    /// The certificate.
    pub certificate: String,
    /// The key.
    pub key: String,
}

impl LinkAuthority {
    /// Makes a new authority.
    ///
    /// # Errors
    ///
    /// The library's reason.
    pub fn make() -> Result<Self, IdentityError> {
        let (certificate, key) = make_authority()?;
        Ok(Self { certificate, key })
    }

    /// Makes an instance's identity.
    ///
    /// # Errors
    ///
    /// The library's reason.
    pub fn identity(&self, name: &str) -> Result<LinkIdentity, IdentityError> {
        make_identity(&self.certificate, &self.key, name)
    }
}
