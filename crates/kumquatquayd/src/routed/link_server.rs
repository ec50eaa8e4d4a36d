//! The side of a link that takes calls for the backend server of this host.

use std::{cell::RefCell, collections::HashMap, rc::Rc};

use bytes::Bytes;
use kumquatquay_wire::routed::{AnswerHead, CallHead, CallNumber, FrameHead};
use tokio::{net::TcpStream, sync::oneshot};

use super::{
    link::{
        FrameWriter, LinkAnswer, on_configuration, on_version, read_frames, tell_configuration,
    },
    node::RoutedNode,
    run_here::run_here,
};

/// A link that another node has made to this one.
#[derive(Debug, Default)]
struct ServedLink {
    frames: FrameWriter,
    /// Calls that have no answer yet; dropping a sender cancels its call.
    open: RefCell<HashMap<CallNumber, oneshot::Sender<()>>>,
}

/// Serves a link until it ends.
pub(crate) async fn serve_link(node: Rc<RoutedNode>, stream: TcpStream) {
    let link = Rc::new(ServedLink::default());
    let (read, write) = stream.into_split();
    let take = |head, body| on_frame(&node, &link, head, body);
    let ended = tokio::select! {
        read = read_frames(read, take) => read,
        written = link.frames.run(write) => written,
    };
    if let Err(error) = ended {
        log::debug!(event = "served_link_ended"; "{error}");
    }
    link.open.borrow_mut().clear();
}

fn on_frame(node: &Rc<RoutedNode>, link: &Rc<ServedLink>, head: FrameHead, body: Vec<u8>) {
    match head {
        FrameHead::Call(call) => on_call(node, link, call, body),
        FrameHead::Cancel { number } => {
            link.open.borrow_mut().remove(&number);
        }
        FrameHead::Ping { version } => {
            on_version(node, &link.frames, version);
            let version = node.route_version();
            link.frames.push(&FrameHead::Pong { version }, &[]);
        }
        FrameHead::ConfigurationAsk => tell_configuration(node, &link.frames),
        FrameHead::Configuration => on_configuration(node, &body),
        FrameHead::Hello { .. } | FrameHead::Pong { .. } | FrameHead::Answer(_) => {}
    }
}

fn on_call(node: &Rc<RoutedNode>, link: &Rc<ServedLink>, call: CallHead, body: Vec<u8>) {
    on_version(node, &link.frames, call.version);
    let (open, cancelled) = oneshot::channel();
    link.open.borrow_mut().insert(call.number, open);
    let node = Rc::clone(node);
    let link = Rc::clone(link);
    tokio::task::spawn_local(async move {
        let number = call.number;
        let answer = run_call(&node, call, Bytes::from(body), cancelled).await;
        let is_wanted = link.open.borrow_mut().remove(&number).is_some();
        if is_wanted {
            tell_answer(&node, &link, number, &answer);
        }
    });
}

/// Runs a call; one that may run again ends when it is cancelled.
async fn run_call(
    node: &Rc<RoutedNode>,
    call: CallHead,
    body: Bytes,
    cancelled: oneshot::Receiver<()>,
) -> LinkAnswer {
    run_here(node, &call, body, async {
        // The sender is only ever dropped, which says that the call is cancelled.
        let _ = cancelled.await;
    })
    .await
}

fn tell_answer(node: &RoutedNode, link: &ServedLink, number: CallNumber, answer: &LinkAnswer) {
    let head = FrameHead::Answer(AnswerHead {
        number,
        outcome: answer.outcome.clone(),
        report: node.gate.borrow().report(),
        version: node.route_version(),
    });
    link.frames.push(&head, &answer.body);
}
