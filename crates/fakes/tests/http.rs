//! Tests of the stand-ins over sockets, through the clients that hosts use.

#![expect(clippy::unwrap_used, reason = "a failed step fails the test")]

use std::{net::SocketAddr, time::Duration};

use rattanmast_fakes::{
    clock::Wall,
    data::{Data, loopback},
    leafs,
    memory::Fleet,
    model::{self, Settings},
    platform,
    proxy::{self, Route},
    serve,
    store::{self, Store},
};
use rattanmast_model::{
    catalog::Snapshot,
    host::Incarnation,
    leaf::{self, Connection as _, Connector as _, Error, Searcher as _},
    preset::Preset,
    range::KEY_SPACE,
    rank::Rank,
    request,
    store::{Error as StoreError, Store as _},
    trace,
};
use rattanmast_wire::{leaf::Connector, store::Client};
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _, copy},
    net::{TcpListener, TcpStream},
    time::sleep,
};

const COLLECTION: &str = "blade-profile-registry";

/// A timeout that no step reaches even on a busy machine; not an expected duration.
const LONG: Duration = Duration::from_secs(30);

/// How long to wait to confirm that nothing happens; a longer wait only detects more faults.
const SHORT: Duration = Duration::from_millis(300);

async fn serve_platform() -> (Store, SocketAddr) {
    let store = Store::new(1);
    let (listener, addr) = serve::listen(loopback(0)).await.unwrap();
    let served = store.clone();
    tokio::spawn(serve::serve_connections(listener, move |request| {
        let store = served.clone();
        async move { platform::handle(&store, request).await }
    }));
    (store, addr)
}

async fn serve_leaf() -> (model::Leaf, leaf::Leaf) {
    let data = Data::new(Preset::norway());
    let fleet = Fleet::new(&data, Settings::default(), Wall::System, 1);
    let (listener, addr) = serve::listen(loopback(0)).await.unwrap();
    let mut leaf = data.leafs.leafs[0].clone();
    leaf.addr = addr;
    let model = fleet.leaf(&leaf.name).clone();
    tokio::spawn(leafs::serve(listener, model.clone()));
    (model, leaf)
}

async fn route(target: SocketAddr) -> Route {
    Route::start(loopback(0), target, Duration::from_secs(1), 1)
        .await
        .unwrap()
}

fn id(sequence: u64) -> request::Id {
    request::Id {
        host: 1,
        incarnation: Incarnation(1),
        sequence,
    }
}

fn search(sequence: u64, snapshot: u64) -> leaf::Search {
    leaf::Search {
        id: id(sequence),
        collection: COLLECTION.into(),
        snapshot: Snapshot(snapshot),
        ranges: vec![KEY_SPACE],
        text: "".into(),
        rank: Rank::Urgent,
        budget_ms: 30_000,
        trace: None,
    }
}

fn order(sequence: u64, key: &str) -> leaf::Order {
    leaf::Order {
        id: id(sequence),
        key: key.into(),
        collection: COLLECTION.into(),
        action: "sharpen".into(),
        record: "r-0001".into(),
        rank: Rank::Urgent,
        not_after_ms: Wall::System.now_ms() + 60_000,
        trace: None,
    }
}

/// Waits until `done` returns true; fails after [`LONG`].
async fn until(what: &str, done: impl Fn() -> bool) {
    let reached = async {
        while !done() {
            sleep(Duration::from_millis(5)).await;
        }
    };
    let reached = tokio::time::timeout(LONG, reached).await;
    assert!(reached.is_ok(), "{what} did not happen");
}

