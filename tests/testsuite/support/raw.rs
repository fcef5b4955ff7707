//! A caller on plain sockets, which sees how a connection ends.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::Duration;

use serde_json::Value;

/// Longest wait for a connection or the next bytes; a caller that waits longer was left without an answer.
const SILENCE: Duration = Duration::from_mins(1);

/// Pause between two tries to reach a listener that is being opened.
const LISTEN_PAUSE: Duration = Duration::from_millis(1);

/// A whole answer.
#[derive(Debug)]
pub struct RawAnswer {
    pub status: u16,
    headers: Vec<(String, String)>,
    body: Vec<u8>,
}

impl RawAnswer {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut found = self.headers.iter().filter(|(known, _)| known == name);
        found.next().map(|(_, value)| value.as_str())
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or(Value::Null)
    }
}

/// What became of one request.
#[derive(Debug)]
pub enum Exchange {
    /// Nobody took the connection, so that no request was sent.
    NotConnected,
    /// The connection ended before the whole answer; how.
    Broken(String),
    /// The whole answer.
    Answer(RawAnswer),
}

impl Exchange {
    pub fn json(&self) -> Value {
        match self {
            Self::Answer(answer) => answer.json(),
            _ => Value::Null,
        }
    }
}

/// A caller of one instance.
pub struct RawCaller {
    address: SocketAddr,
    token: String,
    keeps: bool,
    kept: Option<BufReader<TcpStream>>,
}

impl RawCaller {
    /// Makes a caller that keeps its connection, unless told to close it, or opens one for each request.
    pub fn new(address: SocketAddr, token: &str, keeps: bool) -> Self {
        Self {
            address,
            token: token.to_owned(),
            keeps,
            kept: None,
        }
    }

    /// Waits until a listener takes connections.
    pub fn wait_for(address: SocketAddr) {
        while TcpStream::connect(address).is_err() {
            thread::sleep(LISTEN_PAUSE);
        }
    }

    /// Sends a request once.
    pub fn post(&mut self, path: &str, body: &Value) -> Exchange {
        let (mut connection, earlier) = match self.kept.take() {
            Some(connection) => (connection, true),
            None => match TcpStream::connect(self.address) {
                Ok(stream) => (BufReader::new(stream), false),
                Err(_) => return Exchange::NotConnected,
            },
        };
        match exchange(&mut connection, &self.token, path, body) {
            Ok(answer) => {
                let closes = answer.header("connection") == Some("close");
                if self.keeps && !closes {
                    self.kept = Some(connection);
                }
                Exchange::Answer(answer)
            }
            Err(how) => Exchange::Broken(format!("kept: {earlier}; {how}")),
        }
    }
}

fn exchange(
    connection: &mut BufReader<TcpStream>,
    token: &str,
    path: &str,
    body: &Value,
) -> Result<RawAnswer, String> {
    let wrong = |what: &str| {
        let what = what.to_owned();
        move |error: std::io::Error| format!("{what}: {error}")
    };
    let stream = connection.get_mut();
    let limit = stream.set_read_timeout(Some(SILENCE));
    limit.map_err(wrong("setting the longest wait"))?;
    let body = body.to_string();
    let request = format!(
        "POST {path} HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {token}\r\n\
         content-type: application/json\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    stream
        .write_all(request.as_bytes())
        .map_err(wrong("sending the request"))?;
    read_answer(connection).map_err(|(so_far, error)| format!("{error}, after {so_far}"))
}

type ReadFailure = (String, String);

fn read_answer(connection: &mut BufReader<TcpStream>) -> Result<RawAnswer, ReadFailure> {
    let first = read_line(connection).map_err(|error| ("nothing".to_owned(), error))?;
    let status = first.split(' ').nth(1).and_then(|text| text.parse().ok());
    let mut answer = RawAnswer {
        status: status.ok_or((first, "no status".to_owned()))?,
        headers: Vec::new(),
        body: Vec::new(),
    };
    let failed = |answer: &RawAnswer, error: String| {
        let so_far = format!(
            "a {} with {} bytes of body",
            answer.status,
            answer.body.len()
        );
        (so_far, error)
    };
    loop {
        let line = read_line(connection).map_err(|error| failed(&answer, error))?;
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':').unwrap_or((&line, ""));
        let header = (name.to_ascii_lowercase(), value.trim().to_owned());
        answer.headers.push(header);
    }
    let read = match answer.header("content-length").map(str::to_owned) {
        Some(length) => read_sized(connection, &length, &mut answer.body),
        None => read_chunks(connection, &mut answer.body),
    };
    read.map_err(|error| failed(&answer, error))?;
    Ok(answer)
}

fn read_line(connection: &mut BufReader<TcpStream>) -> Result<String, String> {
    let mut line = String::new();
    let read = connection.read_line(&mut line);
    read.map_err(|error| error.to_string())?;
    let Some(line) = line.strip_suffix("\r\n") else {
        return Err("the connection ended".to_owned());
    };
    Ok(line.to_owned())
}

fn read_sized(
    connection: &mut BufReader<TcpStream>,
    length: &str,
    body: &mut Vec<u8>,
) -> Result<(), String> {
    let length: usize = length.parse().map_err(|_| "a bad length".to_owned())?;
    let start = body.len();
    body.resize(start + length, 0);
    let read = connection.read_exact(&mut body[start..]);
    read.map_err(|error| error.to_string())
}

fn read_chunks(connection: &mut BufReader<TcpStream>, body: &mut Vec<u8>) -> Result<(), String> {
    loop {
        let line = read_line(connection)?;
        let length = usize::from_str_radix(&line, 16);
        let length = length.map_err(|_| format!("a bad chunk: {line}"))?;
        read_sized(connection, &length.to_string(), body)?;
        let _line_end = read_line(connection)?;
        if length == 0 {
            return Ok(());
        }
    }
}
