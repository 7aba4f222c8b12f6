//! Property tests of the code that parses untrusted bytes.
//!
//! Cases are generated from fixed seeds, since bolero's own engine picks new ones in each run.

#![expect(clippy::unwrap_used, reason = "a failed step fails the test")]

use std::{fmt::Debug, net::SocketAddr, time::Duration};

use bolero::{
    Driver as _, TypeGenerator,
    generator::bolero_generator::driver::{self, Options},
};
use prost::Message;
use rand::{SeedableRng as _, rngs::SmallRng};
use rattanmast_model::{
    catalog::{Service, Snapshot},
    config,
    exchange::{self, Exchange as _, Handler, Reply},
    host::Incarnation,
    leaf::{self, Connector as _, Searcher as _},
    outcome::{Outcome, Reason},
    peer,
    range::Range,
    rank::Rank,
    request,
    store::{self, Store as _, Version},
    trace,
};
use rattanmast_wire::{
    api,
    exchange::Client,
    hop::proto,
    http,
    leaf::{Cancel, Connector},
    store::{Client as StoreClient, ListedObject},
};
use serde::{Serialize, de::DeserializeOwned};
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::{TcpListener, TcpStream},
    time::timeout,
};
use tokio_util::sync::CancellationToken;

/// Number of mutations of each message.
const MUTATIONS_PER_MESSAGE: u64 = 3_000;

/// Number of connections that receive arbitrary bytes.
const CONNECTIONS: u64 = 150;

/// Upper bound for any step on a busy machine; not an expected duration.
const STEP_TIMEOUT: Duration = Duration::from_secs(30);

/// Edits of a message: position, byte and operation.
type Edits = Vec<(u16, u8, u8)>;

/// Prints the seed of a case that panics.
struct SeedReporter(u64);

impl Drop for SeedReporter {
    fn drop(&mut self) {
        if std::thread::panicking() {
            eprintln!("case with seed {} failed", self.0);
        }
    }
}

fn generate<T: TypeGenerator>(seed: u64) -> Option<T> {
    let options = Options::default().with_max_len(64);
    driver::Rng::new(SmallRng::seed_from_u64(seed), &options).produce()
}

/// Applies up to four edits: replaces, removes or inserts a byte, or truncates.
fn mutate(mut bytes: Vec<u8>, edits: Edits) -> Vec<u8> {
    for (at, byte, operation) in edits.into_iter().take(4) {
        let at = usize::from(at) % (bytes.len() + 1);
        match operation % 4 {
            0 if at < bytes.len() => bytes[at] = byte,
            1 if at < bytes.len() => drop(bytes.remove(at)),
            2 => bytes.insert(at, byte),
            _ if at > bytes.len() / 2 => bytes.truncate(at),
            _ => {}
        }
    }
    bytes
}

/// Checks that mutated JSON is rejected, or parsed to a value that survives a round trip.
fn check_json<T: Serialize + DeserializeOwned + PartialEq + Debug>(value: &T) {
    let encoded = http::encode(value).to_vec();
    assert_eq!(&http::parse::<T>(&encoded).unwrap(), value);
    let mut changed = 0;
    for seed in 0..MUTATIONS_PER_MESSAGE {
        let _reporter = SeedReporter(seed);
        let mutated = mutate(encoded.clone(), generate(seed).unwrap_or_default());
        changed += u64::from(mutated != encoded);
        if let Ok(read) = http::parse::<T>(&mutated) {
            assert_eq!(http::parse::<T>(&http::encode(&read)).unwrap(), read);
        }
    }
    assert!(
        changed > MUTATIONS_PER_MESSAGE / 2,
        "only {changed} messages were mutated"
    );
}

/// Checks that a mutated message is rejected, or decoded to a value that survives a round trip.
fn check_hop<P, T>(value: &T)
where
    P: Message + Default + From<T>,
    T: TryFrom<P> + Clone + PartialEq + Debug,
    T::Error: Debug,
{
    let encoded = P::from(value.clone()).encode_to_vec();
    let read = |bytes: &[u8]| T::try_from(P::decode(bytes).ok()?).ok();
    assert_eq!(read(&encoded).as_ref(), Some(value));
    for seed in 0..MUTATIONS_PER_MESSAGE {
        let _reporter = SeedReporter(seed);
        let mutated = mutate(encoded.clone(), generate(seed).unwrap_or_default());
        if let Some(message) = read(&mutated) {
            let reencoded = P::from(message.clone()).encode_to_vec();
            assert_eq!(read(&reencoded), Some(message));
        }
    }
}

