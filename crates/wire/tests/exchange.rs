//! Tests of the exchange of state over real sockets.

#![expect(clippy::unwrap_used, reason = "a failed set-up step fails the test")]

use std::{net::SocketAddr, time::Duration};

use rattanmast_model::{
    exchange::{Body, Digest, Exchange as _, Fetch, Handler, Message, Reply, Update},
    peer,
    store::Version,
};
use rattanmast_wire::exchange::{Client, serve};
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

const CALL_TIMEOUT: Duration = Duration::from_secs(5);

#[derive(Clone, Debug)]
struct FixedReply(Reply);

impl Handler for FixedReply {
    async fn handle(&self, _: Message) -> Reply {
        self.0.clone()
    }
}

async fn start_server(reply: Reply) -> (SocketAddr, CancellationToken) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let stop = CancellationToken::new();
    tokio::spawn(serve(listener, FixedReply(reply), stop.clone()));
    (addr, stop)
}

/// Guards against a frame limit that is smaller than the platform's largest object.
#[tokio::test]
async fn largest_object_passes() {
    let update = Update {
        name: "leafs".into(),
        version: Version(7),
        check: [1; 8],
        body: Body::Whole(vec![255; 1 << 20]),
    };
    let reply = Reply::Updates(vec![update]);
    let (addr, _stop) = start_server(reply.clone()).await;
    let fetch = Fetch { wants: Vec::new() };
    let got = Client::new()
        .call(addr, Message::Fetch(fetch), CALL_TIMEOUT)
        .await;
    assert_eq!(got, Ok(reply));
}

/// Guards against a client that reuses a cached connection after the server has stopped.
#[tokio::test]
async fn call_after_restart_uses_a_new_connection() {
    let client = Client::new();
    let message = || Message::Exchange(Digest::default());
    let (addr, stop) = start_server(Reply::Digest(Digest::default())).await;
    assert!(client.call(addr, message(), CALL_TIMEOUT).await.is_ok());
    stop.cancel();
    while client.call(addr, message(), CALL_TIMEOUT).await.is_ok() {
        tokio::task::yield_now().await;
    }
    let listener = TcpListener::bind(addr).await.unwrap();
    tokio::spawn(serve(
        listener,
        FixedReply(Reply::Digest(Digest::default())),
        CancellationToken::new(),
    ));
    assert!(client.call(addr, message(), CALL_TIMEOUT).await.is_ok());
}

/// Guards against a refused connection that is reported as a message that may have arrived.
#[tokio::test]
async fn refused_connection_is_told_apart() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    drop(listener);
    let message = Message::Exchange(Digest::default());
    let got = Client::new().call(addr, message, CALL_TIMEOUT).await;
    assert!(matches!(got, Err(peer::Error::Connect { .. })));
}

/// Guards against traffic figures that underestimate tarpc's overhead per message; the in-memory
/// network of `crates/state/tests/support` counts 48 bytes for a call and 12 for a reply.
#[test]
fn framing_is_as_counted() {
    use bincode::Options as _;
    use rattanmast_wire::exchange::{ExchangeRequest, ExchangeResponse};
    use tarpc::{ClientMessage, Request, Response};
    let size = |bytes: bincode::Result<u64>| bytes.unwrap();
    let options = bincode::options();
    let digest = Digest::default();
    let request = ClientMessage::Request(Request {
        context: tarpc::context::current(),
        id: u64::from(u32::MAX),
        message: ExchangeRequest::Exchange {
            digest: digest.clone(),
        },
    });
    let response = Response {
        request_id: u64::from(u32::MAX),
        message: Ok(ExchangeResponse::Exchange(digest.clone())),
    };
    // Each frame starts with a 4-byte length.
    let unframed = size(options.serialized_size(&Message::Exchange(digest.clone())));
    assert!(size(options.serialized_size(&request)) + 4 - unframed <= 48);
    let unframed = size(options.serialized_size(&Reply::Digest(digest)));
    assert!(size(options.serialized_size(&response)) + 4 - unframed <= 12);
}
