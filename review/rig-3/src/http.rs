//! Plain HTTP/1.1, as much as the stand-ins need.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

/// A request or response.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// First line.
    pub line: String,
    /// Names in lower case, and values.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    /// Returns a header, or an empty text.
    pub fn header(&self, name: &str) -> &str {
        let mut headers = self.headers.iter();
        let header = headers.find(|(other, _)| other == name);
        header.map_or("", |(_, value)| value)
    }

    /// Returns the status of a response; zero if there is none.
    pub fn status(&self) -> u16 {
        let status = self.line.split(' ').nth(1);
        status.and_then(|status| status.parse().ok()).unwrap_or(0)
    }

    /// Returns the method and target of a request.
    pub fn target(&self) -> (&str, &str) {
        let mut words = self.line.split(' ');
        (words.next().unwrap_or(""), words.next().unwrap_or(""))
    }
}

/// Reads messages from a connection.
pub struct Reader {
    stream: TcpStream,
    buffer: Vec<u8>,
}

impl Reader {
    pub fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            buffer: Vec::new(),
        }
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut block = [0; 16_384];
        let count = self.stream.read(&mut block)?;
        self.buffer.extend_from_slice(&block[..count]);
        Ok(count)
    }

    fn fill_some(&mut self) -> io::Result<()> {
        match self.fill()? {
            0 => Err(io::ErrorKind::UnexpectedEof.into()),
            _ => Ok(()),
        }
    }

    fn take_line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|pair| pair == b"\r\n") {
                let line: Vec<u8> = self.buffer.drain(..end + 2).collect();
                return Ok(String::from_utf8_lossy(&line[..end]).into_owned());
            }
            self.fill_some()?;
        }
    }

    fn take_bytes(&mut self, count: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < count {
            self.fill_some()?;
        }
        Ok(self.buffer.drain(..count).collect())
    }

    /// Reads the next message with its body; `None` if the connection ends before it.
    pub fn next(&mut self) -> io::Result<Option<Message>> {
        if self.buffer.is_empty() && self.fill()? == 0 {
            return Ok(None);
        }
        let mut message = Message {
            line: self.take_line()?,
            ..Message::default()
        };
        loop {
            let line = self.take_line()?;
            let Some((name, value)) = line.split_once(':') else {
                break;
            };
            let name = name.trim().to_ascii_lowercase();
            message.headers.push((name, value.trim().to_owned()));
        }
        if message.header("transfer-encoding") == "chunked" {
            loop {
                let size = self.take_line()?;
                let size = usize::from_str_radix(size.trim(), 16);
                let size = size.map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
                let chunk = self.take_bytes(size)?;
                message.body.extend_from_slice(&chunk);
                self.take_line()?;
                if size == 0 {
                    break;
                }
            }
        } else if let Ok(length) = message.header("content-length").parse() {
            message.body = self.take_bytes(length)?;
        }
        Ok(Some(message))
    }
}

/// Returns a response with a length.
pub fn response(status: u16, headers: &[(&str, &str)], body: &str) -> String {
    let mut text = format!(
        "HTTP/1.1 {status} Status\r\nContent-Length: {}\r\n",
        body.len()
    );
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("\r\n");
    text.push_str(body);
    text
}

/// What a client got for a request.
#[derive(Clone, Debug)]
pub struct Answer {
    /// Status; zero if there was no complete response.
    pub status: u16,
    /// The runner's signature; empty if there is none.
    pub signature: String,
    pub body: String,
    pub took: Duration,
    /// Why there was no response.
    pub error: String,
}

/// Sends a request over a new connection and waits for the response.
pub fn call(address: SocketAddr, line: &str, headers: &[(&str, &str)], limit: Duration) -> Answer {
    let started_at = Instant::now();
    let exchange = || -> io::Result<Message> {
        let mut stream = TcpStream::connect_timeout(&address, limit)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(limit))?;
        let mut text = format!("{line}\r\nConnection: close\r\n");
        for (name, value) in headers {
            text.push_str(&format!("{name}: {value}\r\n"));
        }
        text.push_str("\r\n");
        stream.write_all(text.as_bytes())?;
        let reply = Reader::new(stream).next()?;
        reply.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
    };
    let reply = exchange();
    let took = started_at.elapsed();
    match reply {
        Ok(reply) => Answer {
            status: reply.status(),
            signature: reply.header("x-runner-signature").to_owned(),
            body: String::from_utf8_lossy(&reply.body).into_owned(),
            took,
            error: String::new(),
        },
        Err(error) => Answer {
            status: 0,
            signature: String::new(),
            body: String::new(),
            took,
            error: error.to_string(),
        },
    }
}

/// Returns an address on the loopback interface whose port is free now. It lies below the ports that the
/// system gives to connections, so that none of these takes it meanwhile.
pub fn free_address() -> SocketAddr {
    static CALLS: AtomicU32 = AtomicU32::new(0);
    loop {
        let call = CALLS.fetch_add(1, Ordering::SeqCst);
        let number = (std::process::id() * 61 + call) % 20_000;
        let port = u16::try_from(12_000 + number).expect("ports below 32,000");
        if let Ok(listener) = TcpListener::bind(("127.0.0.1", port)) {
            return listener
                .local_addr()
                .expect("a bound socket has an address");
        }
    }
}
