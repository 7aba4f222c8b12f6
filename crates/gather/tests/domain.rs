//! Which host sends a call, and what happens when the host in charge fails.

#![expect(clippy::unwrap_used, reason = "a failed step fails the test")]

use std::{
    pin::Pin,
    sync::{Arc, Mutex},
    task::{Context, Poll},
    time::Duration,
};

use bytes::Bytes;
use futures::{Stream, StreamExt as _};
use http::{HeaderMap, Method, StatusCode};
use rattanmast_gather::domain::Domain;
use rattanmast_model::{
    catalog::Service,
    config::{Collection, Config},
    forward::{Call, Forward, Forwarded, Missed, Relays, Reply, Terms},
    host::{self, Host},
    leaf::Limits,
    peer::{self, Cause, Error},
    rank::Rank,
};
use tokio::time::{Instant, advance};

/// What the other hosts do with a call.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Act {
    /// Take it and report on all services.
    #[default]
    Serve,
    /// Cannot be reached.
    Refuse,
    /// Do not take it.
    Silent,
    /// Take it, report on one service, and break off.
    Break,
}

#[derive(Clone, Default)]
struct World(Arc<Mutex<Log>>);

#[derive(Default)]
struct Log {
    act: Act,
    /// Services and attempts of the calls that the own host sent.
    own: Vec<(String, u32)>,
    /// Hosts that were asked, and the number of services.
    asked: Vec<(host::Name, usize)>,
}

fn reply(from: &str) -> Forwarded {
    Forwarded {
        result: Ok(Reply {
            status: StatusCode::OK,
            headers: HeaderMap::new(),
            body: Bytes::from(from.to_owned()),
            digest: Some("digest".into()),
        }),
        begun: true,
        sent: 1,
    }
}

impl Forward for World {
    async fn forward(&self, service: &Service, _call: Arc<Call>, terms: Terms) -> Forwarded {
        let name = service.collection.to_string();
        self.0
            .lock()
            .unwrap()
            .own
            .push((name.clone(), terms.attempts));
        reply(&format!("me:{name}"))
    }

    fn admits(&self, _service: &Service, _terms: &Terms) -> Result<(), Cause> {
        Ok(())
    }
}

struct Parts(Vec<peer::Result<(usize, Forwarded)>>);

impl Stream for Parts {
    type Item = peer::Result<(usize, Forwarded)>;

    fn poll_next(mut self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        Poll::Ready(self.0.pop())
    }
}

impl Relays for World {
    type Parts = Parts;

    async fn relay(
        &self,
        host: &host::Name,
        services: Vec<Service>,
        _call: &Call,
        _terms: Terms,
    ) -> peer::Result<Parts> {
        let act = {
            let mut log = self.0.lock().unwrap();
            log.asked.push((host.clone(), services.len()));
            log.act
        };
        let served = services.iter().enumerate();
        let served = served.map(|(i, s)| Ok((i, reply(&format!("{host}:{}", s.collection)))));
        let host = host.clone();
        match act {
            Act::Serve => Ok(Parts(served.collect())),
            Act::Refuse => Err(Error::Connect { host }),
            Act::Silent => std::future::pending().await,
            Act::Break => {
                let broken = Err(Error::Broken {
                    host,
                    why: "reset".into(),
                });
                Ok(Parts([broken].into_iter().chain(served.take(1)).collect()))
            }
        }
    }
}

fn service(i: usize) -> Service {
    Service {
        collection: format!("s{i}").into(),
        index: 0,
    }
}

/// Returns the sender of host `east-0`, among four hosts in each of two domains.
fn domain(world: &World, connections: u32) -> Domain<World, World> {
    let addr = ([127, 0, 0, 1], 1).into();
    let host = |domain: &str, i: usize| Host {
        name: format!("{domain}-{i}").into(),
        domain: domain.into(),
        http: addr,
        hop: addr,
        exchange: addr,
        link_mbps: 0,
    };
    let hosts = (0..4).flat_map(|i| [host("east", i), host("west", i)]);
    let collection = |i: usize| Collection {
        name: service(i).collection,
        services: 1,
        leafs: 2,
        limits: Limits {
            slots: 2,
            connections,
            open_ms: 1,
        },
    };
    let domain = Domain::new("east-0".into(), world.clone(), world.clone());
    domain.apply(&Config {
        hosts: hosts.collect(),
        collections: (0..20).map(collection).collect(),
        ..Config::default()
    });
    domain
}

