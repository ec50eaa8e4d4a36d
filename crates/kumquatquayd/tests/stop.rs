//! A node that is told to stop finishes what is in flight and sends new work
//! elsewhere.

mod support;

use std::{
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use http::{Response, StatusCode};
use http_body_util::Full;
use kumquatquayd::RunningNode;
use support::{
    Answer, PATIENCE, announce, backend, get, node, send, settings, text, until, until_known,
};
use tokio::{sync::Semaphore, task::JoinHandle};

/// A backend server that answers when the test lets it.
struct Held {
    address: std::net::SocketAddr,
    started_count: Arc<AtomicUsize>,
    release: Arc<Semaphore>,
}

impl Held {
    async fn start() -> Self {
        let started_count = Arc::new(AtomicUsize::new(0));
        let release = Arc::new(Semaphore::new(0));
        let address = {
            let started_count = Arc::clone(&started_count);
            let release = Arc::clone(&release);
            backend(move |request| {
                let started_count = Arc::clone(&started_count);
                let release = Arc::clone(&release);
                async move {
                    if request.uri().path() != "/health" {
                        started_count.fetch_add(1, Ordering::SeqCst);
                        release.acquire().await.unwrap().forget();
                    }
                    answer("held")
                }
            })
            .await
        };
        Self {
            address,
            started_count,
            release,
        }
    }

    fn started_count(&self) -> usize {
        self.started_count.load(Ordering::SeqCst)
    }
}

fn answer(body: &str) -> Response<Full<Bytes>> {
    Response::new(text(body))
}

// A caller's request is being run when its backend server's node is told to
// stop. The node waits for the answer before it ends; a node that ended at once
// would cut the request off, and the caller would not know whether it ran.
#[tokio::test]
async fn a_flight_is_not_cut_off() {
    let held = Held::start().await;
    let ingress = node(settings(), None).await;
    let entry = node(settings(), Some(&ingress)).await;
    announce(&ingress, "archive", held.address).await;
    until_known(&entry, "archive").await;
    let request = get(&entry, "archive", "/").body(text("")).unwrap();
    let flight = tokio::spawn(send(request));
    until(|| held.started_count() == 1).await;
    let stop = tokio::spawn(ingress.stop(PATIENCE));
    until(|| {
        let members = entry.state_dump().members;
        let mut states = members.iter().map(|member| member.state);
        states.any(|state| state == kumquatquay_wire::MemberState::Draining)
    })
    .await;
    held.release.add_permits(1);
    let answer = flight.await.unwrap();
    assert_eq!(answer.status, StatusCode::OK);
    assert_eq!(answer.text(), "held");
    stop.await.unwrap();
}

// One of two hosts of a service leaves. Requests that enter while it leaves get
// their answers from the other: nodes that have not heard yet are refused as
// `not-run` by the leaving one and try elsewhere, so no caller sees a failure.
#[tokio::test]
async fn requests_during_a_stop_are_answered_elsewhere() {
    let staying = node(settings(), None).await;
    let leaving = node(settings(), Some(&staying)).await;
    let entry = node(settings(), Some(&staying)).await;
    for ingress in [&staying, &leaving] {
        let address = backend(|_| async { answer("ran") }).await;
        announce(ingress, "archive", address).await;
    }
    until(|| {
        let members = entry.state_dump().members;
        let of_archive = members.iter().filter(|member| member.service.is_some());
        of_archive.count() == 2
    })
    .await;
    let stop = tokio::spawn(leaving.stop(PATIENCE));
    while !stop.is_finished() {
        let answer = send(get(&entry, "archive", "/").body(text("")).unwrap()).await;
        assert_eq!(answer.status, StatusCode::OK, "{answer:?}");
    }
    stop.await.unwrap();
}

/// A filing that is under way at a backend server which never answers.
struct HeldFiling {
    ingress: RunningNode,
    entry: RunningNode,
    flight: JoinHandle<Answer>,
    _held: Held,
}

impl HeldFiling {
    async fn start() -> Self {
        let held = Held::start().await;
        let ingress = node(settings(), None).await;
        let entry = node(settings(), Some(&ingress)).await;
        announce(&ingress, "archive", held.address).await;
        until_known(&entry, "archive").await;
        let request = get(&entry, "archive", "/").method("POST");
        let flight = tokio::spawn(send(request.body(text("filing")).unwrap()));
        until(|| held.started_count() == 1).await;
        Self {
            ingress,
            entry,
            flight,
            _held: held,
        }
    }
}

// A backend server never answers. The stop ends when its grace has run out, and
// the caller learns that nobody knows whether its filing ran.
#[tokio::test]
async fn the_grace_bounds_a_stop() {
    let filing = HeldFiling::start().await;
    filing.ingress.stop(Duration::from_millis(10)).await;
    let answer = filing.flight.await.unwrap();
    assert_ne!(answer.status, StatusCode::OK);
    assert_eq!(answer.header("kumquatquay-outcome"), Some("unknown"));
}

/// Guards against callers of a node that stops whose connections end without an answer when the grace is over.
#[tokio::test]
async fn the_callers_of_a_stopping_node_are_answered() {
    let filing = HeldFiling::start().await;
    filing.entry.stop(Duration::from_millis(10)).await;
    let answer = filing.flight.await.unwrap();
    assert_eq!(answer.status, StatusCode::BAD_GATEWAY);
    assert_eq!(answer.header("kumquatquay-outcome"), Some("unknown"));
}
