//! Sends one order over a connection of its own that is reset when its time is up.

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
use crate::orders::state::NumberedOrder;

/// The longest time that one order may take, whatever the lease allows.
const ORDER_TIMEOUT: Duration = Duration::from_secs(2);

/// The status of an engine that has seen a higher fencing number.
const CONFLICT: u16 = 409;

/// Says why an order is not confirmed.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Display, Error)]
pub enum SendOrderError {
    /// The engine has seen a higher fencing number.
    #[display("the engine has seen a higher fencing number")]
    Fenced,
    /// The engine answered with another status than 200.
    #[display("the engine answered {status}")]
    Status {
        /// The HTTP status.
        status: u16,
    },
    /// No answer came; the order may have arrived.
    #[display("the order is not confirmed: {reason}")]
    NoAnswer {
        /// What the lower layer reported.
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
    /// Nothing is written after the deadline, also if the process was stopped in between.
    ///
    /// # Errors
    /// Fails unless the engine confirms the order.
    pub async fn send(
        &self,
        engine: &Announcement,
        fencing: FencingNumber,
        order: &Order,
        deadline: Instant,
    ) -> Result<(), SendOrderError> {
        let body = serde_json::to_vec(&NumberedOrder { fencing, order }).map_err(no_answer)?;
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
    // Closing resets the connection, so that the system does not send buffered bytes later.
    stream.set_zero_linger().map_err(no_answer)?;
    stream.set_nodelay(true).map_err(no_answer)?;
    let (mut requests, connection) =
        http1::handshake(TokioIo::new(stream)).await.map_err(no_answer)?;
    let req = Request::post("/orders")
        .header("host", engine.address.to_string())
        .header("content-type", "application/json")
        .body(Full::new(Bytes::from(body)))
        .map_err(no_answer)?;
    // A timeout alone lets one more write through when a stopped process wakes up.
    if Instant::now() >= deadline {
        return Err(no_answer("the time for the order is over"));
    }
    // The connection is driven here and not by a task, so that it ends with the time for the order.
    let mut connection = std::pin::pin!(connection);
    tokio::select! {
        res = requests.send_request(req) => Ok(res.map_err(no_answer)?.status().as_u16()),
        closed = &mut connection => Err(no_answer(format!("closed: {closed:?}"))),
    }
}
