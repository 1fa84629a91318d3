//! The little of HTTP/1.1 that the stand-ins need.

use std::io::{self, Read, Write};
use std::net::TcpStream;

/// A request or a response without its body.
#[derive(Clone, Debug, Default)]
pub struct Head {
    pub first_line: String,
    /// Names in lower case.
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        let found = headers.find(|(other, _)| other == name);
        found.map(|(_, value)| value.as_str())
    }

    pub fn method(&self) -> &str {
        self.first_line.split(' ').next().unwrap_or_default()
    }

    pub fn target(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        let status = self.first_line.split(' ').nth(1);
        status.and_then(|status| status.parse().ok()).unwrap_or(0)
    }
}

/// A connection with the bytes that were received and not yet used.
pub struct Connection {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            buffer: Vec::new(),
        }
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut block = [0; 16 * 1024];
        let count = self.stream.read(&mut block)?;
        self.buffer.extend_from_slice(&block[..count]);
        Ok(count)
    }

    /// Reads a head; `None` if the connection ends before one begins.
    pub fn read_head(&mut self) -> io::Result<Option<Head>> {
        let end = loop {
            let found = self.buffer.windows(4).position(|four| four == b"\r\n\r\n");
            if let Some(at) = found {
                break at + 4;
            }
            if self.fill()? == 0 {
                return match self.buffer.is_empty() {
                    true => Ok(None),
                    false => Err(io::ErrorKind::UnexpectedEof.into()),
                };
            }
        };
        let bytes: Vec<u8> = self.buffer.drain(..end).collect();
        let text = String::from_utf8_lossy(&bytes).into_owned();
        let mut lines = text.split("\r\n");
        let first_line = lines.next().unwrap_or_default().to_owned();
        let headers = lines.filter_map(|line| line.split_once(':'));
        let headers =
            headers.map(|(name, value)| (name.trim().to_ascii_lowercase(), value.trim().to_owned()));
        Ok(Some(Head {
            first_line,
            headers: headers.collect(),
        }))
    }

    /// Reads exactly `count` bytes.
    pub fn read_exact(&mut self, count: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < count {
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.buffer.drain(..count).collect())
    }

    fn read_line(&mut self) -> io::Result<String> {
        loop {
            if let Some(at) = self.buffer.windows(2).position(|two| two == b"\r\n") {
                let line: Vec<u8> = self.buffer.drain(..at + 2).collect();
                return Ok(String::from_utf8_lossy(&line[..at]).into_owned());
            }
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    /// Reads the complete body that a head announces.
    pub fn read_body(&mut self, head: &Head) -> io::Result<Vec<u8>> {
        let mut body = Vec::new();
        self.read_body_into(head, &mut body)?;
        Ok(body)
    }

    /// Reads the complete body that a head announces; what came before an error is kept.
    pub fn read_body_into(&mut self, head: &Head, body: &mut Vec<u8>) -> io::Result<()> {
        let invalid = || io::Error::from(io::ErrorKind::InvalidData);
        if head.get("transfer-encoding").is_some() {
            loop {
                let size = self.read_line()?;
                let size = usize::from_str_radix(size.trim(), 16).map_err(|_| invalid())?;
                let chunk = self.read_exact(size + 2)?;
                if size == 0 {
                    return Ok(());
                }
                body.extend_from_slice(&chunk[..size]);
            }
        }
        let length = head.get("content-length").map_or(Ok(0), str::parse);
        body.extend_from_slice(&self.read_exact(length.map_err(|_| invalid())?)?);
        Ok(())
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Writes a response with a length.
    pub fn respond(&mut self, status: u16, headers: &[(&str, &str)], body: &[u8]) -> io::Result<()> {
        let mut text = format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n", body.len());
        for (name, value) in headers {
            text.push_str(&format!("{name}: {value}\r\n"));
        }
        text.push_str("\r\n");
        let mut bytes = text.into_bytes();
        bytes.extend_from_slice(body);
        self.write(&bytes)
    }
}
