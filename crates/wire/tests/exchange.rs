//! The exchange of state over real connections.

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

const LIMIT: Duration = Duration::from_secs(5);

#[derive(Clone, Debug)]
struct Fixed(Reply);

impl Handler for Fixed {
    async fn handle(&self, _: Message) -> Reply {
        self.0.clone()
    }
}

async fn server(reply: Reply) -> (SocketAddr, CancellationToken) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let stop = CancellationToken::new();
    tokio::spawn(serve(listener, Fixed(reply), stop.clone()));
    (addr, stop)
}

/// Guards against a frame limit below the largest object of the platform.
#[tokio::test]
async fn largest_object_passes() {
    let update = Update {
        name: "leafs".into(),
        version: Version(7),
        check: [1; 8],
        body: Body::Whole(vec![255; 1 << 20]),
    };
    let reply = Reply::Updates(vec![update]);
    let (addr, _stop) = server(reply.clone()).await;
    let fetch = Fetch { wants: Vec::new() };
    let got = Client::new().call(addr, Message::Fetch(fetch), LIMIT).await;
    assert_eq!(got, Ok(reply));
}

/// Guards against a client that keeps using a connection whose server is gone.
#[tokio::test]
async fn call_after_restart_uses_a_new_connection() {
    let client = Client::new();
    let message = || Message::Exchange(Digest::default());
    let (addr, stop) = server(Reply::Digest(Digest::default())).await;
    assert!(client.call(addr, message(), LIMIT).await.is_ok());
    stop.cancel();
    while client.call(addr, message(), LIMIT).await.is_ok() {
        tokio::task::yield_now().await;
    }
    let listener = TcpListener::bind(addr).await.unwrap();
    tokio::spawn(serve(
        listener,
        Fixed(Reply::Digest(Digest::default())),
        CancellationToken::new(),
    ));
    assert!(client.call(addr, message(), LIMIT).await.is_ok());
}

/// Guards against a refused connection that is reported as if the message could have arrived.
#[tokio::test]
async fn refused_connection_is_told_apart() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    drop(listener);
    let message = Message::Exchange(Digest::default());
    let got = Client::new().call(addr, message, LIMIT).await;
    assert!(matches!(got, Err(peer::Error::Connect { .. })));
}

/// Guards against traffic figures that leave out what tarpc adds to each message; the in-memory
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
    // A frame begins with its length, in 4 bytes.
    let plain = size(options.serialized_size(&Message::Exchange(digest.clone())));
    assert!(size(options.serialized_size(&request)) + 4 - plain <= 48);
    let plain = size(options.serialized_size(&Reply::Digest(digest)));
    assert!(size(options.serialized_size(&response)) + 4 - plain <= 12);
}
