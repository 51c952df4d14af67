//! A small HTTP client for the fakes, the tests and the bench.

use std::time::Duration;

use bytes::Bytes;
use derive_more::Display;
use derive_more::Error;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::HeaderMap;
use hyper::Method;
use hyper::Request;
use hyper_util::client::legacy::Client as HyperClient;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde_json::Value;

/// How long a request of [`get`] and [`post`] may take.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);

/// How long connecting may take.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// An answer.
#[derive(Debug, Clone)]
pub struct Answer {
    /// The status.
    pub status: u16,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

impl Answer {
    /// Returns the body as JSON; null if it is none.
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }
}

/// Says why a request got no whole answer.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Display, Error)]
#[display("{reason}")]
pub struct HttpError {
    /// What the lower layer reported.
    pub reason: String,
    /// Whether no connection came about.
    pub not_sent: bool,
}

impl HttpError {
    fn lost<E>(cause: E) -> Self
    where
        E: std::fmt::Display,
    {
        Self { reason: cause.to_string(), not_sent: false }
    }
}

/// A request to send.
#[derive(Debug, Clone)]
pub struct Call {
    /// The method.
    pub method: Method,
    /// The address.
    pub url: String,
    /// The headers.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: Bytes,
    /// How long it may take.
    pub timeout: Duration,
}

impl Call {
    /// Builds a request without a body.
    pub fn new(method: Method, url: &str) -> Self {
        let (headers, body) = (Vec::new(), Bytes::new());
        Self { method, url: url.to_owned(), headers, body, timeout: REQUEST_TIMEOUT }
    }

    /// Sets a JSON body.
    pub fn json(mut self, body: &Value) -> Self {
        self.body = Bytes::from(body.to_string());
        self.header("content-type", "application/json")
    }

    /// Adds a header.
    pub fn header(mut self, name: &str, value: &str) -> Self {
        self.headers.push((name.to_owned(), value.to_owned()));
        self
    }

    /// Adds a bearer key.
    pub fn bearer(self, key: &str) -> Self {
        self.header("authorization", &format!("Bearer {key}"))
    }

    /// Sets how long the request may take.
    pub fn timeout(mut self, timeout: Duration) -> Self {
        self.timeout = timeout;
        self
    }
}

/// Sends requests and keeps connections open between them.
#[derive(Debug, Clone)]
pub struct Client {
    http: HyperClient<HttpConnector, Full<Bytes>>,
}

impl Default for Client {
    fn default() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        Self { http: HyperClient::builder(TokioExecutor::new()).build(connector) }
    }
}

impl Client {
    /// Sends a request and reads the whole answer.
    ///
    /// # Errors
    /// Fails if no whole answer arrives in time.
    pub async fn send(&self, call: Call) -> Result<Answer, HttpError> {
        let timeout = call.timeout;
        let timed_out = |_| HttpError::lost("timed out");
        tokio::time::timeout(timeout, self.exchange(call)).await.map_err(timed_out)?
    }

    async fn exchange(&self, call: Call) -> Result<Answer, HttpError> {
        let mut req = Request::builder().method(call.method).uri(&call.url);
        for (name, value) in &call.headers {
            req = req.header(name, value);
        }
        let req = req.body(Full::new(call.body)).map_err(HttpError::lost)?;
        let res = self.http.request(req).await.map_err(|cause| HttpError {
            reason: format!("{cause:?}"),
            not_sent: cause.is_connect(),
        })?;
        let status = res.status().as_u16();
        let headers = res.headers().clone();
        let body = res.into_body().collect().await.map_err(HttpError::lost)?.to_bytes();
        Ok(Answer { status, headers, body })
    }
}

/// Sends one GET on a connection of its own.
///
/// # Errors
/// Fails if no whole answer arrives in time.
pub async fn get(url: &str) -> Result<Answer, HttpError> {
    Client::default().send(Call::new(Method::GET, url)).await
}

/// Sends one POST with a JSON body on a connection of its own.
///
/// # Errors
/// Fails if no whole answer arrives in time.
pub async fn post(url: &str, body: &Value) -> Result<Answer, HttpError> {
    Client::default().send(Call::new(Method::POST, url).json(body)).await
}
