//! Callers, as PROTOCOL.md tells them.

use std::{io::ErrorKind, net::SocketAddr, time::Duration};

use crate::http::{Connection, Message, encode};

/// How long a caller allows for a new connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// What came of a request.
#[derive(Clone, Debug)]
pub enum Outcome {
    Answered(Message),
    /// The connection ended without a whole answer.
    Closed,
    /// No answer within the deadline.
    NoAnswer,
    /// No connection could be made.
    Unconnected,
}

impl Outcome {
    pub fn text(&self) -> String {
        match self {
            Self::Answered(answer) => answer.status().to_string(),
            Self::Closed => String::from("closed without an answer"),
            Self::NoAnswer => String::from("no answer in time"),
            Self::Unconnected => String::from("no connection"),
        }
    }

    pub fn status(&self) -> Option<u16> {
        match self {
            Self::Answered(answer) => Some(answer.status()),
            _ => None,
        }
    }
}

/// A request.
#[derive(Clone, Debug)]
pub struct Request<'a> {
    pub method: &'a str,
    pub path: &'a str,
    pub id: &'a str,
    pub deadline_ms: u64,
    pub body: &'a [u8],
    /// Key of the caller, if it shows one.
    pub key: Option<&'a str>,
}

/// Sends a request on a connection that is kept, or on a new one; the connection is kept if
/// its answer allows it.
pub fn send(kept: &mut Option<Connection>, to: SocketAddr, request: &Request<'_>) -> Outcome {
    let connection = match kept.take() {
        Some(connection) => Ok(connection),
        None => Connection::open(to, CONNECT_TIMEOUT),
    };
    let Ok(mut connection) = connection else {
        return Outcome::Unconnected;
    };
    let mut fields = vec![
        ("Host", String::from("pits.example")),
        ("Kumquatquay-Attempt-Id", request.id.to_string()),
        ("Kumquatquay-Deadline-Ms", request.deadline_ms.to_string()),
    ];
    if let Some(key) = request.key {
        fields.push(("Authorization", format!("Bearer {key}")));
    }
    let line = format!("{} {} HTTP/1.1", request.method, request.path);
    if connection
        .write(&encode(&line, &fields, request.body))
        .is_err()
    {
        return Outcome::Closed;
    }
    let deadline = Duration::from_millis(request.deadline_ms);
    let _ = connection.stream.set_read_timeout(Some(deadline));
    match connection.read() {
        Ok(Some(answer)) => {
            let closes = answer
                .field("connection")
                .is_some_and(|value| value.eq_ignore_ascii_case("close"));
            if !closes {
                *kept = Some(connection);
            }
            Outcome::Answered(answer)
        }
        Ok(None) => Outcome::Closed,
        Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
            Outcome::NoAnswer
        }
        Err(_) => Outcome::Closed,
    }
}