fn id() -> request::Id {
    request::Id {
        host: 1,
        incarnation: Incarnation(2),
        sequence: 3,
    }
}

fn context() -> Option<trace::Context> {
    let text = "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01";
    text.parse().ok()
}

fn part() -> leaf::Part {
    leaf::Part {
        range: Range::new(5, 500),
        records: 7,
        rows: vec![leaf::Row {
            key: 6,
            record: "r-0001".into(),
            text: "profile-07".into(),
        }],
    }
}

fn search() -> leaf::Search {
    leaf::Search {
        id: id(),
        collection: "records".into(),
        snapshot: Snapshot(4),
        ranges: vec![Range::new(5, 500)],
        text: "profile-07".into(),
        rank: Rank::Routine,
        budget_ms: 900,
        trace: context(),
    }
}

fn order() -> leaf::Order {
    leaf::Order {
        id: id(),
        key: "k".into(),
        collection: "records".into(),
        action: "sharpen".into(),
        record: "r-0001".into(),
        rank: Rank::Intake,
        not_after_ms: 8,
        trace: context(),
    }
}

fn outcomes() -> [Outcome; 4] {
    [
        Outcome::Done { result: "r".into() },
        Outcome::NotRun {
            reason: Reason::Overload,
            remedy: "try later".into(),
        },
        Outcome::Unknown {
            remedy: "ask".into(),
        },
        Outcome::AlreadyDone { result: None },
    ]
}

/// Guards against malformed leaf messages that cause a panic or an inconsistent value.
#[test]
fn leaf_messages() {
    let load = leaf::Load::default();
    check_json(&search());
    check_json(&order());
    check_json(&Cancel { id: id() });
    check_json(&leaf::SearchReply {
        id: id(),
        snapshot: Snapshot(4),
        parts: vec![part()],
        load,
    });
    check_json(&leaf::OrderReply {
        id: id(),
        result: "r".into(),
        load,
    });
    check_json(&leaf::Error::Gone {
        holds: vec![Snapshot(4)],
        load,
    });
}

/// Guards against malformed callers' messages that cause a panic, and problem documents that a
/// client cannot parse.
#[test]
fn caller_messages() {
    check_json(&api::Search {
        text: "profile-07".into(),
        rank: Rank::Urgent,
        timeout_ms: Some(5),
    });
    check_json(&api::Order {
        action: "sharpen".into(),
        record: "r-0001".into(),
        rank: Rank::Urgent,
        timeout_ms: None,
    });
    for outcome in outcomes() {
        check_json(&outcome);
        check_json(&api::Problem {
            title: "Service Unavailable".into(),
            status: 503,
            detail: "there is no room".into(),
            outcome,
        });
    }
}

/// Guards against malformed platform replies that cause a panic.
#[test]
fn platform_messages() {
    check_json(&vec![ListedObject {
        name: "claims/0/1".into(),
        version: Version(3),
        value: "{}".into(),
    }]);
}

/// Guards against malformed messages between hosts that cause a panic or an inconsistent value.
#[test]
fn hop_messages() {
    check_hop::<proto::Subquery, _>(&peer::Subquery {
        id: id(),
        config: config::Version(1),
        collection: "records".into(),
        snapshot: Snapshot(4),
        asks: vec![peer::Ask {
            service: 3,
            ranges: vec![Range::new(5, 500)],
            leafs: vec!["a".into()],
        }],
        text: "profile-07".into(),
        rank: Rank::Routine,
        priority: config::Priority::Coverage,
        budget_ms: 900,
        open: 2,
        trace: context(),
    });
    let service = Service {
        collection: "records".into(),
        index: 3,
    };
    check_hop::<proto::Subreply, _>(&peer::Subreply {
        id: id(),
        incarnation: Incarnation(2),
        snapshot: Snapshot(4),
        parts: vec![part()],
        misses: vec![peer::Miss {
            service: 3,
            cause: peer::Cause::Gone(vec![Snapshot(5)]),
        }],
        begun: true,
        sent: 2,
        leaf_us: 900,
        report: peer::Report {
            waits: vec![(service, [1, 2, 3])],
            leaving: vec!["a".into()],
        },
    });
    check_hop::<proto::Order, _>(&peer::Order {
        id: id(),
        target: Incarnation(2),
        step: peer::Step::Dispatch,
        key: "k".into(),
        caller: "bench".into(),
        collection: "records".into(),
        action: "sharpen".into(),
        record: "r-0001".into(),
        rank: Rank::Intake,
        budget_ms: 900,
        not_after_ms: 8,
        trace: context(),
    });
}

