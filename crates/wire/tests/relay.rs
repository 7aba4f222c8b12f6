//! Calls and news between two hosts over real sockets.

#![expect(clippy::unwrap_used, reason = "a failed step fails the test")]

use std::{
    net::SocketAddr,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    task::{Context, Poll},
    time::Duration,
};

use bytes::Bytes;
use futures::{Stream, StreamExt as _};
use hyper::{
    HeaderMap, Method, StatusCode,
    header::{HeaderName, HeaderValue},
};
use rattanmast_model::{
    catalog::Service,
    feed::{Followed as _, Object, Published, Update},
    forward::{Call, Forward, Forwarded, Missed, Relays as _, Reply, Terms},
    host::Host,
    peer::Cause,
    rank::Rank,
};
use rattanmast_wire::relay::{self, Client};
use tokio::{
    net::TcpListener,
    time::{Instant, timeout},
};
use tokio_util::sync::CancellationToken;

const LONG: Duration = Duration::from_secs(30);

/// Replies with what it got; `never` hangs, `full` and `bad` fail.
#[derive(Clone, Default)]
struct Echo {
    begun: Arc<AtomicU32>,
    cancelled: Arc<AtomicU32>,
}

struct Running(Arc<AtomicU32>);

impl Drop for Running {
    fn drop(&mut self) {
        self.0.fetch_add(1, Ordering::SeqCst);
    }
}

impl Forward for Echo {
    async fn forward(&self, service: &Service, call: Arc<Call>, terms: Terms) -> Forwarded {
        self.begun.fetch_add(1, Ordering::SeqCst);
        let reply = Reply {
            status: StatusCode::IM_A_TEAPOT,
            headers: call.headers.clone(),
            body: Bytes::from(format!("{} {} {:?}", call.method, call.target, call.body)),
            digest: Some("digest".into()),
        };
        assert_eq!((terms.rank, terms.attempts), (Rank::Routine, 3));
        let result = match service.collection.as_str() {
            "never" => {
                let _running = Running(self.cancelled.clone());
                std::future::pending().await
            }
            "full" => Err(Missed {
                cause: Cause::Overload,
                reply: None,
            }),
            "bad" => Err(Missed {
                cause: Cause::Unreachable,
                reply: Some(reply),
            }),
            _ => Ok(reply),
        };
        Forwarded {
            result,
            begun: service.index > 0,
            sent: service.index.into(),
        }
    }

    fn admits(&self, _service: &Service, _terms: &Terms) -> Result<(), Cause> {
        Ok(())
    }
}

fn own() -> SocketAddr {
    ([127, 0, 0, 1], 7).into()
}

#[derive(Clone)]
struct News;

struct Nothing;

impl Stream for Nothing {
    type Item = Update;

    fn poll_next(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<Option<Update>> {
        Poll::Pending
    }
}

fn known() -> Vec<Update> {
    let object = Object {
        name: "main".into(),
        content: Bytes::from_static(b"\xff\x00 not text"),
    };
    vec![
        Update::All {
            kind: "config".into(),
            objects: vec![object.clone()],
        },
        Update::Changes {
            kind: "leafs".into(),
            put: vec![object],
            gone: vec!["old".into()],
        },
    ]
}

impl Published for News {
    type Changes = Nothing;

    fn followed_by(&self, addr: SocketAddr) {
        assert_eq!(addr, own());
    }

    fn subscribe(&self) -> (Vec<Update>, Nothing) {
        (known(), Nothing)
    }