/// Guards against responses of the object service that the hosts' client misinterprets.
#[tokio::test]
async fn platform_answers_the_client() {
    let (store, addr) = serve_platform().await;
    let client = Client::new(addr);
    let missing = client.get("claims/0/1").await.unwrap_err();
    assert!(matches!(missing, StoreError::NotFound { .. }));
    let first = client.create("claims/0/1", b"{}").await.unwrap();
    let twice = client.create("claims/0/1", b"[]").await.unwrap_err();
    assert!(matches!(twice, StoreError::Conflict { .. }));
    let second = client.update("claims/0/1", first, b"[]").await.unwrap();
    let stale = client.update("claims/0/1", first, b"1").await.unwrap_err();
    assert!(matches!(stale, StoreError::Conflict { .. }));
    let object = client.get("claims/0/1").await.unwrap();
    assert_eq!(
        (object.version, object.value.as_slice()),
        (second, &b"[]"[..])
    );
    let listed = client.list("claims/").await.unwrap();
    assert_eq!(listed, [object]);
    let unchanged = client.watch("claims/0/1", second, Duration::ZERO).await;
    assert_eq!(unchanged.unwrap(), None);
    let (changed, ()) = tokio::join!(client.watch("claims/0/1", second, LONG), async {
        store.write_now("claims/0/1", b"2");
    });
    assert_eq!(changed.unwrap().unwrap().value, b"2");
    client.delete("claims/0/1").await.unwrap();
    assert!(store.read_now("claims/0/1").is_none());
}

/// Guards against a client that confuses an outage with a lost response.
#[tokio::test]
async fn platform_faults_reach_the_client() {
    let (store, addr) = serve_platform().await;
    let client = Client::new(addr);
    let lose = store::Faults {
        lose_next: 1,
        ..store::Faults::default()
    };
    store.set_faults(lose);
    let lost = client.create("a", b"1").await.unwrap_err();
    assert!(matches!(lost, StoreError::ResponseLost { .. }));
    assert_eq!(store.read_now("a").unwrap().value, b"1");
    let down = store::Faults {
        down: true,
        ..store::Faults::default()
    };
    store.set_faults(down);
    let down = client.create("b", b"1").await.unwrap_err();
    assert!(matches!(down, StoreError::Unavailable { .. }));
    assert!(store.read_now("b").is_none());
}

/// Guards against leaf replies that the hosts' connector misinterprets.
#[tokio::test]
async fn leaf_answers_the_connector() {
    let (model, leaf) = serve_leaf().await;
    let mut link = Connector::default().open(&leaf).await.unwrap();
    let context: trace::Context = "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01"
        .parse()
        .unwrap();
    let traced = leaf::Search {
        trace: Some(context),
        ..search(1, 1)
    };
    let found = link.search(&traced).await.unwrap();
    assert_eq!((found.id, found.snapshot), (id(1), Snapshot(1)));
    assert!(found.parts[0].records > 0);
    assert_eq!(model.last_trace(), Some(context));
    let gone = link.search(&search(2, 9)).await.unwrap_err();
    assert!(matches!(gone, Error::Gone { holds, .. } if holds == [Snapshot(1)]));
    link.order(&order(3, "once")).await.unwrap();
    let late = leaf::Order {
        not_after_ms: 1,
        ..order(4, "late")
    };
    let late = link.order(&late).await.unwrap_err();
    assert!(matches!(late, Error::Expired { .. }));
    model.set_draining(true);
    let leaving = link.search(&search(5, 1)).await.unwrap_err();
    assert!(matches!(leaving, Error::Leaving { load } if load.draining));
    assert_eq!(
        model.runs().into_iter().collect::<Vec<_>>(),
        [("once".into(), 1)]
    );
}

/// Forwards one connection to `target`, and sends the first answer once more before the second one.
async fn repeat_first_answer(target: SocketAddr) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (client, _) = listener.accept().await.unwrap();
        let (mut requests, mut answers) = client.into_split();
        let (mut leaf_answers, mut leaf_requests) =
            TcpStream::connect(target).await.unwrap().into_split();
        tokio::spawn(async move { copy(&mut requests, &mut leaf_requests).await });
        let mut first = vec![0; 16 << 10];
        let length = leaf_answers.read(&mut first).await.unwrap();
        answers.write_all(&first[..length]).await.unwrap();
        let mut second = vec![0; 16 << 10];
        let second_length = leaf_answers.read(&mut second).await.unwrap();
        answers.write_all(&first[..length]).await.unwrap();
        // The client may close the connection after the first one.
        let _closed = answers.write_all(&second[..second_length]).await;
    });
    addr
}

