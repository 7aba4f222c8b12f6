//! CPU time and allocations of the policies on a host.
//!
//! Runs on the real clock, with leafs that reply immediately and messages with
//! zero latency. Sockets and message encoding are not included.

use std::{fmt::Write as _, fs, sync::Arc, time::Duration};

use rattanmast_dispatch::Dispatcher;
use rattanmast_fakes::data::Data;
use rattanmast_gather::{Gatherer, Settings};
use rattanmast_model::{
    catalog::Catalog,
    hash::Map,
    host::Incarnation,
    leaf::{
        Connection, Connector, Error, Leaf, Load, Order, OrderReply, Part, Result, Search,
        SearchReply, Searcher,
    },
    preset::Preset,
    query::Query,
    rank::Rank,
    request,
};
use serde::Serialize;
use smol_str::SmolStr;
use snafu::{ResultExt, Snafu};
use tokio::{runtime::Runtime, task::JoinSet};

use crate::{
    peers::{self, Endpoint},
    policy::{Baseline, Kind, Production, Suite},
};

/// The name of the case.
pub const NAME: &str = "cost";

/// The one-line summary of the case.
pub const ABOUT: &str = "CPU time and allocations of a host per leaf request, on the real clock";

/// Leaf requests per second that one host must handle in two years, from section 2.3 of the
/// design.
const TARGET_REQUESTS_PER_SEC: f64 = 70_000.0;

/// Concurrent queries over all hosts; few enough for the leafs' slots.
const MAX_QUERIES_IN_FLIGHT: usize = 2;

/// Number of warm-up queries and of measured queries.
const WARM_UP_AND_MEASURED_QUERIES: [u64; 2] = [2_000, 20_000];

/// Why the cost could not be measured.
#[derive(Debug, Snafu)]
pub enum Failure {
    /// The CPU time of the thread could not be read.
    #[snafu(display("cannot read {SCHEDSTAT_PATH} ({source}); run on Linux with /proc mounted"))]
    Cpu {
        /// The error returned by the system.
        source: std::io::Error,
    },
}

/// File whose first number is the CPU time of the thread in nanoseconds.
const SCHEDSTAT_PATH: &str = "/proc/thread-self/schedstat";

/// The cost of one set of policies.
#[derive(Clone, Debug, Serialize)]
pub struct Cost {
    /// The name of the policies.
    pub policies: &'static str,
    /// Number of leaf requests measured.
    pub requests: u64,
    /// The share of the measured queries that were answered with full coverage.
    pub complete: f64,
    /// CPU time per leaf request, in microseconds.
    pub cpu_us: f64,
    /// Allocations per leaf request, including reallocations.
    pub allocations: f64,
    /// Bytes allocated per leaf request.
    pub bytes: f64,
    /// Cores that a host needs for [`TARGET_REQUESTS_PER_SEC`] leaf requests a second.
    pub cores: f64,
}

/// Measures the policy and the baseline on the current thread.
///
/// # Errors
///
/// [`Failure::Cpu`] if the CPU time cannot be read.
///
/// # Panics
///
/// If the runtime cannot be created.
pub fn measure() -> std::result::Result<Vec<Cost>, Failure> {
    let mut builder = tokio::runtime::Builder::new_current_thread();
    let runtime = builder.enable_time().build();
    let runtime = runtime.expect("a runtime without I/O needs no system resource");
    Ok(vec![
        cost::<Production>(&runtime, Kind::Policy)?,
        cost::<Baseline>(&runtime, Kind::Baseline)?,
    ])
}

/// Returns `costs` as a table.
pub fn text(costs: &[Cost]) -> String {
    let mut text = format!("{NAME}: {ABOUT}; no target\n");
    for cost in costs {
        let _infallible = writeln!(
            text,
            "{:9} {} leaf requests, {:.2}% of queries complete: {:.2} us CPU, {:.1} allocations, \
             {:.0} bytes each; {:.2} cores at {TARGET_REQUESTS_PER_SEC} a second",
            cost.policies,
            cost.requests,
            cost.complete * 100.0,
            cost.cpu_us,
            cost.allocations,
            cost.bytes,
            cost.cores,
        );
    }
    text
}

