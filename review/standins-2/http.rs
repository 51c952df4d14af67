//! A small HTTP/1.1 client and reader of messages, over blocking sockets.

use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;

/// One request or response with its whole body.
pub struct Message {
    /// The request line or status line.
    pub start: String,
    /// The headers; names are in lower case.
    pub headers: Vec<(String, String)>,
    /// The body, without the framing of chunks.
    pub body: Vec<u8>,
}

impl Message {
    /// Returns the first value of a header; `name` is in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(known, _)| known == name).map(|(_, value)| value.as_str())
    }

    /// Returns the status of a response; 0 if it has none.
    pub fn status(&self) -> u16 {
        self.start.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }

    /// Returns the path of a request, with its query.
    pub fn path(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or("/")
    }
}

fn malformed(reason: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, reason)
}

fn read_line(reader: &mut BufReader<TcpStream>) -> io::Result<Option<String>> {
    let mut line = Vec::new();
    if reader.read_until(b'\n', &mut line)? == 0 {
        return Ok(None);
    }
    if !line.ends_with(b"\n") {
        return Err(malformed("the connection ended inside a line"));
    }
    Ok(Some(String::from_utf8_lossy(&line).trim_end().to_owned()))
}

/// Reads the head of a message; `None` if the connection ended before it.
fn read_head(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let Some(start) = read_line(reader)? else {
        return Ok(None);
    };
    let mut headers = Vec::new();
    loop {
        let line = read_line(reader)?.ok_or_else(|| malformed("the head ended early"))?;
        if line.is_empty() {
            return Ok(Some(Message { start, headers, body: Vec::new() }));
        }
        let (name, value) = line.split_once(':').ok_or_else(|| malformed("a header"))?;
        headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
    }
}

/// Reads a whole message; `None` if the connection ended before it.
///
/// # Errors
/// Fails if the connection fails, times out or ends inside the message.
pub fn read_message(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let Some(mut message) = read_head(reader)? else {
        return Ok(None);
    };
    let is_chunked = message.header("transfer-encoding").is_some_and(|value| value == "chunked");
    if is_chunked {
        loop {
            let line = read_line(reader)?.ok_or_else(|| malformed("a chunk is missing"))?;
            let size = usize::from_str_radix(line.trim(), 16).map_err(|_| malformed("a size"))?;
            let start = message.body.len();
            message.body.resize(start + size, 0);
            reader.read_exact(&mut message.body[start..])?;
            read_line(reader)?;
            if size == 0 {
                return Ok(Some(message));
            }
        }
    }
    let length = message.header("content-length").and_then(|value| value.parse().ok());
    message.body.resize(length.unwrap_or(0), 0);
    reader.read_exact(&mut message.body)?;
    Ok(Some(message))
}

/// Sends one request on a new connection and reads the answer. `timeout` bounds the connection, each
/// read and each write.
///
/// # Errors
/// Fails without a whole answer.
pub fn call(
    to: SocketAddr,
    start: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    timeout: Duration,
) -> io::Result<Message> {
    let mut stream = TcpStream::connect_timeout(&to, timeout.min(Duration::from_secs(1)))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(timeout))?;
    stream.set_write_timeout(Some(timeout))?;
    let mut head = format!("{start} HTTP/1.1\r\n");
    if !headers.iter().any(|(name, _)| name.eq_ignore_ascii_case("host")) {
        head.push_str(&format!("Host: {to}\r\n"));
    }
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str(&format!("Content-Length: {}\r\nConnection: close\r\n\r\n", body.len()));
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)?;
    let answer = read_message(&mut BufReader::new(stream))?;
    answer.ok_or_else(|| malformed("the connection was closed without an answer"))
}