async fn send(domain: &Domain<World, World>, repeatable: bool) -> Vec<(usize, Forwarded)> {
    let services: Vec<Service> = (0..20).map(service).collect();
    let call = Arc::new(Call {
        id: "r1".into(),
        method: Method::GET,
        target: "/x".parse().unwrap(),
        headers: HeaderMap::new(),
        body: Bytes::new(),
    });
    let terms = Terms {
        rank: Rank::Urgent,
        repeatable,
        attempts: 2,
        goal: Instant::now() + Duration::from_millis(100),
        deadline: Instant::now() + Duration::from_secs(1),
    };
    let mut parts: Vec<_> = domain.forward_all(&services, &call, terms).collect().await;
    parts.sort_by_key(|(position, _)| *position);
    let positions: Vec<usize> = parts.iter().map(|(position, _)| *position).collect();
    assert_eq!(
        positions,
        (0..20).collect::<Vec<_>>(),
        "each service is reported once"
    );
    parts
}

fn body(part: &(usize, Forwarded)) -> String {
    let reply = part.1.result.as_ref().unwrap();
    String::from_utf8(reply.body.to_vec()).unwrap()
}

/// Guards against detours where each host may hold connections of its own.
#[tokio::test(start_paused = true)]
async fn a_host_sends_itself_where_connections_suffice() {
    let world = World::default();
    send(&domain(&world, 16), true).await;
    let log = world.0.lock().unwrap();
    assert_eq!((log.own.len(), log.asked.len()), (20, 0));
}

/// Guards against replies that are told for another service, and against hosts of other domains.
#[tokio::test(start_paused = true)]
async fn hosts_of_the_domain_send_where_connections_are_few() {
    let world = World::default();
    let parts = send(&domain(&world, 15), true).await;
    for part in &parts {
        assert!(body(part).ends_with(&format!(":s{}", part.0)));
    }
    let log = world.0.lock().unwrap();
    let relayed: usize = log.asked.iter().map(|(_, services)| services).sum();
    assert_eq!(relayed + log.own.len(), 20);
    assert_eq!(
        log.asked.len(),
        3,
        "each other host of the domain is asked once"
    );
    assert!(log.asked.iter().all(|(host, _)| host.starts_with("east-")));
}

/// Guards against a host that is silent and makes each query of its domain late.
#[tokio::test(start_paused = true)]
async fn a_silent_host_is_passed_over_for_a_while() {
    for act in [Act::Silent, Act::Refuse] {
        let world = World::default();
        world.0.lock().unwrap().act = act;
        let domain = domain(&world, 15);
        let start = Instant::now();
        let parts = send(&domain, true).await;
        assert!(parts.iter().all(|part| body(part).starts_with("me:")));
        assert!(start.elapsed() <= Duration::from_millis(40));
        {
            let mut log = world.0.lock().unwrap();
            assert_eq!(log.asked.len(), 3);
            assert!(
                log.own.iter().all(|(_, attempts)| *attempts == 2),
                "{act:?}"
            );
            log.act = Act::Serve;
        }
        send(&domain, true).await;
        assert_eq!(
            world.0.lock().unwrap().asked.len(),
            3,
            "{act:?}: still in doubt"
        );
        advance(Duration::from_secs(4)).await;
        send(&domain, true).await;
        assert_eq!(
            world.0.lock().unwrap().asked.len(),
            6,
            "{act:?}: tried again"
        );
    }
}

/// Guards against more runs of one call than allowed, when its sender breaks off.
#[tokio::test(start_paused = true)]
async fn after_a_break_a_call_has_one_attempt_less() {
    let world = World::default();
    world.0.lock().unwrap().act = Act::Break;
    let domain = domain(&world, 15);
    let parts = send(&domain, true).await;
    assert!(parts.iter().all(|(_, forwarded)| forwarded.result.is_ok()));
    let own = world.0.lock().unwrap().own.clone();
    assert!(own.iter().any(|(_, attempts)| *attempts == 1));

    advance(Duration::from_secs(4)).await;
    world.0.lock().unwrap().own.clear();
    let parts = send(&domain, false).await;
    let lost = parts.iter().filter(|(_, forwarded)| {
        let unreachable = matches!(
            forwarded.result,
            Err(Missed {
                cause: Cause::Unreachable,
                ..
            })
        );
        unreachable && forwarded.begun
    });
    assert!(lost.count() > 0, "what may have run is told so");
    let own = world.0.lock().unwrap().own.clone();
    assert!(
        own.iter().all(|(_, attempts)| *attempts == 2),
        "only what was its own to send"
    );
}
