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

/// The longest instance name in a certificate, in bytes; the limit of a common name in X.509.
const MAX_NAME_BYTES: usize = 64;

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
        Ok(Self { server: Arc::new(server), client: Arc::new(client) })
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

/// Finds the common name (object identifier 2.5.4.3) of the subject in a DER certificate.
fn common_name(certificate: &CertificateDer<'_>) -> Option<InstanceName> {
    const COMMON_NAME_OID: &[u8] = &[0x06, 0x03, 0x55, 0x04, 0x03];
    let der = certificate.as_ref();
    // The issuer's name comes first, the subject's is the last one.
    let start = der.windows(COMMON_NAME_OID.len()).rposition(|w| w == COMMON_NAME_OID)?;
    let value = der.get(start + COMMON_NAME_OID.len()..)?;
    let length = usize::from(*value.get(1)?);
    if length > MAX_NAME_BYTES {
        return None;
    }
    let text = std::str::from_utf8(value.get(2..2 + length)?).ok()?;
    InstanceName::try_from(text).ok()
}
