//! A small installation of real processes: platform, leafs, fault proxy and hosts.

use std::{
    collections::BTreeMap,
    fs::{self, File},
    io::{BufRead as _, BufReader},
    net::{SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, ExitStatus, Stdio},
    sync::{
        Mutex,
        atomic::{AtomicU16, AtomicU64, Ordering},
    },
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Method, Request, StatusCode, body::Incoming, header};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use rattanmast_fakes::data::{self, Data, loopback};
use rattanmast_model::{outcome::Outcome, preset::Preset, rank::Rank};
use rattanmast_wire::{api, http};
use serde::de::DeserializeOwned;
use serde_json::{Value, json};
use tokio::{sync::SemaphorePermit, time::sleep};

/// Timeout of a test step, generous enough for a busy machine; it states no expected duration.
pub const STEP_TIMEOUT: Duration = Duration::from_secs(60);

/// Timeout of a single request, as a caller would set it.
const REQUEST_TIMEOUT_MS: u32 = 2_000;

/// Maximum number of leafs in one process: half of the 107 in the installation.
const MAX_LEAFS_PER_PROCESS: u16 = 54;

/// Limits the number of concurrent installations, so that a busy machine does not stall them.
static INSTALLATION_PERMITS: tokio::sync::Semaphore = tokio::sync::Semaphore::const_new(2);

/// Offset of the next port to try; ports stay below the ephemeral range of the system.
static NEXT_PORT_OFFSET: AtomicU16 = AtomicU16::new(0);

/// A process that is killed when it is dropped.
pub struct Process {
    child: Mutex<Child>,
    /// The JSON line with its addresses that the process prints at start.
    startup_report: Value,
}

impl Process {
    fn start(env: &Path, name: &str, args: &[String], reports_addresses: bool) -> Self {
        let host = Path::new(env!("CARGO_BIN_EXE_rattanmast-host"));
        let program = name.split('.').next().unwrap();
        let path = host.with_file_name(program);
        assert!(path.exists(), "{path:?} is missing; run cargo build first");
        let log = File::create(env.join(name)).unwrap();
        let mut child = Command::new(path)
            .args(args)
            .stdin(Stdio::null())
            .stdout(if reports_addresses {
                Stdio::piped()
            } else {
                Stdio::null()
            })
            .stderr(log)
            .spawn()
            .unwrap();
        let stdout = child.stdout.take();
        let mut process = Self {
            child: Mutex::new(child),
            startup_report: Value::Null,
        };
        if let Some(stdout) = stdout {
            let mut line = String::new();
            BufReader::new(stdout).read_line(&mut line).unwrap();
            process.startup_report = serde_json::from_str(&line).unwrap();
        }
        process
    }

    /// Sends the signal `name`, for example `STOP`.
    pub fn signal(&self, name: &str) {
        let pid = self.child.lock().unwrap().id().to_string();
        let sent = Command::new("kill").args(["-s", name, &pid]).status();
        assert!(sent.unwrap().success(), "kill -s {name} {pid}");
    }

    /// Kills the process with SIGKILL.
    pub fn kill(&self) {
        let mut child = self.child.lock().unwrap();
        child.kill().unwrap();
        child.wait().unwrap();
    }

    /// Waits until the process exits.
    pub async fn wait(&self) -> ExitStatus {
        let ended = async {
            loop {
                let ended = self.child.lock().unwrap().try_wait();
                match ended.unwrap() {
                    Some(status) => return status,
                    None => sleep(Duration::from_millis(20)).await,
                }
            }
        };
        tokio::time::timeout(STEP_TIMEOUT, ended).await.unwrap()
    }

    fn addr(&self, pointer: &str) -> SocketAddr {
        let addr = self.startup_report.pointer(pointer).and_then(Value::as_str);
        addr.unwrap().parse().unwrap()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // An error means that the process has already exited.
        let child = self.child.get_mut().unwrap();
        let _ = child.kill();
        let _ = child.wait();
    }
}

/// A small installation.
pub struct Env {
    pub data: Data,
    pub hosts: Vec<Process>,
    pub platform: Process,
    /// The first and the second replica of each service.
    pub leafs: Vec<Process>,
    pub proxy: Option<Process>,
    pub http: Client<HttpConnector, Full<Bytes>>,
    logs: PathBuf,
    _permit: SemaphorePermit<'static>,
}

/// An answer to a search.
pub type SearchResult = Result<api::SearchReply, Outcome>;

