//! The list of instances, which may lag behind the instances that are running.

use std::net::SocketAddr;

use samphiregrade_http::{HttpPool, OutgoingRequest};
use serde::{Deserialize, Serialize};
use smol_str::{SmolStr, ToSmolStr};

use super::KeyValueError;
use crate::ids::{DomainId, InstanceName};

/// An instance in the list.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct ListedInstance {
    /// Name of the instance.
    pub name: InstanceName,
    /// Failure domain of the instance.
    pub failure_domain: DomainId,
    /// Address of the instance's peer listener.
    pub peer_address: SocketAddr,
    /// Whether the instance is leaving.
    #[serde(default)]
    pub leaving: bool,
}

/// Source of the instance list.
#[derive(Clone, Debug)]
pub enum InstanceList {
    /// A fixed list, from the settings.
    Fixed(Vec<ListedInstance>),
    /// A URL that returns a JSON array.
    Url(SmolStr, HttpPool),
}

impl InstanceList {
    /// Reads the list.
    ///
    /// # Errors
    ///
    /// Returns the reason why the list could not be read; callers continue to use the last list.
    pub async fn read(&self) -> Result<Vec<ListedInstance>, KeyValueError> {
        match self {
            Self::Fixed(instances) => Ok(instances.clone()),
            Self::Url(url, pool) => {
                let response = pool.fetch_json(OutgoingRequest::get(url)).await;
                let (_, instances) =
                    response.map_err(|error| KeyValueError::Unreachable(error.to_smolstr()))?;
                Ok(instances)
            }
        }
    }
}
