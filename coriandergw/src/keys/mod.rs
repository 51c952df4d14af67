//! Makes the cluster's authority and the certificates of its instances.

use rcgen::BasicConstraints;
use rcgen::CertificateParams;
use rcgen::DnType;
use rcgen::IsCa;
use rcgen::Issuer;
use rcgen::KeyPair;

use crate::ids::InstanceName;

/// A certificate and its private key, both in PEM.
#[derive(Debug, Clone)]
pub struct KeyPem {
    /// The certificate.
    pub certificate: String,
    /// The private key.
    pub key: String,
}

/// Makes an authority for a cluster.
///
/// # Errors
/// Fails if the key cannot be made.
pub fn make_authority(cluster: &str) -> Result<KeyPem, rcgen::Error> {
    let mut params = CertificateParams::new(Vec::<String>::new())?;
    params.distinguished_name.push(DnType::CommonName, format!("coriandergw {cluster}"));
    params.is_ca = IsCa::Ca(BasicConstraints::Constrained(0));
    let key = KeyPair::generate()?;
    let certificate = params.self_signed(&key)?;
    Ok(KeyPem { certificate: certificate.pem(), key: key.serialize_pem() })
}

/// Makes the certificate of one instance, signed by the authority whose private key is given.
///
/// # Errors
/// Fails if the authority's key is not valid.
pub fn make_certificate(
    cluster: &str,
    authority_key: &str,
    instance: &InstanceName,
) -> Result<KeyPem, rcgen::Error> {
    let mut authority_params = CertificateParams::new(Vec::<String>::new())?;
    let authority_name = format!("coriandergw {cluster}");
    authority_params.distinguished_name.push(DnType::CommonName, authority_name);
    authority_params.is_ca = IsCa::Ca(BasicConstraints::Constrained(0));
    let issuer = Issuer::new(authority_params, KeyPair::from_pem(authority_key)?);
    let mut params = CertificateParams::new(vec![instance.to_string()])?;
    params.distinguished_name = rcgen::DistinguishedName::new();
    params.distinguished_name.push(DnType::CommonName, instance.as_str());
    let key = KeyPair::generate()?;
    let certificate = params.signed_by(&key, &issuer)?;
    Ok(KeyPem { certificate: certificate.pem(), key: key.serialize_pem() })
}
