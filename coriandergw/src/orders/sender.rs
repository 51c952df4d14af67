//! Sends each order over its own connection, which is reset at the deadline of the order.

use std::time::Duration;

use bytes::Bytes;
use derive_more::Display;
use derive_more::Error;
use http_body_util::Full;
use hyper::Request;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::Instant;

use crate::endpoints::Announcement;
use crate::ids::FencingNumber;
use crate::orders::Order;
use crate::orders::state::OrderBody;

/// The time limit of one order, even if the lease lasts longer.
const ORDER_TIMEOUT: Duration = Duration::from_secs(2);

/// The HTTP status with which an engine rejects an outdated fencing number.
const CONFLICT: u16 = 409;

/// Why an order was not confirmed.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Display, Error)]
pub enum SendOrderError {
    /// The engine has seen a higher fencing number.
    #[display("the engine has seen a higher fencing number")]
    Fenced,
    /// The engine answered with a status other than 200 to 299 or 409.
    #[display("the engine answered with HTTP status {status}")]
    Status {
        /// The HTTP status.
        status: u16,
    },
    /// No answer was received; the engine may have received the order.
    #[display("no answer to the order: {reason}")]
    NoAnswer {
        /// The cause, such as an I/O error or the time-out.
        reason: String,
    },
}

fn no_answer<E>(cause: E) -> SendOrderError
where
    E: std::fmt::Display,
{
    SendOrderError::NoAnswer { reason: cause.to_string() }
}

/// Sends orders to engines.
#[derive(Debug, Clone, Copy, Default)]
pub struct OrderSender;

impl OrderSender {
    /// Sends an order and waits for its confirmation, at most until `deadline`.
    ///
    /// Nothing is written after the deadline, even if the process was suspended in between.
    ///
    /// # Errors
    /// Fails unless the engine confirms the order with a status of 200 to 299 before the deadline.
    pub async fn send(
        &self,
        engine: &Announcement,
        fencing: FencingNumber,
        order: &Order,
        deadline: Instant,
    ) -> Result<(), SendOrderError> {
        let body = serde_json::to_vec(&OrderBody { fencing, order }).map_err(no_answer)?;
        let deadline = deadline.min(Instant::now() + ORDER_TIMEOUT);
        let exchange = exchange(engine, body, deadline);
        let status = tokio::time::timeout_at(deadline, exchange).await.map_err(no_answer)??;
        match status {
            200..=299 => Ok(()),
            CONFLICT => Err(SendOrderError::Fenced),
            status => Err(SendOrderError::Status { status }),
        }
    }
}

async fn exchange(
    engine: &Announcement,
    body: Vec<u8>,
    deadline: Instant,
) -> Result<u16, SendOrderError> {
    let stream = TcpStream::connect(engine.address).await.map_err(no_answer)?;
    // With zero linger, closing resets the connection, so that the kernel does not send buffered
    // bytes later.
    stream.set_zero_linger().map_err(no_answer)?;
    stream.set_nodelay(true).map_err(no_answer)?;
    let (mut requests, connection) =
        http1::handshake(TokioIo::new(stream)).await.map_err(no_answer)?;
    let req = Request::post("/orders")
        .header("host", engine.address.to_string())
        .header("content-type", "application/json")
        .body(Full::new(Bytes::from(body)))
        .map_err(no_answer)?;
    // A time-out alone lets one more write through when a suspended process resumes.
    if Instant::now() >= deadline {
        return Err(no_answer("the deadline passed before the order was written"));
    }
    // The connection is polled here and not in a task, so that it is dropped at the deadline.
    let mut connection = std::pin::pin!(connection);
    tokio::select! {
        res = requests.send_request(req) => Ok(res.map_err(no_answer)?.status().as_u16()),
        closed = &mut connection => Err(no_answer(format!("connection closed: {closed:?}"))),
    }
}