    fn is_current(&self) -> bool {
        true
    }
}

/// Starts a host, and returns it as the roster lists it.
async fn start(echo: &Echo) -> Host {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    tokio::spawn(relay::serve(
        listener,
        echo.clone(),
        News,
        CancellationToken::new(),
    ));
    Host {
        name: "h1".into(),
        domain: "east".into(),
        http: addr,
        hop: addr,
        exchange: addr,
        link_mbps: 0,
    }
}

fn service(name: &str, index: u16) -> Service {
    Service {
        collection: name.into(),
        index,
    }
}

fn call() -> Call {
    let mut headers = HeaderMap::new();
    let name = HeaderName::from_static("odd");
    headers.append(name.clone(), HeaderValue::from_static("1"));
    headers.append(name, HeaderValue::from_bytes(b"\xfa").unwrap());
    Call {
        id: "r1".into(),
        method: Method::POST,
        target: "/x/y?z=%20".parse().unwrap(),
        headers,
        body: Bytes::from_static(b"two sets"),
    }
}

fn terms() -> Terms {
    Terms {
        rank: Rank::Routine,
        repeatable: true,
        attempts: 3,
        goal: Instant::now() + Duration::from_secs(1),
        deadline: Instant::now() + LONG,
    }
}

/// Guards against calls, replies and reasons that are changed between hosts.
#[tokio::test]
async fn a_call_comes_through_unchanged() {
    let echo = Echo::default();
    let host = start(&echo).await;
    let client = Client::default();
    client.apply(std::slice::from_ref(&host));
    let services = vec![service("good", 2), service("full", 0), service("bad", 1)];
    let parts = client
        .relay(&host.name, services, &call(), terms())
        .await
        .unwrap();
    let mut parts: Vec<_> = timeout(LONG, parts.map(Result::unwrap).collect::<Vec<_>>())
        .await
        .unwrap();
    parts.sort_by_key(|(position, _)| *position);
    let [(_, good), (_, full), (_, bad)] = &parts[..] else {
        panic!("{parts:?}");
    };
    let reply = good.result.as_ref().unwrap();
    assert_eq!(reply.status, StatusCode::IM_A_TEAPOT);
    assert_eq!(reply.headers, call().headers);
    assert_eq!(reply.body, "POST /x/y?z=%20 b\"two sets\"");
    assert_eq!(
        (reply.digest.as_deref(), good.begun, good.sent),
        (Some("digest"), true, 2)
    );
    let missed = full.result.as_ref().unwrap_err();
    assert_eq!((&missed.cause, full.begun), (&Cause::Overload, false));
    let missed = bad.result.as_ref().unwrap_err();
    assert_eq!((&missed.cause, bad.begun), (&Cause::Unreachable, true));
    assert!(missed.reply.is_some());
}

/// Guards against work that goes on at another host after the caller has left.
#[tokio::test]
async fn a_call_that_is_dropped_is_cancelled_at_the_other_host() {
    let echo = Echo::default();
    let host = start(&echo).await;
    let client = Client::default();
    client.apply(std::slice::from_ref(&host));
    let services = vec![service("good", 1), service("never", 1)];
    let mut parts = client
        .relay(&host.name, services, &call(), terms())
        .await
        .unwrap();
    let first = timeout(LONG, parts.next()).await.unwrap();
    assert_eq!(first.unwrap().unwrap().0, 0);
    drop(parts);
    let cancelled = async {
        while echo.cancelled.load(Ordering::SeqCst) == 0 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    timeout(LONG, cancelled).await.unwrap();
}

/// Guards against a call that two hosts send: one gave up before the other had said that it took it.
#[tokio::test]
async fn a_call_is_sent_only_once_it_was_handed_over() {
    use rattanmast_wire::relay::proto::{self, relay_client::RelayClient};
    let echo = Echo::default();
    let host = start(&echo).await;
    let mut client = RelayClient::connect(format!("http://{}", host.hop))
        .await
        .unwrap();
    let message = proto::Call {
        id: "r1".into(),
        method: "GET".into(),
        target: "/x".into(),
        services: vec![proto::Service {
            collection: "good".into(),
            index: 1,
        }],
        rank: 1,
        repeatable: true,
        attempts: 3,
        goal_us: 1,
        deadline_us: 30_000_000,
        ..proto::Call::default()
    };
    let step = |call| proto::Step { call };
    // The steps end without the one that confirms.
    let only = futures::stream::iter([step(Some(message.clone()))]);
    let mut taken = client.forward(only).await.unwrap().into_inner();
    assert!(
        timeout(LONG, taken.message())
            .await
            .unwrap()
            .unwrap()
            .is_none()
    );
    assert_eq!(echo.begun.load(Ordering::SeqCst), 0);
    let both = futures::stream::iter([step(Some(message)), step(None)]);
    let mut taken = client.forward(both).await.unwrap().into_inner();
    assert!(
        timeout(LONG, taken.message())
            .await
            .unwrap()
            .unwrap()
            .is_some()
    );
    assert_eq!(echo.begun.load(Ordering::SeqCst), 1);
}

/// Guards against news that are changed, and followers that cannot tell silence from calm.
#[tokio::test]
async fn a_follower_hears_all_and_signs_of_life() {
    let host = start(&Echo::default()).await;
    let mut updates = Client::default().follow(host.hop, own()).await.unwrap();
    let mut heard = Vec::new();
    while heard.len() < 4 {
        let update = timeout(LONG, updates.next()).await.unwrap();
        heard.push(update.unwrap().unwrap());
    }
    assert_eq!(heard[..2], known());
    assert_eq!(heard[2..], [Update::Current(true), Update::Current(true)]);
}
