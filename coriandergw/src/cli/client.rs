//! Asks instances over HTTP on behalf of an operator.

use std::collections::BTreeSet;
use std::time::Duration;

use bytes::Bytes;
use derive_more::Display;
use derive_more::Error;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Method;
use hyper::Request;
use hyper::header;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde_json::Value;

/// The environment variable that holds the operator key.
pub(super) const KEY_VARIABLE: &str = "CORIANDERGW_OPERATOR_KEY";

/// How long one request may take.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);

/// Says why an instance gave no answer.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Display, Error)]
#[display("{address}: {reason}")]
pub(super) struct RequestError {
    /// The address that was asked.
    pub(super) address: String,
    /// What went wrong.
    pub(super) reason: String,
}

/// An answer of an instance.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct Answer {
    /// The HTTP status.
    pub(super) status: u16,
    /// The revision in the ETag, if there is one.
    pub(super) revision: Option<String>,
    /// The body; null if it is not JSON.
    pub(super) body: Value,
}

impl Answer {
    /// Returns whether the status is one of success.
    pub(super) fn is_success(&self) -> bool {
        (200..300).contains(&self.status)
    }
}

/// A client with the operator's key.
pub(super) struct OperatorClient {
    http: Client<HttpConnector, Full<Bytes>>,
    key: Option<String>,
}

impl OperatorClient {
    /// Creates a client with the key from the environment.
    pub(super) fn from_environment() -> Self {
        let http = Client::builder(TokioExecutor::new()).build_http();
        Self { http, key: std::env::var(KEY_VARIABLE).ok() }
    }

    /// Reads a path.
    pub(super) async fn get(&self, address: &str, path: &str) -> Result<Answer, RequestError> {
        self.send(Method::GET, address, path, &[], Bytes::new()).await
    }

    /// Sends a request with additional headers.
    pub(super) async fn send(
        &self,
        method: Method,
        address: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: Bytes,
    ) -> Result<Answer, RequestError> {
        let failed = |reason: String| RequestError { address: address.to_owned(), reason };
        let mut req = Request::builder().method(method).uri(format!("http://{address}{path}"));
        if let Some(key) = &self.key {
            req = req.header(header::AUTHORIZATION, format!("Bearer {key}"));
        }
        for (name, value) in headers {
            req = req.header(*name, *value);
        }
        let req = req.body(Full::new(body)).map_err(|cause| failed(cause.to_string()))?;
        let exchange = async {
            let res = self.http.request(req).await.map_err(|cause| cause.to_string())?;
            let status = res.status().as_u16();
            let tag = res.headers().get(header::ETAG).and_then(|tag| tag.to_str().ok());
            let revision = tag.map(|tag| tag.trim_matches('"').to_owned());
            let body = res.into_body().collect().await.map_err(|cause| cause.to_string())?;
            let body = serde_json::from_slice(&body.to_bytes()).unwrap_or(Value::Null);
            Ok::<_, String>(Answer { status, revision, body })
        };
        match tokio::time::timeout(REQUEST_TIMEOUT, exchange).await {
            Ok(answer) => answer.map_err(failed),
            Err(_) => Err(failed("no answer in time".to_owned())),
        }
    }
}

/// Returns the addresses of all registered instances, or the given one if none is known.
pub(super) async fn instance_addresses(
    client: &OperatorClient,
    address: &str,
) -> Result<BTreeSet<String>, RequestError> {
    let status = client.get(address, "/v1/status").await?;
    let instances = status.body["instances"].as_array().cloned().unwrap_or_default();
    let told = instances.iter().filter_map(|row| row["address"].as_str()).map(str::to_owned);
    let mut addresses: BTreeSet<String> = told.collect();
    if addresses.is_empty() {
        addresses.insert(address.to_owned());
    }
    Ok(addresses)
}