/// Guards against an invalid trace context that is accepted from another host.
#[test]
fn malformed_traces_of_hosts_are_left_out() {
    let order = proto::Order {
        id: Some(proto::Id::default()),
        trace: Some(proto::Trace {
            trace: vec![0; 16],
            span: 0,
            sampled: true,
        }),
        ..proto::Order::default()
    };
    assert_eq!(peer::Order::try_from(order).unwrap().trace, None);
}

/// Replies to each connection with arbitrary bytes or a mutated valid response.
async fn serve_arbitrary_bytes(listener: TcpListener) {
    for seed in 0.. {
        let (mut stream, _) = listener.accept().await.unwrap();
        let valid = b"HTTP/1.1 200 OK\r\netag: \"7\"\r\ncontent-length: 2\r\n\r\n{}";
        let bytes = match generate::<(bool, Edits, Vec<u8>)>(seed) {
            Some((true, edits, _)) => mutate(valid.to_vec(), edits),
            Some((false, _, bytes)) => bytes,
            None => Vec::new(),
        };
        tokio::spawn(async move {
            let mut request = [0; 4096];
            // The client may close the connection at any time, so errors are ignored.
            let _ = stream.read(&mut request).await;
            let _ = stream.write_all(&bytes).await;
        });
    }
}

async fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    (listener, addr)
}

/// Guards against an arbitrary reply of a leaf that hangs the client or is reported as
/// "not begun".
#[tokio::test]
async fn leaf_connections() {
    let (listener, addr) = listen().await;
    tokio::spawn(serve_arbitrary_bytes(listener));
    let service = Service {
        collection: "records".into(),
        index: 0,
    };
    let leaf = leaf::Leaf {
        name: "a".into(),
        addr,
        domain: "d".into(),
        service,
        state: rattanmast_model::host::State::Live,
        lifetime: rattanmast_model::host::Incarnation::default(),
    };
    for seed in 0..CONNECTIONS {
        let _reporter = SeedReporter(seed);
        let mut connection = Connector::default().open(&leaf).await.unwrap();
        let order = order();
        let result = timeout(STEP_TIMEOUT, connection.order(&order))
            .await
            .unwrap();
        assert!(!result.unwrap_err().not_begun());
    }
}

/// Guards against an arbitrary platform reply that hangs the client or is reported as
/// "not written".
#[tokio::test]
async fn platform_connections() {
    let (listener, addr) = listen().await;
    tokio::spawn(serve_arbitrary_bytes(listener));
    for seed in 0..CONNECTIONS {
        let _reporter = SeedReporter(seed);
        let client = StoreClient::new(addr);
        let result = timeout(STEP_TIMEOUT, client.create("a", b"1"))
            .await
            .unwrap();
        // The valid response reports that the object was written as version 7.
        let is_expected = matches!(result, Ok(_) | Err(store::Error::ResponseLost { .. }));
        assert!(is_expected, "{result:?}");
    }
}

/// Replies to every message with a digest of host `b`.
#[derive(Clone)]
struct FixedDigest;

impl Handler for FixedDigest {
    async fn handle(&self, _: exchange::Message) -> Reply {
        Reply::Digest(fixed_digest())
    }
}

fn fixed_digest() -> exchange::Digest {
    exchange::Digest {
        host: "b".into(),
        ..exchange::Digest::default()
    }
}

/// Guards against arbitrary frames that keep a host from serving other hosts.
#[tokio::test]
async fn exchange_connections() {
    let (listener, addr) = listen().await;
    tokio::spawn(rattanmast_wire::exchange::serve(
        listener,
        FixedDigest,
        CancellationToken::new(),
    ));
    for seed in 0..CONNECTIONS {
        let _reporter = SeedReporter(seed);
        let (framed, bytes): (bool, Vec<u8>) = generate(seed).unwrap_or_default();
        let length = u32::try_from(bytes.len()).unwrap().to_be_bytes();
        let mut stream = TcpStream::connect(addr).await.unwrap();
        let head: &[u8] = if framed { &length } else { &[] };
        stream.write_all(&[head, &bytes].concat()).await.unwrap();
    }
    let message = exchange::Message::Exchange(exchange::Digest::default());
    let reply = Client::default().call(addr, message, STEP_TIMEOUT).await;
    assert_eq!(reply.unwrap(), Reply::Digest(fixed_digest()));
}
