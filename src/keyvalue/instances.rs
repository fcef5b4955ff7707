//! The platform's lagging list of instances.

use std::net::SocketAddr;

use samphiregrade_http::{HttpPool, OutgoingRequest};
use serde::{Deserialize, Serialize};
use smol_str::{SmolStr, ToSmolStr};

use super::KeyValueError;
use crate::ids::{DomainId, InstanceName};

/// One instance as the list names it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct ListedInstance {
    /// Name of the instance.
    pub name: InstanceName,
    /// Its failure domain.
    pub failure_domain: DomainId,
    /// Address of its peer listener.
    pub peer_address: SocketAddr,
    /// Whether it is leaving.
    #[serde(default)]
    pub leaving: bool,
}

/// Where the list comes from.
#[derive(Clone, Debug)]
pub enum InstanceList {
    /// A fixed list, from the settings.
    Fixed(Vec<ListedInstance>),
    /// A URL that answers with a JSON array.
    Url(SmolStr, HttpPool),
}

impl InstanceList {
    /// Reads the list.
    ///
    /// # Errors
    ///
    /// Returns why the list could not be read; the last one stays in use.
    pub async fn read(&self) -> Result<Vec<ListedInstance>, KeyValueError> {
        match self {
            Self::Fixed(instances) => Ok(instances.clone()),
            Self::Url(url, pool) => {
                let answer = pool.fetch_json(OutgoingRequest::get(url)).await;
                let (_, instances) =
                    answer.map_err(|error| KeyValueError::Unreachable(error.to_smolstr()))?;
                Ok(instances)
            }
        }
    }
}
