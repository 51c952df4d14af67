//! TLS between instances: each side shows a certificate of the cluster's authority.

use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;

use derive_more::Display;
use derive_more::Error;
use quinn::Connection;
use quinn::crypto::rustls::QuicClientConfig;
use quinn::crypto::rustls::QuicServerConfig;
use rustls::RootCertStore;
use rustls::pki_types::CertificateDer;
use rustls::pki_types::PrivateKeyDer;
use rustls::pki_types::pem::PemObject;
use rustls::server::WebPkiClientVerifier;

use crate::ids::InstanceName;

/// The application protocol that both sides must name.
const PROTOCOL: &[u8] = b"coriandergw/1";

/// Where an instance finds its keys.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeyFiles {
    /// The authority's certificate, PEM.
    pub authority: PathBuf,
    /// The instance's certificate, PEM.
    pub certificate: PathBuf,
    /// The instance's private key, PEM.
    pub key: PathBuf,
}

/// Says why keys could not be used.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Display, Error)]
#[display("{}: {reason}", file.display())]
pub struct KeyError {
    /// The file at fault.
    pub file: PathBuf,
    /// What is wrong with it.
    pub reason: String,
}

/// The TLS settings of both roles of an instance.
#[derive(Clone)]
pub struct TlsConfigs {
    /// Used for incoming connections.
    pub server: Arc<QuicServerConfig>,
    /// Used for outgoing connections.
    pub client: Arc<QuicClientConfig>,
    /// When the instance's certificate expires, in seconds since the Unix epoch.
    pub expires_at_s: Option<i64>,
}

impl TlsConfigs {
    /// Loads the keys from their files.
    ///
    /// # Errors
    /// Fails if a file cannot be read or does not hold what it should.
    pub fn load(files: &KeyFiles) -> Result<Self, KeyError> {
        let authority = read_certificate(&files.authority)?;
        let certificate = read_certificate(&files.certificate)?;
        let key = PrivateKeyDer::from_pem_file(&files.key)
            .map_err(|cause| KeyError { file: files.key.clone(), reason: cause.to_string() })?;
        Self::build(authority, certificate, key)
            .map_err(|reason| KeyError { file: files.certificate.clone(), reason })
    }

    /// Builds the settings from parsed keys.
    ///
    /// # Errors
    /// Fails with a reason if the keys do not fit together.
    pub fn build(
        authority: CertificateDer<'static>,
        certificate: CertificateDer<'static>,
        key: PrivateKeyDer<'static>,
    ) -> Result<Self, String> {
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let expires_at_s = expiry_seconds(&certificate);
        let mut roots = RootCertStore::empty();
        roots.add(authority).map_err(|cause| cause.to_string())?;
        let roots = Arc::new(roots);
        let verifier = WebPkiClientVerifier::builder_with_provider(roots.clone(), provider.clone())
            .build()
            .map_err(|cause| cause.to_string())?;
        let mut server = rustls::ServerConfig::builder_with_provider(provider.clone())
            .with_protocol_versions(&[&rustls::version::TLS13])
            .map_err(|cause| cause.to_string())?
            .with_client_cert_verifier(verifier)
            .with_single_cert(vec![certificate.clone()], key.clone_key())
            .map_err(|cause| cause.to_string())?;
        server.alpn_protocols = vec![PROTOCOL.to_vec()];
        let mut client = rustls::ClientConfig::builder_with_provider(provider)
            .with_protocol_versions(&[&rustls::version::TLS13])
            .map_err(|cause| cause.to_string())?
            .with_root_certificates(roots)
            .with_client_auth_cert(vec![certificate], key)
            .map_err(|cause| cause.to_string())?;
        client.alpn_protocols = vec![PROTOCOL.to_vec()];
        let server = QuicServerConfig::try_from(server).map_err(|cause| cause.to_string())?;
        let client = QuicClientConfig::try_from(client).map_err(|cause| cause.to_string())?;
        Ok(Self { server: Arc::new(server), client: Arc::new(client), expires_at_s })
    }
}

fn read_certificate(file: &Path) -> Result<CertificateDer<'static>, KeyError> {
    CertificateDer::from_pem_file(file)
        .map_err(|cause| KeyError { file: file.to_owned(), reason: cause.to_string() })
}

/// Returns the instance name in the peer's verified certificate.
pub fn peer_name(connection: &Connection) -> Option<InstanceName> {
    let identity = connection.peer_identity()?;
    let chain = identity.downcast::<Vec<CertificateDer<'static>>>().ok()?;
    common_name(chain.first()?)
}

/// Returns the common name of a certificate's subject.
fn common_name(certificate: &CertificateDer<'_>) -> Option<InstanceName> {
    let (_, parsed) = x509_parser::parse_x509_certificate(certificate).ok()?;
    let name = parsed.subject().iter_common_name().next()?.as_str().ok()?;
    InstanceName::try_from(name).ok()
}

/// Returns when a certificate expires, in seconds since the Unix epoch.
fn expiry_seconds(certificate: &CertificateDer<'_>) -> Option<i64> {
    let (_, parsed) = x509_parser::parse_x509_certificate(certificate).ok()?;
    Some(parsed.validity().not_after.timestamp())
}
