//! A stand-in of a consumer.

use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use crate::http::Connection;
use crate::record::Record;

#[derive(Clone, Debug, Default)]
pub struct Answer {
    /// 0 if the connection ended without an answer.
    pub status: u16,
    pub body: Vec<u8>,
    pub is_complete: bool,
    pub signed: bool,
    pub attempt: Option<String>,
    pub took: Duration,
}

/// One request.
pub struct Request<'a> {
    pub method: &'a str,
    pub host: &'a str,
    pub path: &'a str,
    pub id: &'a str,
    pub deadline_ms: u64,
    pub headers: &'a [(&'a str, &'a str)],
    pub body: &'a [u8],
    /// Bytes a second that a slow consumer reads; it has a small window.
    pub pace: Option<usize>,
}

impl Request<'_> {
    fn head(&self) -> String {
        let mut text = format!(
            "{} {} HTTP/1.1\r\nHost: {}\r\nX-Attempt-Id: {}\r\nX-Deadline-Ms: {}\r\n",
            self.method, self.path, self.host, self.id, self.deadline_ms
        );
        for (name, value) in self.headers {
            text.push_str(&format!("{name}: {value}\r\n"));
        }
        if !self.body.is_empty() || self.method != "GET" {
            text.push_str(&format!("Content-Length: {}\r\n", self.body.len()));
        }
        text.push_str("\r\n");
        text
    }

    /// Sends the request on a new connection and waits for the answer, up to `patience`.
    pub fn send(&self, record: &Record, to: SocketAddr, patience: Duration) -> Answer {
        let started = Instant::now();
        record.line(format!(
            "consumer: {} sent to {to}: {} {}, {} bytes",
            self.id,
            self.method,
            self.path,
            self.body.len()
        ));
        let mut answer = self.exchange(to, patience, self.pace).unwrap_or_default();
        answer.took = started.elapsed();
        record.line(format!(
            "consumer: {} answered after {} ms: status {}, {} bytes, complete: {}, signed: {}",
            self.id,
            answer.took.as_millis(),
            answer.status,
            answer.body.len(),
            answer.is_complete,
            answer.signed
        ));
        answer
    }

    /// Returns the status of the answer, 0 if there is none; nothing is recorded.
    pub fn probe(&self, to: SocketAddr) -> u16 {
        let answer = self.exchange(to, Duration::from_secs(1), None);
        answer.map_or(0, |answer| answer.status)
    }

    fn exchange(&self, to: SocketAddr, patience: Duration, pace: Option<usize>) -> std::io::Result<Answer> {
        let stream = match pace {
            Some(_) => crate::connect_with_small_window(to, 16 * 1024)?,
            None => TcpStream::connect_timeout(&to, Duration::from_secs(1))?,
        };
        stream.set_read_timeout(Some(patience))?;
        stream.set_write_timeout(Some(patience))?;
        let mut connection = Connection::new(stream);
        connection.write(self.head().as_bytes())?;
        connection.write(self.body)?;
        let Some(head) = connection.read_head()? else {
            return Ok(Answer::default());
        };
        let mut answer = Answer {
            status: head.status(),
            signed: head.get("x-runner-signature").is_some(),
            attempt: head.get("x-attempt-id").map(str::to_owned),
            ..Answer::default()
        };
        if let Some(pace) = pace {
            let length = head.get("content-length").and_then(|length| length.parse().ok());
            let length: usize = length.unwrap_or(0);
            while answer.body.len() < length {
                let count = (length - answer.body.len()).min(pace / 50);
                let Ok(part) = connection.read_exact(count) else {
                    return Ok(answer);
                };
                answer.body.extend_from_slice(&part);
                std::thread::sleep(Duration::from_millis(20));
            }
            answer.is_complete = true;
            return Ok(answer);
        }
        answer.is_complete = connection.read_body_into(&head, &mut answer.body).is_ok();
        Ok(answer)
    }
}
