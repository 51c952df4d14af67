//! A test endpoint whose responses are scripted byte by byte.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::BytesMut;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio_util::sync::CancellationToken;

/// A request as it was received.
#[derive(Debug, Clone)]
pub struct Seen {
    pub head: String,
    pub body: Vec<u8>,
    /// The connection that it came on, from 0.
    pub connection: usize,
}

impl Seen {
    /// Returns the value of a header.
    pub fn header(&self, name: &str) -> Option<String> {
        let lines = self.head.lines().skip(1).filter_map(|line| line.split_once(':'));
        let mut found = lines.filter(|(known, _)| known.eq_ignore_ascii_case(name));
        found.next().map(|(_, value)| value.trim().to_owned())
    }

    pub fn path(&self) -> &str {
        self.head.split(' ').nth(1).unwrap_or_default()
    }
}

/// One step of an endpoint's response to a request.
pub enum Step {
    Send(Vec<u8>),
    /// Sends the bytes again and again until the peer closes the connection.
    Flood(Vec<u8>),
    /// Sends nothing for a while.
    Wait(Duration),
    /// Resets the connection.
    Reset,
    /// Closes the connection after the bytes sent so far.
    Close,
    /// Ends the sending half of the connection and goes on to read requests.
    EndSending,
    /// Ends the endpoint with all its connections; further ones are refused.
    Crash,
    /// Sends nothing more and keeps the connection open until the peer closes it.
    Hang,
}

type Script = dyn Fn(usize, &Seen) -> Vec<Step> + Send + Sync;

/// A scripted endpoint; the script receives the index of the request, from 0, and the request.
#[derive(Clone)]
pub struct Endpoint {
    pub address: SocketAddr,
    seen: Arc<Mutex<Vec<Seen>>>,
    opened: Arc<AtomicUsize>,
    closed: Arc<Mutex<usize>>,
    flooded: Arc<AtomicUsize>,
    crashed: CancellationToken,
}

impl Endpoint {
    pub async fn start<F>(script: F) -> Self
    where
        F: Fn(usize, &Seen) -> Vec<Step> + Send + Sync + 'static,
    {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bound");
        let address = listener.local_addr().expect("address");
        let endpoint = Self::at(address);
        let (served, script): (Self, Arc<Script>) = (endpoint.clone(), Arc::new(script));
        let accept = async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (served, script) = (served.clone(), script.clone());
                tokio::spawn(async move {
                    let crashed = served.crashed.clone();
                    crashed.run_until_cancelled(served.serve(stream, script)).await;
                    *served.closed.lock().expect("not poisoned") += 1;
                });
            }
        };
        tokio::spawn(endpoint.crashed.clone().run_until_cancelled_owned(accept));
        endpoint
    }

    /// Returns whether [`Step::Crash`] was reached.
    pub fn has_crashed(&self) -> bool {
        self.crashed.is_cancelled()
    }

    fn at(address: SocketAddr) -> Self {
        Self {
            address,
            seen: Arc::default(),
            opened: Arc::default(),
            closed: Arc::default(),
            flooded: Arc::default(),
            crashed: CancellationToken::new(),
        }
    }

    /// Starts an endpoint that accepts one connection and then stops listening.
    pub async fn start_once<F>(script: F) -> Self
    where
        F: Fn(usize, &Seen) -> Vec<Step> + Send + Sync + 'static,
    {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bound");
        let address = listener.local_addr().expect("address");
        let endpoint = Self::at(address);
        let (served, script): (Self, Arc<Script>) = (endpoint.clone(), Arc::new(script));
        tokio::spawn(async move {
            if let Ok((stream, _)) = listener.accept().await {
                drop(listener);
                served.serve(stream, script).await;
            }
        });
        endpoint
    }

    pub fn seen(&self) -> Vec<Seen> {
        self.seen.lock().expect("not poisoned").clone()
    }

    /// Returns how many connections have ended.
    pub fn closed(&self) -> usize {
        *self.closed.lock().expect("not poisoned")
    }

    /// Returns how many bytes [`Step::Flood`] has written.
    pub fn flooded(&self) -> usize {
        self.flooded.load(Ordering::Relaxed)
    }

    async fn serve(&self, mut stream: TcpStream, script: Arc<Script>) {
        let connection = self.opened.fetch_add(1, Ordering::Relaxed);
        let mut buf = BytesMut::new();
        while let Some(mut request) = read_request(&mut stream, &mut buf).await {
            request.connection = connection;
            let number = {
                let mut seen = self.seen.lock().expect("not poisoned");
                seen.push(request.clone());
                seen.len() - 1
            };
            for step in script(number, &request) {
                match step {
                    Step::Send(bytes) => {
                        if stream.write_all(&bytes).await.is_err() {
                            return;
                        }
                    }
                    Step::Flood(bytes) => {
                        while stream.write_all(&bytes).await.is_ok() {
                            self.flooded.fetch_add(bytes.len(), Ordering::Relaxed);
                        }
                        return;
                    }
                    Step::Wait(pause) => tokio::time::sleep(pause).await,
                    Step::Close => return,
                    Step::EndSending => {
                        if stream.shutdown().await.is_err() {
                            return;
                        }
                    }
                    Step::Crash => {
                        self.crashed.cancel();
                        return;
                    }
                    Step::Reset => {
                        let socket = socket2::SockRef::from(&stream);
                        let _ = socket.set_linger(Some(Duration::ZERO));
                        return;
                    }
                    Step::Hang => {
                        // Returns when the peer closes the connection.
                        let _ = stream.read(&mut [0; 1]).await;
                        return;
                    }
                }
            }
        }
    }
}

async fn read_request(stream: &mut TcpStream, buf: &mut BytesMut) -> Option<Seen> {
    let end = loop {
        if let Some(at) = buf.windows(4).position(|window| window == b"\r\n\r\n") {
            break at + 4;
        }
        if stream.read_buf(buf).await.ok()? == 0 {
            return None;
        }
    };
    let head = String::from_utf8(buf.split_to(end).to_vec()).ok()?;
    let mut request = Seen { head, body: Vec::new(), connection: 0 };
    let length = request.header("content-length").and_then(|text| text.parse().ok());
    let length: usize = length.unwrap_or(0);
    while buf.len() < length {
        if stream.read_buf(buf).await.ok()? == 0 {
            return None;
        }
    }
    request.body = buf.split_to(length).to_vec();
    Some(request)
}

/// Returns a signed answer with a `content-length` header.
pub fn answer(attempt: &str, body: &str) -> Vec<u8> {
    let length = body.len();
    format!("HTTP/1.1 200 OK\r\nattempt: {attempt}\r\nsigned: yes\r\ncontent-length: {length}\r\n\r\n{body}")
        .into_bytes()
}

/// Returns the head of a signed event stream with chunked encoding.
pub fn stream_head(attempt: &str) -> Vec<u8> {
    format!(
        "HTTP/1.1 200 OK\r\nattempt: {attempt}\r\nsigned: yes\r\n\
         content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n"
    )
    .into_bytes()
}

/// Encodes a text as one chunk of a chunked body.
pub fn chunk(text: &str) -> Vec<u8> {
    format!("{:x}\r\n{text}\r\n", text.len()).into_bytes()
}

/// Returns a server-sent event.
pub fn event(id: u64) -> String {
    format!("id: {id}\ndata: piece {id}\n\n")
}

/// Returns the last chunk of a chunked body.
pub fn last_chunk() -> Vec<u8> {
    b"0\r\n\r\n".to_vec()
}