/// Guards against an order that is reported as not run, and runs, because a leaf's refusal of an earlier
/// order arrives once more in place of the answer.
#[tokio::test]
async fn a_late_refusal_of_an_earlier_order_refuses_no_other() {
    let (model, mut leaf) = serve_leaf().await;
    leaf.addr = repeat_first_answer(leaf.addr).await;
    let mut link = Connector::default().open(&leaf).await.unwrap();
    let late = leaf::Order {
        not_after_ms: 1,
        ..order(1, "late")
    };
    let refused = link.order(&late).await.unwrap_err();
    assert!(refused.not_begun(), "{refused}");
    let unknown = link.order(&order(2, "runs")).await.unwrap_err();
    assert!(!unknown.not_begun(), "{unknown}");
    assert_eq!(model.runs()["runs"], 1);
}

/// Guards against connections beyond the limit, and work that continues after its client has
/// disconnected or cancelled it.
#[tokio::test]
async fn leaf_limits_connections_and_stops_cancelled_work() {
    let (model, leaf) = serve_leaf().await;
    let slow = model::Faults {
        factor: 100_000.0,
        ..model::Faults::default()
    };
    model.set_faults(slow);
    let mut links = Vec::new();
    for _ in 0..25 {
        links.push(Connector::default().open(&leaf).await.unwrap());
    }
    until("25 connections", || model.connections() == 25).await;
    let mut extra = Connector::default().open(&leaf).await.unwrap();
    let refused = extra.search(&search(1, 1)).await.unwrap_err();
    assert!(matches!(
        refused,
        Error::Connect { .. } | Error::Lost { .. }
    ));
    let mut first = links.pop().unwrap();
    let wanted = search(2, 1);
    let work = tokio::spawn(async move { first.search(&wanted).await });
    until("a search that runs", || model.counters().searches == 1).await;
    work.abort();
    until("a search that was dropped", || {
        model.counters().cancelled == 1
    })
    .await;
    let mut second = links.pop().unwrap();
    let wanted = search(3, 1);
    let work = tokio::spawn(async move { second.search(&wanted).await });
    until("a second search", || model.counters().searches == 2).await;
    links[0].cancel(id(3)).await.unwrap();
    assert!(matches!(work.await.unwrap(), Err(Error::Failed { .. })));
    drop(links);
    until("closed connections", || model.connections() == 0).await;
}

/// Guards against a proxy that drops data without a fault, or forwards data despite one.
#[tokio::test]
async fn proxy_cuts_and_loses() {
    let (model, mut leaf) = serve_leaf().await;
    let route = route(leaf.addr).await;
    leaf.addr = route.listen();
    let mut link = Connector::default().open(&leaf).await.unwrap();
    link.order(&order(1, "passed")).await.unwrap();
    let lose = proxy::Faults {
        lose_reply: 1.0,
        ..proxy::Faults::default()
    };
    route.set_faults(lose);
    let lost = link.order(&order(2, "lost")).await.unwrap_err();
    assert!(matches!(lost, Error::Lost { .. }));
    let close = proxy::Faults {
        close_after_request: 1.0,
        ..proxy::Faults::default()
    };
    route.set_faults(close);
    let mut link = Connector::default().open(&leaf).await.unwrap();
    let closed = link.order(&order(3, "closed")).await.unwrap_err();
    assert!(matches!(closed, Error::Lost { .. }));
    until("two orders", || model.runs().len() >= 2).await;
    assert_eq!(model.runs()["passed"], 1);
    assert_eq!(model.runs()["lost"], 1);
    let cut = proxy::Faults {
        cut: true,
        ..proxy::Faults::default()
    };
    route.set_faults(cut);
    let opened = Connector::default().open(&leaf).await;
    let reached = match opened {
        Ok(mut link) => link.search(&search(4, 1)).await.is_ok(),
        Err(_) => false,
    };
    assert!(!reached);
    route.set_faults(proxy::Faults::default());
    let mut link = Connector::default().open(&leaf).await.unwrap();
    link.search(&search(5, 1)).await.unwrap();
}