impl Env {
    /// Starts an installation with three hosts and waits until all of them serve.
    ///
    /// With `proxied`, the hosts reach each leaf through its own route of a fault proxy.
    pub async fn start(name: &str, proxied: bool) -> Self {
        let permit = INSTALLATION_PERMITS.acquire().await.unwrap();
        let logs = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
        fs::create_dir_all(&logs).unwrap();
        let mut preset = Preset::norway();
        preset.hosts = 3;
        let mut data = Data::new(preset);
        let leafs = start_leafs(&logs, &mut data);
        let proxy = proxied.then(|| start_proxy(&logs, &mut data));
        for host in &mut data.hosts {
            let first = free_ports(3);
            (host.http, host.hop) = (loopback(first), loopback(first + 1));
            host.exchange = loopback(first + 2);
        }
        let args = [format!("--port={}", free_ports(1))];
        let platform = Process::start(&logs, "rattanmast-platform", &args, true);
        let store = platform.addr("/http");
        let http = Client::builder(TokioExecutor::new()).build(HttpConnector::new());
        let mut env = Self {
            data,
            hosts: Vec::new(),
            platform,
            leafs,
            proxy,
            http,
            logs,
            _permit: permit,
        };
        for (name, value) in env.data.objects() {
            let path = format!("/objects/{name}");
            let put = env.call(Method::PUT, store, &path, value).await;
            assert_eq!(put.unwrap().0, StatusCode::OK);
        }
        for host in 0..env.data.hosts.len() {
            let process = env.start_host(host);
            env.hosts.push(process);
        }
        for host in 0..env.hosts.len() {
            env.wait_until("a host that is ready", async |e| e.ready(host).await)
                .await;
        }
        env
    }

    /// Stops `host` gracefully and starts it again.
    pub async fn restart(&self, host: usize) {
        self.hosts[host].signal("TERM");
        assert_eq!(self.hosts[host].wait().await.code(), Some(0));
        let mut old = self.hosts[host].child.lock().unwrap();
        let mut new = self.start_host(host);
        // The old process has exited, so dropping its handle has no further effect.
        std::mem::swap(&mut *old, new.child.get_mut().unwrap());
    }

    fn start_host(&self, index: usize) -> Process {
        let hosts = &self.data.hosts;
        let host = &hosts[index];
        let seeds: Vec<String> = hosts.iter().map(|h| h.exchange.to_string()).collect();
        let args = [
            format!("--name={}", host.name),
            format!("--domain={}", host.domain),
            format!("--http={}", host.http),
            format!("--hop={}", host.hop),
            format!("--exchange={}", host.exchange),
            format!("--platform={}", self.platform.addr("/http")),
            format!("--seeds={}", seeds.join(",")),
            "--lame-duck-ms=2000".to_owned(),
            "--seed=1".to_owned(),
        ];
        let name = format!("rattanmast-host.{}", host.name);
        Process::start(&self.logs, &name, &args, false)
    }

    /// Polls `done` until it returns true.
    pub async fn wait_until(&self, what: &str, done: impl AsyncFnMut(&Self) -> bool) {
        self.wait_until_or(what, done, String::new).await;
    }

    /// Polls `done` until it returns true; on timeout, panics with the state that `last` returns.
    pub async fn wait_until_or(
        &self,
        what: &str,
        mut done: impl AsyncFnMut(&Self) -> bool,
        last: impl Fn() -> String,
    ) {
        let reached = async {
            while !done(self).await {
                sleep(Duration::from_millis(20)).await;
            }
        };
        let reached = tokio::time::timeout(STEP_TIMEOUT, reached).await;
        assert!(
            reached.is_ok(),
            "timed out waiting for {what}; last: {}",
            last()
        );
    }

    /// Returns whether the load balancer would send requests to `host`.
    pub async fn ready(&self, host: usize) -> bool {
        let addr = self.data.hosts[host].http;
        let answer = self.call(Method::GET, addr, "/readyz", Vec::new()).await;
        answer.is_ok_and(|(status, ..)| status == StatusCode::OK)
    }

