//! A minimal HTTP/1.1 client and the parsing that client and worker stand-ins share.

use std::io::BufRead;
use std::io::BufReader;
use std::io::Error;
use std::io::ErrorKind;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;
use std::time::Instant;

/// The most bytes of a line of a head.
const LINE_MAX_BYTES: u64 = 64 * 1024;

/// A request or an answer as it was read.
#[derive(Debug, Clone, Default)]
pub struct Message {
    /// The first line, without its end.
    pub start: String,
    /// The headers in their order, with names in lower case.
    pub headers: Vec<(String, String)>,
    /// The whole body.
    pub body: Vec<u8>,
}

impl Message {
    /// Returns the first header with this lower-case name.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known == name);
        found.map(|(_, value)| value.as_str())
    }

    /// Returns the status of an answer; 0 if there is none.
    pub fn status(&self) -> u16 {
        self.start.split(' ').nth(1).and_then(|word| word.parse().ok()).unwrap_or(0)
    }

    /// Returns the body as text.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

fn broken(reason: &str) -> Error {
    Error::new(ErrorKind::InvalidData, reason)
}

fn read_line<R>(reader: &mut R) -> std::io::Result<String>
where
    R: BufRead,
{
    let mut line = Vec::new();
    reader.by_ref().take(LINE_MAX_BYTES).read_until(b'\n', &mut line)?;
    if line.pop() != Some(b'\n') {
        return Err(ErrorKind::UnexpectedEof.into());
    }
    if line.last() == Some(&b'\r') {
        line.pop();
    }
    String::from_utf8(line).map_err(|_| broken("a line is not UTF-8"))
}

/// Reads a head.
///
/// # Errors
/// Fails if the connection ends or what arrives is no head.
pub fn read_head<R>(reader: &mut R) -> std::io::Result<Message>
where
    R: BufRead,
{
    let start = read_line(reader)?;
    let mut headers = Vec::new();
    loop {
        let line = read_line(reader)?;
        if line.is_empty() {
            return Ok(Message { start, headers, body: Vec::new() });
        }
        let (name, value) = line.split_once(':').ok_or_else(|| broken("a header has no colon"))?;
        headers.push((name.trim().to_ascii_lowercase(), value.trim().to_owned()));
    }
}

/// Reads the body that follows a head; an answer without length lasts to the end of its connection.
///
/// # Errors
/// Fails if the connection ends before the body does.
pub fn read_body<R>(reader: &mut R, message: &mut Message, is_answer: bool) -> std::io::Result<()>
where
    R: BufRead,
{
    let is_chunked = message.header("transfer-encoding").is_some_and(|value| value == "chunked");
    let length = message.header("content-length").and_then(|value| value.parse::<usize>().ok());
    if is_chunked {
        loop {
            let line = read_line(reader)?;
            let digits = line.split(';').next().unwrap_or_default().trim();
            let size = usize::from_str_radix(digits, 16).map_err(|_| broken("a chunk size"))?;
            let mut chunk = vec![0; size];
            reader.read_exact(&mut chunk)?;
            message.body.extend(chunk);
            read_line(reader)?;
            if size == 0 {
                return Ok(());
            }
        }
    }
    match length {
        Some(length) => {
            message.body.resize(length, 0);
            reader.read_exact(&mut message.body)
        }
        None if is_answer => reader.read_to_end(&mut message.body).map(|_| ()),
        None => Ok(()),
    }
}

/// A request of a stand-in.
#[derive(Debug, Clone)]
pub struct Call {
    /// Where to connect.
    pub to: SocketAddr,
    /// The method.
    pub method: &'static str,
    /// The path and the query.
    pub path: String,
    /// Headers beside `Content-Length` and `Connection`.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: Vec<u8>,
    /// How long connecting and the whole answer may take.
    pub timeout: Duration,
}

impl Call {
    /// Creates a request without a body.
    pub fn new(method: &'static str, to: SocketAddr, path: &str, timeout: Duration) -> Self {
        Self { to, method, path: path.to_owned(), headers: Vec::new(), body: Vec::new(), timeout }
    }

    /// Adds a header.
    pub fn header(mut self, name: &str, value: &str) -> Self {
        self.headers.push((name.to_owned(), value.to_owned()));
        self
    }

    /// Sets the body.
    pub fn body(mut self, body: &str) -> Self {
        self.body = body.as_bytes().to_vec();
        self
    }

    /// Sends the request on a new connection and reads the whole answer.
    ///
    /// # Errors
    /// Fails without a whole answer in time.
    pub fn send(&self) -> std::io::Result<Message> {
        let deadline = Instant::now() + self.timeout;
        let stream = TcpStream::connect_timeout(&self.to, self.timeout)?;
        stream.set_nodelay(true)?;
        let mut head = format!("{} {} HTTP/1.1\r\n", self.method, self.path);
        if !self.headers.iter().any(|(name, _)| name.eq_ignore_ascii_case("host")) {
            head.push_str(&format!("Host: {}\r\n", self.to));
        }
        for (name, value) in &self.headers {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        head.push_str(&format!("Content-Length: {}\r\n", self.body.len()));
        head.push_str("Connection: close\r\n\r\n");
        let mut bytes = head.into_bytes();
        bytes.extend(&self.body);
        stream.set_write_timeout(Some(self.timeout))?;
        (&stream).write_all(&bytes)?;
        let mut reader = BufReader::new(Timed { stream: &stream, deadline });
        let mut answer = read_head(&mut reader)?;
        read_body(&mut reader, &mut answer, true)?;
        Ok(answer)
    }
}

/// Reads from a stream until a deadline.
struct Timed<'a> {
    stream: &'a TcpStream,
    deadline: Instant,
}

impl Read for Timed<'_> {
    fn read(&mut self, buf: &mut [u8]) -> std::io::Result<usize> {
        let left = self.deadline.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(ErrorKind::TimedOut.into());
        }
        self.stream.set_read_timeout(Some(left))?;
        let mut stream = self.stream;
        stream.read(buf)
    }
}