fn cost<S: Suite>(runtime: &Runtime, kind: Kind) -> std::result::Result<Cost, Failure> {
    let data = Data::new(Preset::norway());
    let roots = runtime.block_on(async { roots::<S>(&data) });
    let config = data.config();
    let search = config.search(data.preset.search_collection);
    let search = search.expect("the configuration has a search of each collection");
    let query = Query {
        search: search.clone(),
        text: SmolStr::new_static("text"),
        rank: Rank::Urgent,
        timeout: Duration::from_secs(2),
        trace: None,
    };
    runtime.block_on(run_queries::<S>(
        &roots,
        &query,
        WARM_UP_AND_MEASURED_QUERIES[0],
    ));
    let (mut requests, mut complete) = (0, 0);
    let cpu = cpu_ns()?;
    let memory = allocation_counter::measure(|| {
        (requests, complete) = runtime.block_on(run_queries::<S>(
            &roots,
            &query,
            WARM_UP_AND_MEASURED_QUERIES[1],
        ));
    });
    let cpu = cpu_ns()? - cpu;
    let per_request = |n: f64| n / requests.max(1) as f64;
    let cpu_us = per_request(cpu as f64 / 1_000.0);
    Ok(Cost {
        policies: kind.name(),
        requests,
        complete: complete as f64 / WARM_UP_AND_MEASURED_QUERIES[1] as f64,
        cpu_us,
        allocations: per_request(memory.count_total as f64),
        bytes: per_request(memory.bytes_total as f64),
        cores: cpu_us * TARGET_REQUESTS_PER_SEC / 1_000_000.0,
    })
}

/// Returns the CPU time of this thread in nanoseconds.
fn cpu_ns() -> std::result::Result<u64, Failure> {
    let text = fs::read_to_string(SCHEDSTAT_PATH).context(CpuSnafu)?;
    let first = text.split_ascii_whitespace().next();
    Ok(first.and_then(|n| n.parse().ok()).unwrap_or_default())
}

type Root<S> = Gatherer<Endpoint, <S as Suite>::Gather>;

fn roots<S: Suite>(data: &Data) -> Vec<Root<S>> {
    let incarnation = Incarnation(1);
    let (peers, inboxes) = peers::connect(&data.hosts, None, incarnation, 1);
    let config = Arc::new(data.config());
    let leafs = Arc::new(data.leafs.clone());
    let entry = |c: &Catalog| (c.collection.clone(), Arc::new(c.clone()));
    let catalogs: Map<_, _> = data.catalogs.iter().map(entry).collect();
    let catalogs = Arc::new(catalogs);
    let hosts = data.hosts.iter().zip(peers).zip(inboxes);
    let root = |((host, peers), inbox): ((&rattanmast_model::host::Host, _), peers::Inbox)| {
        let name = host.name.clone();
        let dispatcher =
            Dispatcher::with_policy(name.clone(), incarnation, Immediate, S::dispatch(), 1);
        dispatcher.apply(Arc::clone(&config), Arc::clone(&leafs));
        tokio::spawn(inbox.serve::<S, _>(dispatcher));
        let settings = Settings::default();
        let policy = S::gather(&name, &settings, 1);
        let root = Gatherer::with_policy(name, incarnation, peers, settings, 1, policy);
        root.apply(
            Arc::clone(&config),
            Arc::clone(&catalogs),
            Arc::clone(&leafs),
        );
        root
    };
    hosts.map(root).collect()
}

/// Runs `count` queries; returns the number of leaf requests sent and of complete answers.
async fn run_queries<S: Suite>(roots: &[Root<S>], query: &Query, count: u64) -> (u64, u64) {
    let (mut requests, mut complete) = (0, 0);
    let mut in_flight = JoinSet::new();
    let mut roots = roots
        .iter()
        .cycle()
        .take(usize::try_from(count).unwrap_or(0));
    loop {
        while in_flight.len() < MAX_QUERIES_IN_FLIGHT
            && let Some(root) = roots.next()
        {
            let (root, query) = (root.clone(), query.clone());
            in_flight.spawn(async move { root.query(query).await });
        }
        match in_flight.join_next().await {
            Some(Ok(Ok(answer))) => {
                requests += u64::from(answer.sent);
                complete += u64::from(answer.coverage >= 1.0);
            }
            Some(_) => {}
            None => return (requests, complete),
        }
    }
}

/// A connector to leafs that reply immediately.
#[derive(Clone, Copy, Debug)]
struct Immediate;

impl Connector for Immediate {
    type Connection = Self;

    async fn open(&self, _: &Leaf) -> Result<Self> {
        Ok(Self)
    }
}

impl Connection for Immediate {
    async fn cancel(&mut self, _: request::Id) -> Result<()> {
        Ok(())
    }

    async fn close(self, _: Duration) -> bool {
        true
    }
}

impl Searcher for Immediate {
    async fn search(&mut self, search: &Search) -> Result<SearchReply> {
        // The reply of a real leaf is never ready on the first poll.
        tokio::task::yield_now().await;
        let part = |range| Part {
            range,
            records: 1,
            rows: Vec::new(),
        };
        Ok(SearchReply {
            id: search.id,
            snapshot: search.snapshot,
            parts: search.ranges.iter().copied().map(part).collect(),
            load: Load::default(),
        })
    }

    async fn order(&mut self, _: &Order) -> Result<OrderReply> {
        let why = SmolStr::new_static("no orders");
        Err(Error::Failed { why })
    }
}
