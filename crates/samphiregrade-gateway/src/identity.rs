//! TLS certificates and keys for links between instances.

use std::fs;
use std::io;
use std::path::{Path, PathBuf};
use std::sync::Arc;

use quinn::crypto::rustls::{QuicClientConfig, QuicServerConfig};
use rcgen::{
    BasicConstraints, CertificateParams, CertifiedIssuer, DnType, IsCa, Issuer, KeyPair,
    KeyUsagePurpose,
};
use rustls::RootCertStore;
use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, PrivateKeyDer};
use rustls::server::WebPkiClientVerifier;
use thiserror::Error;

/// Server name in every instance's certificate; instances are distinguished by address.
pub const SERVER_NAME: &str = "samphiregrade";

/// ALPN protocol name that both ends of a link must offer.
const PROTOCOL: &[u8] = b"samphiregrade/1";

/// Error of reading, creating or using certificates and keys.
#[derive(Debug, Error)]
pub enum IdentityError {
    /// A file can't be read.
    #[error("{path}: {error}; create keys with `samphiregrade keys` and name them in the settings")]
    Unreadable {
        /// Path of the file.
        path: PathBuf,
        /// Cause of the failure.
        error: io::Error,
    },
    /// A certificate or key is not usable.
    #[error("the certificates can't be used: {0}; create new ones with `samphiregrade keys`")]
    Unusable(String),
}

fn unusable<Source>(error: Source) -> IdentityError
where
    Source: std::fmt::Display,
{
    IdentityError::Unusable(error.to_string())
}

/// Certificate and key of an instance, and the certificate authority that it trusts, in PEM format.
#[derive(Clone, Debug)]
pub struct LinkIdentity {
    /// Certificate of the authority.
    pub authority: String,
    /// Certificate of the instance.
    pub certificate: String,
    /// Private key of the instance.
    pub key: String,
}

impl LinkIdentity {
    /// Reads the three files.
    ///
    /// # Errors
    ///
    /// Returns [`IdentityError::Unreadable`] with the path of the file that can't be read.
    pub fn read(authority: &Path, certificate: &Path, key: &Path) -> Result<Self, IdentityError> {
        let read = |path: &Path| {
            fs::read_to_string(path).map_err(|error| IdentityError::Unreadable {
                path: path.to_owned(),
                error,
            })
        };
        Ok(Self {
            authority: read(authority)?,
            certificate: read(certificate)?,
            key: read(key)?,
        })
    }

    fn chain(&self) -> Result<Vec<CertificateDer<'static>>, IdentityError> {
        CertificateDer::pem_slice_iter(self.certificate.as_bytes())
            .collect::<Result<_, _>>()
            .map_err(unusable)
    }

    fn private_key(&self) -> Result<PrivateKeyDer<'static>, IdentityError> {
        PrivateKeyDer::from_pem_slice(self.key.as_bytes()).map_err(unusable)
    }

    fn roots(&self) -> Result<Arc<RootCertStore>, IdentityError> {
        let mut roots = RootCertStore::empty();
        for certificate in CertificateDer::pem_slice_iter(self.authority.as_bytes()) {
            roots
                .add(certificate.map_err(unusable)?)
                .map_err(unusable)?;
        }
        Ok(Arc::new(roots))
    }

    /// Builds the TLS configuration for accepting links.
    ///
    /// # Errors
    ///
    /// Returns [`IdentityError::Unusable`] with the error of the library.
    pub fn accepting_tls(&self) -> Result<rustls::ServerConfig, IdentityError> {
        let verifier = WebPkiClientVerifier::builder(self.roots()?)
            .build()
            .map_err(unusable)?;
        let mut config = rustls::ServerConfig::builder()
            .with_client_cert_verifier(verifier)
            .with_single_cert(self.chain()?, self.private_key()?)
            .map_err(unusable)?;
        config.alpn_protocols = vec![PROTOCOL.to_vec()];
        Ok(config)
    }

    /// Builds the TLS configuration for opening links.
    ///
    /// # Errors
    ///
    /// Returns [`IdentityError::Unusable`] with the error of the library.
    pub fn opening_tls(&self) -> Result<rustls::ClientConfig, IdentityError> {
        let mut config = rustls::ClientConfig::builder()
            .with_root_certificates(self.roots()?)
            .with_client_auth_cert(self.chain()?, self.private_key()?)
            .map_err(unusable)?;
        config.alpn_protocols = vec![PROTOCOL.to_vec()];
        Ok(config)
    }

    /// Builds the QUIC configuration for accepting links.
    ///
    /// # Errors
    ///
    /// Returns [`IdentityError::Unusable`] with the error of the library.
    pub fn server_config(&self) -> Result<QuicServerConfig, IdentityError> {
        QuicServerConfig::try_from(self.accepting_tls()?).map_err(unusable)
    }

    /// Builds the QUIC configuration for opening links.
    ///
    /// # Errors
    ///
    /// Returns [`IdentityError::Unusable`] with the error of the library.
    pub fn client_config(&self) -> Result<QuicClientConfig, IdentityError> {
        QuicClientConfig::try_from(self.opening_tls()?).map_err(unusable)
    }
}

/// Generates a certificate authority; returns its certificate and private key in PEM format.
///
/// # Errors
///
/// Returns [`IdentityError::Unusable`] with the error of the library.
pub fn make_authority() -> Result<(String, String), IdentityError> {
    let key = KeyPair::generate().map_err(unusable)?;
    let mut params = CertificateParams::default();
    params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
    params
        .distinguished_name
        .push(DnType::CommonName, "samphiregrade authority");
    params.key_usages = vec![KeyUsagePurpose::KeyCertSign];
    let key_text = key.serialize_pem();
    let issuer = CertifiedIssuer::self_signed(params, key).map_err(unusable)?;
    Ok((issuer.pem(), key_text))
}

/// Generates a key pair for an instance and issues its certificate with an authority.
///
/// # Errors
///
/// Returns [`IdentityError::Unusable`] with the error of the library.
pub fn make_identity(
    authority: &str,
    authority_key: &str,
    name: &str,
) -> Result<LinkIdentity, IdentityError> {
    let issuer_key = KeyPair::from_pem(authority_key).map_err(unusable)?;
    let issuer = Issuer::from_ca_cert_pem(authority, issuer_key).map_err(unusable)?;
    let key = KeyPair::generate().map_err(unusable)?;
    let names = vec![SERVER_NAME.to_owned()];
    let mut params = CertificateParams::new(names).map_err(unusable)?;
    params.distinguished_name.push(DnType::CommonName, name);
    let certificate = params.signed_by(&key, &issuer).map_err(unusable)?;
    Ok(LinkIdentity {
        authority: authority.to_owned(),
        certificate: certificate.pem(),
        key: key.serialize_pem(),
    })
}