/// Guards against a silenced connection that answers, or new connections that are silent too.
#[tokio::test]
async fn proxy_silences_connections() {
    let (model, mut leaf) = serve_leaf().await;
    let route = route(leaf.addr).await;
    leaf.addr = route.listen();
    let mut old = Connector::default().open(&leaf).await.unwrap();
    old.search(&search(1, 1)).await.unwrap();
    route.silence_connections();
    let mut new = Connector::default().open(&leaf).await.unwrap();
    let wanted = order(2, "silent");
    let silent = tokio::time::timeout(SHORT, old.order(&wanted));
    let (silent, found) = tokio::join!(silent, async {
        let wanted = search(3, 1);
        new.search(&wanted).await
    });
    assert!(silent.is_err());
    found.unwrap();
    drop(old);
    assert!(model.runs().is_empty());
    // The proxy keeps the connection to the leaf open until the hold time has passed.
    until("the end of the hold", || model.connections() == 1).await;
}

/// Guards against a request that is attributed to another client than the one that sent it.
#[tokio::test]
async fn proxy_names_the_client_of_a_connection() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let route = route(listener.local_addr().unwrap()).await;
    let first = TcpStream::connect(route.listen()).await.unwrap();
    let (_first_end, first_source) = listener.accept().await.unwrap();
    let second = TcpStream::connect(route.listen()).await.unwrap();
    let (_second_end, second_source) = listener.accept().await.unwrap();
    let clients = [&first, &second].map(|client| client.local_addr().ok());
    let found = || [first_source, second_source].map(|source| route.client(source));
    until("both clients", || found() == clients).await;
    drop(first);
    until("no client", || route.client(first_source).is_none()).await;
}

/// Guards against a one-way fault that drops only part of the data or affects both directions.
#[tokio::test]
async fn proxy_loses_one_direction() {
    let (model, mut leaf) = serve_leaf().await;
    let route = route(leaf.addr).await;
    leaf.addr = route.listen();
    let to_target = proxy::Faults {
        drop_to_target: true,
        ..proxy::Faults::default()
    };
    let to_client = proxy::Faults {
        drop_to_client: true,
        ..proxy::Faults::default()
    };
    let silent = proxy::Faults {
        silent_new: true,
        ..proxy::Faults::default()
    };
    let slow = proxy::Faults {
        delay_ms: 1,
        jitter_ms: 2,
        ..proxy::Faults::default()
    };
    let cases = [(to_target, false), (to_client, true), (silent, false)];
    for ((faults, arrives), sequence) in cases.into_iter().zip(1..) {
        route.set_faults(faults);
        let key = format!("order-{sequence}");
        let mut link = Connector::default().open(&leaf).await.unwrap();
        let wanted = order(sequence, &key);
        let answer = tokio::time::timeout(SHORT, link.order(&wanted)).await;
        assert!(answer.is_err(), "{faults:?}");
        if arrives {
            until("an order that runs", || {
                model.runs().contains_key(key.as_str())
            })
            .await;
        }
        assert_eq!(
            model.runs().contains_key(key.as_str()),
            arrives,
            "{faults:?}"
        );
    }
    route.set_faults(slow);
    let mut link = Connector::default().open(&leaf).await.unwrap();
    link.order(&order(9, "slow")).await.unwrap();
}