    /// Runs a search for `text` over the preset's first collection.
    ///
    /// # Errors
    ///
    /// The outer error is a broken connection, the inner one a refusal.
    pub async fn search(&self, host: usize, text: &str) -> Result<SearchResult, String> {
        let path = format!("/v1/searches/{}", self.data.preset.search_collection);
        let body = json!({"text": text, "rank": Rank::Urgent, "timeout_ms": REQUEST_TIMEOUT_MS});
        let (status, _, body) = self.post_as_caller(host, &path, None, &body).await?;
        Ok(match status {
            StatusCode::OK => Ok(parse(&body)),
            _ => Err(parse(&body)),
        })
    }

    /// Sends an order with `key`.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection broke.
    pub async fn order(&self, host: usize, key: &str) -> Result<Outcome, String> {
        let path = format!("/v1/orders/{}", self.data.preset.order_collection);
        let body = json!({"action": "sharpen", "record": "r-0001", "rank": Rank::Urgent,
            "timeout_ms": REQUEST_TIMEOUT_MS});
        let (_, outcome, body) = self.post_as_caller(host, &path, Some(key), &body).await?;
        let parsed: Outcome = parse(&body);
        assert_eq!(outcome.as_deref(), Some(parsed.name()));
        Ok(parsed)
    }

    /// Requests a ticket from `host`.
    pub async fn ticket(&self, host: usize) -> String {
        let answer = self
            .post_as_caller(host, "/v1/tickets", None, &Value::Null)
            .await;
        parse::<api::Ticket>(&answer.unwrap().2).ticket.to_string()
    }

    /// Returns how often the order with `key` ran, summed over all leafs that are up.
    pub async fn runs(&self, key: &str) -> u64 {
        let mut sum = 0;
        for leafs in &self.leafs {
            let addr = leafs.addr("/admin");
            let Ok((_, _, body)) = self.call(Method::GET, addr, "/runs", Vec::new()).await else {
                continue;
            };
            let runs: BTreeMap<String, u64> = parse(&body);
            sum += runs.get(key).copied().unwrap_or_default();
        }
        sum
    }

    /// Returns how many connections the leafs refused because hosts held too many open.
    pub async fn refused_connections(&self) -> u64 {
        let mut sum = 0;
        for leafs in &self.leafs {
            let addr = leafs.addr("/admin");
            let call = self.call(Method::GET, addr, "/leafs/*", Vec::new());
            let leafs: BTreeMap<String, Value> = parse(&call.await.unwrap().2);
            let refused = leafs
                .values()
                .map(|l| l["counters"]["refused"].as_u64().unwrap());
            sum += refused.sum::<u64>();
        }
        sum
    }

    /// Sets the holdings of the leafs of `collection` as in `data`, then publishes its catalog.
    ///
    /// Until hosts have read the new catalog, they query leafs for data that has moved.
    pub async fn place_data(&self, data: &Data, collection: &str) {
        let mut holdings = data.holdings();
        for (leaf, process) in data.leafs.leafs.iter().zip([0, 1].into_iter().cycle()) {
            if leaf.service.collection == collection {
                let held = json!(holdings.remove(&leaf.name).unwrap_or_default());
                let path = format!("/leafs/{}/holdings", leaf.name);
                self.admin(&self.leafs[process], &path, held).await;
            }
        }
        let (name, value) = data.encode_catalog(collection);
        let path = format!("/objects/{name}");
        let put = self.call(Method::PUT, self.platform.addr("/http"), &path, value);
        assert_eq!(put.await.unwrap().0, StatusCode::OK);
    }

    /// Posts to an admin path of a fake server.
    pub async fn admin(&self, process: &Process, path: &str, body: Value) {
        let pointer = if process.startup_report.get("admin").is_some() {
            "/admin"
        } else {
            "/http"
        };
        let body = body.to_string().into_bytes();
        let call = self.call(Method::POST, process.addr(pointer), path, body);
        assert_eq!(call.await.unwrap().0, StatusCode::OK, "{path}");
    }

    async fn post_as_caller(
        &self,
        host: usize,
        path: &str,
        key: Option<&str>,
        body: &Value,
    ) -> Result<(StatusCode, Option<String>, Bytes), String> {
        let mut request = self
            .request(Method::POST, self.data.hosts[host].http, path)
            .header(
                header::AUTHORIZATION,
                format!("Bearer {}", data::caller_key("bench")),
            );
        if let Some(key) = key {
            request = request.header(api::IDEMPOTENCY_KEY_HEADER, key);
        }
        let body = Full::new(Bytes::from(body.to_string()));
        self.send(request.body(body).unwrap()).await
    }

