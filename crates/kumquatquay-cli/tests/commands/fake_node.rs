//! An operator interface with a real node behind it, on a clock that only
//! commands move, and with a log in memory.

use std::{
    convert::Infallible,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::{Duration, SystemTime},
};

use http::{Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full};
use hyper::{
    body::{Bytes, Incoming},
    service::service_fn,
};
use hyper_util::rt::TokioIo;
use kumquatquay_core::{
    Announcement, BackendInput, Input, LogInput, LogRecord, Moment, Node, NodeSettings,
    OperatorInput, Output,
};
use kumquatquay_wire::{MemberState, MeshKey, OperatorCommand, OperatorReply};
use tokio::net::TcpListener;

const TOKEN: &str = "Bearer t0ken";
const PATIENCE_TICKS: u32 = 3_000;

/// The node, its clock and its log.
struct FakeNode {
    node: Node,
    now: Duration,
    records: Vec<LogRecord>,
    reply: Option<OperatorReply>,
    is_log_down: bool,
}

/// Starts the interface on a free port of the loopback and serves it until the
/// test ends.
pub(crate) async fn start() -> (SocketAddr, FakeNodeHandle) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let node = Arc::new(Mutex::new(FakeNode::new()));
    let handle = FakeNodeHandle(Arc::clone(&node));
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let node = Arc::clone(&node);
            let service = service_fn(move |request| serve(Arc::clone(&node), request));
            let connection = hyper::server::conn::http1::Builder::new();
            tokio::spawn(connection.serve_connection(TokioIo::new(stream), service));
        }
    });
    (address, handle)
}

/// What a test changes of a node that runs.
pub(crate) struct FakeNodeHandle(Arc<Mutex<FakeNode>>);

impl FakeNodeHandle {
    pub(crate) fn set_log_down(&self, is_down: bool) {
        self.0.lock().unwrap().is_log_down = is_down;
    }
}

async fn serve(
    node: Arc<Mutex<FakeNode>>,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let token = request.headers().get(header::AUTHORIZATION);
    if token.is_none_or(|token| token != TOKEN) {
        let mut response = Response::new(Full::default());
        *response.status_mut() = StatusCode::UNAUTHORIZED;
        return Ok(response);
    }
    let is_state = request.uri().path() == "/state";
    let body = request.into_body().collect().await.unwrap().to_bytes();
    let mut node = node.lock().unwrap();
    let text = match is_state {
        true => String::from("{\"control\":\"127.0.0.1:7000\"}"),
        false => {
            let command = serde_json::from_slice(&body).unwrap();
            serde_json::to_string(&node.command(command)).unwrap()
        }
    };
    Ok(Response::new(Full::from(text)))
}

impl FakeNode {
    fn new() -> Self {
        let node = Node::new(
            NodeSettings::new(
                "hall-a",
                "127.0.0.1:7000".parse().unwrap(),
                "127.0.0.1:7001".parse().unwrap(),
                MeshKey::from_secret("secret"),
            )
            .random_seed(7),
        );
        let mut node = Self {
            node,
            now: Duration::from_secs(1),
            records: Vec::new(),
            reply: None,
            is_log_down: false,
        };
        let announcement = Announcement {
            life: None,
            service: String::from("settlement"),
            address: "127.0.0.1:8000".parse().unwrap(),
            slots_count: 140,
            connections_count: 950,
            state: MemberState::Serving,
        };
        node.feed(BackendInput::Announced(announcement).into());
        node.tick(200);
        node
    }

    fn command(&mut self, command: OperatorCommand) -> OperatorReply {
        self.feed(Input::Operator(OperatorInput {
            request: 1,
            operator: String::from("mei"),
            command,
        }));
        for _ in 0..PATIENCE_TICKS {
            if let Some(reply) = self.reply.take() {
                return reply;
            }
            self.tick(1);
        }
        panic!("the node never answered");
    }

    fn tick(&mut self, count: u32) {
        for _ in 0..count {
            self.now += Node::TICK_INTERVAL;
            self.feed(Input::Tick);
        }
    }

    fn feed(&mut self, input: Input) {
        let moment = Moment {
            monotonic: self.now,
            wall: SystemTime::UNIX_EPOCH + Duration::from_secs(1_000_000) + self.now,
        };
        for output in self.node.handle(moment, input) {
            self.carry_out(moment, output);
        }
    }

    fn carry_out(&mut self, moment: Moment, output: Output) {
        match output {
            Output::Append { append, .. } if self.is_log_down => {
                self.feed(LogInput::AppendRefused { append }.into());
            }
            Output::Append { append, record, .. } => {
                let offset = self.records.len() as u64;
                self.records.push(LogRecord {
                    offset,
                    appended_unix_ms: moment.unix_ms(),
                    bytes: record,
                });
                self.feed(LogInput::Appended { append, offset }.into());
            }
            Output::Read { read, .. } if self.is_log_down => {
                self.feed(LogInput::ReadFailed { read }.into());
            }
            Output::Read {
                read, stream, from, ..
            } => {
                let records = self.records.iter().skip(from as usize).cloned();
                let input = LogInput::Read {
                    read,
                    stream,
                    records: records.collect(),
                    oldest_offset: 0,
                    next_offset: self.records.len() as u64,
                    era: None,
                };
                self.feed(input.into());
            }
            Output::Operator(operator) => self.reply = Some(operator.reply),
            _ => {}
        }
    }
}
