//! Makes the cluster's authority and the certificates of its instances.

use std::time::Duration;

use rcgen::BasicConstraints;
use rcgen::CertificateParams;
use rcgen::DnType;
use rcgen::IsCa;
use rcgen::Issuer;
use rcgen::KeyPair;
use time::OffsetDateTime;

use crate::clock::WallTime;
use crate::ids::InstanceName;

/// How long an authority is valid.
const AUTHORITY_VALIDITY: Duration = Duration::from_secs(10 * 365 * 24 * 60 * 60);

/// How long the certificate of an instance is valid.
const INSTANCE_VALIDITY: Duration = Duration::from_secs(365 * 24 * 60 * 60);

/// How far the clock of an instance may be behind that of the maker of its certificate.
const CLOCK_TOLERANCE: Duration = Duration::from_secs(60 * 60);

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
pub fn make_authority(cluster: &str, now: WallTime) -> Result<KeyPem, rcgen::Error> {
    let mut params = authority_params(cluster)?;
    set_validity(&mut params, now, AUTHORITY_VALIDITY);
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
    now: WallTime,
) -> Result<KeyPem, rcgen::Error> {
    let issuer = Issuer::new(authority_params(cluster)?, KeyPair::from_pem(authority_key)?);
    let mut params = CertificateParams::new(vec![instance.to_string()])?;
    params.distinguished_name = rcgen::DistinguishedName::new();
    params.distinguished_name.push(DnType::CommonName, instance.as_str());
    set_validity(&mut params, now, INSTANCE_VALIDITY);
    let key = KeyPair::generate()?;
    let certificate = params.signed_by(&key, &issuer)?;
    Ok(KeyPem { certificate: certificate.pem(), key: key.serialize_pem() })
}

fn authority_params(cluster: &str) -> Result<CertificateParams, rcgen::Error> {
    let mut params = CertificateParams::new(Vec::<String>::new())?;
    params.distinguished_name.push(DnType::CommonName, format!("coriandergw {cluster}"));
    params.is_ca = IsCa::Ca(BasicConstraints::Constrained(0));
    Ok(params)
}

fn set_validity(params: &mut CertificateParams, now: WallTime, validity: Duration) {
    let now = OffsetDateTime::UNIX_EPOCH + Duration::from_millis(now.0);
    params.not_before = now - CLOCK_TOLERANCE;
    params.not_after = now + validity;
}