    async fn call(
        &self,
        method: Method,
        addr: SocketAddr,
        path: &str,
        body: Vec<u8>,
    ) -> Result<(StatusCode, Option<String>, Bytes), String> {
        let request = self.request(method, addr, path);
        self.send(request.body(Full::new(body.into())).unwrap())
            .await
    }

    fn request(
        &self,
        method: Method,
        addr: SocketAddr,
        path: &str,
    ) -> hyper::http::request::Builder {
        let uri = format!("http://{addr}{path}");
        Request::builder().method(method).uri(uri)
    }

    /// Sends `request`; a connection without a response within the timeout counts as broken.
    async fn send(
        &self,
        request: Request<Full<Bytes>>,
    ) -> Result<(StatusCode, Option<String>, Bytes), String> {
        let answered = async {
            let response = self.http.request(request).await;
            let response: hyper::Response<Incoming> = response.map_err(|e| format!("{e:?}"))?;
            let status = response.status();
            let outcome = response.headers().get(api::OUTCOME_HEADER).cloned();
            let outcome = outcome.map(|o| o.to_str().unwrap().to_owned());
            let body = http::read_body(response.into_body(), 8 << 20).await;
            body.map(|body| (status, outcome, body))
                .map_err(|e| e.to_string())
        };
        let answer = tokio::time::timeout(STEP_TIMEOUT, answered).await;
        answer.unwrap_or_else(|elapsed| Err(elapsed.to_string()))
    }
}

fn parse<T: DeserializeOwned>(body: &Bytes) -> T {
    let parsed = http::parse(body);
    parsed.unwrap_or_else(|e| panic!("{e}: {}", String::from_utf8_lossy(body)))
}

/// Returns a new idempotency key: a UUIDv7.
pub fn key() -> String {
    static NEXT: AtomicU64 = AtomicU64::new(0);
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    let (ms, number) = (now.as_millis(), NEXT.fetch_add(1, Ordering::Relaxed));
    let pid = std::process::id();
    format!(
        "{:08x}-{:04x}-7000-8000-{:04x}{number:08x}",
        ms >> 16,
        ms & 0xffff,
        pid & 0xffff
    )
}

/// Returns the first of `count` consecutive ports without a listener.
///
/// Ports chosen by the system could be reused by another installation as soon as a process is
/// killed, and hosts would then connect to the wrong platform or leafs.
fn free_ports(count: u16) -> u16 {
    let base = u16::try_from(std::process::id() % 200 * 80).unwrap();
    let is_free = |port: &u16| TcpListener::bind(loopback(*port)).is_ok();
    let mut candidates = (0..200).map(|_| {
        let offset = base.wrapping_add(NEXT_PORT_OFFSET.fetch_add(count, Ordering::Relaxed));
        // Above the fixed ports of `scripts/fleet` and below the ephemeral range.
        28_000 + offset % 4_700
    });
    let free = candidates.find(|start| (*start..*start + count).all(|port| is_free(&port)));
    free.expect("no free ports below the ephemeral range")
}

/// Starts the leafs in two processes, one for each replica of the sharded services.
fn start_leafs(logs: &Path, data: &mut Data) -> Vec<Process> {
    let processes: Vec<Process> = (0..2)
        .map(|first| {
            let first = format!("--first={first}");
            let port = format!("--port={}", free_ports(MAX_LEAFS_PER_PROCESS));
            let args = [&port, "--admin-port=0", "--step=2", &first].map(str::to_owned);
            Process::start(logs, &format!("rattanmast-leaf.{first}"), &args, true)
        })
        .collect();
    for (leaf, process) in data.leafs.leafs.iter_mut().zip([0, 1].into_iter().cycle()) {
        leaf.addr = processes[process].addr(&format!("/leafs/{}", leaf.name));
    }
    processes
}

/// Starts a proxy with a route to each leaf, in the order of the leafs.
fn start_proxy(logs: &Path, data: &mut Data) -> Process {
    let leafs = &mut data.leafs.leafs;
    let routes: Vec<String> = leafs
        .iter()
        .map(|l| format!("127.0.0.1:0={}", l.addr))
        .collect();
    let args = [
        "--port=0".to_owned(),
        format!("--routes={}", routes.join(",")),
    ];
    let proxy = Process::start(logs, "rattanmast-faults", &args, true);
    for (index, leaf) in leafs.iter_mut().enumerate() {
        leaf.addr = proxy.addr(&format!("/routes/{index}/listen"));
    }
    proxy
}
