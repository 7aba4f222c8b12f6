//! A small deployment: the store, leafs and entry hosts, and the record of what happened.

use std::{
    fs::{self, File},
    io::Write as _,
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime},
};

use crate::{
    http::{self, Message, Wire},
    store::Store,
};

/// Returns the loopback address of a machine of this run; runs at the same time have others.
pub fn address(machine: usize) -> String {
    let run = std::process::id();
    format!("127.{}.{}.{machine}", run / 250 % 250 + 1, run % 250)
}

/// Listens at a free port, below those that the system gives to outgoing connections.
pub fn bind(ip: &str) -> (TcpListener, u16) {
    static NEXT: AtomicU64 = AtomicU64::new(0);
    for _ in 0..1_000 {
        let port =
            20_000 + u16::try_from(NEXT.fetch_add(1, Ordering::SeqCst) % 10_000).unwrap_or(0);
        if let Ok(listener) = TcpListener::bind((ip, port)) {
            return (listener, port);
        }
    }
    panic!("no free port at {ip}");
}

/// Interval at which a leaf writes its entry, `heartbeat_interval_ms` of the settings.
pub const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// The record of a run: what was sent, answered and run, with the time since the start.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(folder: &str) -> Self {
        let file = File::create(format!("{folder}/record.txt")).expect("record.txt");
        Self {
            start: Instant::now(),
            file: Arc::new(Mutex::new(file)),
        }
    }

    /// Milliseconds since the start.
    pub fn ms(&self) -> u64 {
        u64::try_from(self.start.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    pub fn write(&self, line: &str) {
        let mut file = self.file.lock().expect("the record's lock");
        let _written = writeln!(file, "{:>7} ms {line}", self.ms());
    }
}

/// The machine of the leafs.
const LEAF_MACHINE: usize = 101;

/// Requests that wait at a leaf for a slot; beyond them, the leaf is full.
const QUEUE: u32 = 2;

/// What a leaf does with a request.
pub enum Action {
    /// Answers after a time, with `Request-Id` and `Server-Stamp`.
    Answer {
        after: Duration,
        status: u16,
        body: Vec<u8>,
    },
    /// Answers with success after a time, and a wrong byte in the head: in the name of `Server-Stamp`.
    Spoiled { after: Duration, body: Vec<u8> },
    /// Sends the head and a part of the body of an answer after a time, and ends the process of the
    /// leaf while it sends the rest; it is back after another time.
    CrashMidway {
        after: Duration,
        back_after: Duration,
    },
    /// Ends the process of the leaf after a time; it is back after another.
    Crash {
        after: Duration,
        back_after: Duration,
    },
}

/// Decides what a leaf does with a request.
pub type Behavior = Arc<dyn Fn(&LeafInfo, &Message) -> Action + Send + Sync>;

/// Whether a faulty leaf sends an answer a second time, at the point where the next one is expected.
pub type Again = Arc<dyn Fn(&LeafInfo) -> bool + Send + Sync>;

/// The slots of a leaf and the few requests that wait for one.
#[derive(Default)]
struct Gate {
    /// Running and waiting requests.
    counts: Mutex<(u32, u32)>,
    freed: Condvar,
}

impl Gate {
    /// Takes a slot, at once or after a wait; returns whether the leaf takes the request.
    fn enter(&self, slots: u32) -> bool {
        let mut counts = self.counts.lock().expect("the gate's lock");
        if counts.0 >= slots && counts.1 >= QUEUE {
            return false;
        }
        counts.1 += 1;
        while counts.0 >= slots {
            counts = self.freed.wait(counts).expect("the gate's lock");
        }
        counts.1 -= 1;
        counts.0 += 1;
        true
    }

    fn leave(&self) {
        self.counts.lock().expect("the gate's lock").0 -= 1;
        self.freed.notify_one();
    }
}

/// What a leaf knows of itself.
#[derive(Clone, Debug)]
pub struct LeafInfo {
    pub service: String,
    pub zone: String,
    pub addr: SocketAddr,
    pub id: String,
}

/// A leaf, which may start several times at the same address.
struct Leaf {
    info: LeafInfo,
    slots: u32,
    born: u64,
    sequence: u64,
    up: bool,
    /// Connections of this lifetime.
    connections: Vec<TcpStream>,
    lifetime: u64,
    gate: Arc<Gate>,
    listener: Option<TcpListener>,
}

/// The leafs of the deployment.
#[derive(Clone)]
pub struct Leafs {
    store: Store,
    record: Record,
    leafs: Arc<Mutex<Vec<Leaf>>>,
    behavior: Behavior,
    again: Again,
    next: Arc<AtomicU64>,
}

fn unix_ms() -> u64 {
    let since = SystemTime::now()
        .duration_since(SystemTime::UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(0)
}

impl Leafs {
    pub fn new(store: &Store, record: &Record, behavior: Behavior, again: Again) -> Self {
        let leafs = Self {
            store: store.clone(),
            record: record.clone(),
            leafs: Arc::default(),
            behavior,
            again,
            next: Arc::new(AtomicU64::new(1)),
        };
        let beating = leafs.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(HEARTBEAT);
                let mut all = beating.leafs.lock().expect("the leafs' lock");
                for leaf in all.iter_mut().filter(|leaf| leaf.up) {
                    leaf.sequence += 1;
                    beating.enter(leaf);
                }
            }
        });
        leafs
    }

    fn new_id(&self) -> String {
        format!(
            "i-{:08x}",
            0x7f3a_0000 + self.next.fetch_add(1, Ordering::SeqCst)
        )
    }

    /// Writes the entry of a leaf.
    fn enter(&self, leaf: &Leaf) {
        let LeafInfo {
            service,
            zone,
            addr,
            id,
        } = &leaf.info;
        let (slots, sequence, born) = (leaf.slots, leaf.sequence, leaf.born);
        let spec = format!(
            "{{\"service\":\"{service}\",\"address\":\"{addr}\",\"zone\":\"{zone}\",\"version\":\"v1\",\
             \"max_concurrency\":{slots},\"state\":\"ready\",\"warmup_left_ms\":0,\
             \"sequence\":{sequence},\"born\":{born}}}"
        );
        self.store.put("servers", id, &spec);
    }

    /// Starts a new leaf.
    pub fn add(&self, service: &str, zone: &str, slots: u32) {
        let (listener, _) = bind(&address(LEAF_MACHINE));
        let info = LeafInfo {
            service: service.to_owned(),
            zone: zone.to_owned(),
            addr: listener.local_addr().expect("an address"),
            id: self.new_id(),
        };
        let leaf = Leaf {
            info,
            slots,
            born: unix_ms(),
            sequence: 1,
            up: true,
            connections: Vec::new(),
            lifetime: 1,
            gate: Arc::default(),
            listener: None,
        };
        self.enter(&leaf);
        let mut all = self.leafs.lock().expect("the leafs' lock");
        all.push(leaf);
        let index = all.len() - 1;
        drop(all);
        self.listen(index, 1, listener);
    }

    /// Accepts connections until the lifetime ends.
    fn listen(&self, index: usize, lifetime: u64, listener: TcpListener) {
        let leafs = self.clone();
        listener
            .set_nonblocking(true)
            .expect("a listener that does not block");
        self.leafs.lock().expect("the leafs' lock")[index].listener = Some(listener);
        thread::spawn(move || {
            while leafs.is_alive(index, lifetime) {
                {
                    let mut all = leafs.leafs.lock().expect("the leafs' lock");
                    let leaf = &mut all[index];
                    let listener = leaf.listener.as_ref().filter(|_| leaf.lifetime == lifetime);
                    let accepted = listener.and_then(|listener| listener.accept().ok());
                    if let Some((stream, _)) = accepted {
                        let _blocking = stream.set_nonblocking(false);
                        leaf.connections.extend(stream.try_clone());
                        let leafs = leafs.clone();
                        thread::spawn(move || leafs.serve(index, lifetime, stream));
                        continue;
                    }
                }
                thread::sleep(Duration::from_millis(1));
            }
        });
    }

    fn is_alive(&self, index: usize, lifetime: u64) -> bool {
        let all = self.leafs.lock().expect("the leafs' lock");
        all[index].up && all[index].lifetime == lifetime
    }

    fn serve(&self, index: usize, lifetime: u64, stream: TcpStream) {
        let mut wire = Wire::new(stream);
        // An answer that a faulty leaf sends once more before the next one.
        let mut held = Vec::new();
        while let Ok(Some(request)) = wire.read(false) {
            let (info, slots, gate) = {
                let all = self.leafs.lock().expect("the leafs' lock");
                let leaf = &all[index];
                (leaf.info.clone(), leaf.slots, Arc::clone(&leaf.gate))
            };
            if !held.is_empty() {
                self.record
                    .write(&format!("leaf {} sends its last answer once more", info.id));
                if wire.write(&std::mem::take(&mut held)).is_err() {
                    return;
                }
            }
            let id = request.header("request-id").unwrap_or("").to_owned();
            let own = [("Request-Id", id.as_str())];
            let bytes = if request
                .header("target-instance")
                .is_some_and(|t| t != info.id)
            {
                self.record.write(&format!(
                    "leaf {} refuses {id}: it is not the target",
                    info.id
                ));
                http::response(421, &[own[0], ("Not-Executed", "1")], b"")
            } else if !gate.enter(slots) {
                self.record
                    .write(&format!("leaf {} refuses {id}: it is full", info.id));
                http::response(503, &[own[0], ("Not-Executed", "1")], b"")
            } else if !self.is_alive(index, lifetime) {
                return;
            } else {
                let action = (self.behavior)(&info, &request);
                let bytes = self.run(index, lifetime, &info, &request, action, &mut wire);
                gate.leave();
                match bytes {
                    Some(bytes) => bytes,
                    None => return,
                }
            };
            if wire.write(&bytes).is_err() {
                return;
            }
            if (self.again)(&info) {
                held = bytes;
            }
        }
    }

    /// Runs a request; returns the answer, or `None` if the leaf has ended.
    fn run(
        &self,
        index: usize,
        lifetime: u64,
        info: &LeafInfo,
        request: &Message,
        action: Action,
        wire: &mut Wire,
    ) -> Option<Vec<u8>> {
        let id = request.header("request-id").unwrap_or("");
        let (after, status, name, body) = match action {
            Action::Answer {
                after,
                status,
                body,
            } => (after, status, "Server-Stamp", body),
            Action::Spoiled { after, body } => (after, 200, "Server-Stbmp", body),
            Action::Crash { after, back_after } => {
                thread::sleep(after);
                self.crash(index, lifetime, back_after);
                return None;
            }
            Action::CrashMidway { after, back_after } => {
                thread::sleep(after);
                let digest = format!("{}.1770.{id}", info.id);
                let headers = [("Request-Id", id), ("Server-Stamp", digest.as_str())];
                let answer = http::response(200, &headers, &[b'x'; 6000]);
                let _written = wire.write(&answer[..answer.len() / 2]);
                // The part is on its way before the process ends.
                thread::sleep(Duration::from_millis(10));
                self.crash(index, lifetime, back_after);
                return None;
            }
        };
        thread::sleep(after);
        if !self.is_alive(index, lifetime) {
            return None;
        }
        let digest = format!("{}.{:x}.{id}", info.id, body.len());
        self.record.write(&format!(
            "leaf {} answers {id}: {status} {name} {digest}",
            info.id
        ));
        Some(http::response(
            status,
            &[("Request-Id", id), (name, digest.as_str())],
            &body,
        ))
    }

    /// Ends a lifetime of a leaf; the next one begins after `back_after`, under a new id.
    fn crash(&self, index: usize, lifetime: u64, back_after: Duration) {
        let (old, connections) = {
            let mut all = self.leafs.lock().expect("the leafs' lock");
            let leaf = &mut all[index];
            if leaf.lifetime != lifetime || !leaf.up {
                return;
            }
            leaf.up = false;
            leaf.gate = Arc::default();
            // All sockets of the process close together, the listening one first.
            leaf.listener = None;
            (leaf.info.clone(), std::mem::take(&mut leaf.connections))
        };
        self.record
            .write(&format!("leaf {} of {} crashes", old.id, old.service));
        for connection in connections {
            let _ended = connection.shutdown(Shutdown::Both);
        }
        let (leafs, old_id) = (self.clone(), old.id.clone());
        thread::spawn(move || {
            thread::sleep(back_after);
            let listener = TcpListener::bind(old.addr).expect("the leaf's own port");
            let next = {
                let mut all = leafs.leafs.lock().expect("the leafs' lock");
                let id = leafs.new_id();
                let leaf = &mut all[index];
                leaf.lifetime += 1;
                leaf.info.id = id;
                (leaf.born, leaf.sequence, leaf.up) = (unix_ms(), 1, true);
                leafs.enter(leaf);
                leafs
                    .record
                    .write(&format!("leaf {} is back as {}", old.id, leaf.info.id));
                leaf.lifetime
            };
            leafs.listen(index, next, listener);
        });
        let store = self.store.clone();
        thread::spawn(move || {
            thread::sleep(HEARTBEAT * 3);
            store.remove("servers", &old_id);
        });
    }
}

/// An entry host as a process of its own.
pub struct Host {
    pub frontend: SocketAddr,
    pub ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    root: PathBuf,
    child: Mutex<Option<Child>>,
}

impl Host {
    /// Starts the process with the command of the deploy file.
    pub fn start(&self) {
        let log = File::options()
            .create(true)
            .append(true)
            .open(&self.log)
            .expect("a log file");
        let child = Command::new(self.root.join("target/release/rattanmast-entry"))
            .current_dir(&self.root)
            .env_clear()
            .env("PATH", "/usr/bin:/bin")
            .env("RATTANMAST_SETTINGS", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a log file"))
            .stderr(log)
            .spawn()
            .expect("the entry host; build it first");
        *self.child.lock().expect("the process's lock") = Some(child);
    }

    pub fn is_ready(&self) -> bool {
        let wait = Duration::from_millis(500);
        let answer = http::call(
            self.ready,
            "GET",
            "/v1/ready",
            &[("Host", "probe")],
            b"",
            wait,
        );
        answer.is_ok_and(|answer| answer.status() == 200)
    }

    /// Ends the process.
    pub fn kill(&self) {
        if let Some(mut child) = self.child.lock().expect("the process's lock").take() {
            let _killed = child.kill();
            let _status = child.wait();
        }
    }
}

/// The hosts; dropping them ends all processes.
pub struct Hosts {
    pub hosts: Vec<Host>,
    folder: PathBuf,
}

impl Drop for Hosts {
    fn drop(&mut self) {
        self.hosts.iter().for_each(Host::kill);
        if std::env::var_os("KEEP").is_none() {
            let _removed = fs::remove_dir_all(&self.folder);
        }
    }
}

/// The zones of the small sites, and their areas.
pub const ZONES: [(&str, &str); 3] = [
    ("oslo-a", "ostland"),
    ("bergen-a", "vestland"),
    ("bodo-a", "nordland"),
];

impl Hosts {
    /// Starts `per_zone` hosts in each zone and waits until all are ready.
    pub fn start(store: &Store, record: &Record, per_zone: usize) -> Option<Self> {
        let root = std::env::current_dir().expect("the repository");
        let folder = std::env::temp_dir().join(format!("rattanmast-review-{}", std::process::id()));
        fs::create_dir_all(&folder).expect("a temporary folder");
        let count = per_zone * ZONES.len();
        let ips: Vec<String> = (1..=count).map(address).collect();
        let ports: Vec<[u16; 4]> = ips
            .iter()
            .map(|ip| std::array::from_fn(|_| bind(ip).1))
            .collect();
        let seeds: Vec<String> = (0..ZONES.len())
            .map(|zone| format!("\"{}:{}\"", ips[zone * per_zone], ports[zone * per_zone][2]))
            .collect();
        let mut hosts = Vec::new();
        for (n, ip) in ips.iter().enumerate() {
            let (zone, region) = ZONES[n / per_zone];
            let name = format!("frontend-{zone}-{}", n % per_zone + 1);
            let [frontend, ready, control, internal] = ports[n];
            let text = format!(
                "node_name = \"{name}\"\nrole = \"entry\"\nmachine_class = \"frontend\"\n\
                 serves = [\"frontend\",\"control_plane\"]\nip = \"{ip}\"\nzone = \"{zone}\"\n\
                 region = \"{region}\"\ninternal_ports = [{internal},{internal}]\nseeds = [{}]\n\
                 bootstrap = true\nin_tolerance = false\ndiscovery = \"platform\"\n\
                 entry_point = \"vip\"\nheartbeat_interval_ms = 1200\n\
                 contracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\
                 \"scatter\",\"platform\"]\n[zones]\n{}[listen]\nfrontend = \"{ip}:{frontend}\"\n\
                 ready = \"{ip}:{ready}\"\ncontrol = \"{ip}:{control}\"\n[limits]\n\
                 cpu_share = 0.25\ncpu_cores = 1\nmemory_mb = 260\nmax_fds = 4100\n\
                 link_mbps = 1000.0\ndisk_mb = 0\n[fault_tolerance]\nmachines = 2\nzones = 0\n\
                 regions = 0\n[bounds]\nseed_lag_s = 3\nreuse_delay_s = 2\n\
                 stability_window_ms = 5000\nack_timeout_ms = 6000\ncatch_up_s = 4\n\
                 drain_timeout_ms = 3000\ngrace_s = 6\nloss_slack_ms = 200\n\
                 config_apply_ms = 3000\nrollback_slack_ms = 250\nouter_ms = 15000\n\
                 retry_budget_ratio = 0.2\nretry_window_s = 10\nretry_budget_slack = 58\n\
                 recovery_s = 12\n[platform]\naddress = \"{}\"\nform = \"objects\"\n\
                 writes_per_s = 400\nreads_per_s = 2000\nhistory_s = 20\n\
                 value_bytes = 1048576\nmin_ttl_ms = 1000\n",
                seeds.join(","),
                ZONES
                    .iter()
                    .map(|(z, r)| format!("{z} = \"{r}\"\n"))
                    .collect::<String>(),
                store.addr,
            );
            let settings = folder.join(format!("{name}.toml"));
            fs::write(&settings, text).expect("a settings file");
            hosts.push(Host {
                frontend: format!("{ip}:{frontend}").parse().expect("an address"),
                ready: format!("{ip}:{ready}").parse().expect("an address"),
                log: folder.join(format!("{name}.log")),
                root: root.clone(),
                child: Mutex::new(None),
                settings,
            });
        }
        let hosts = Self { hosts, folder };
        hosts.hosts.iter().for_each(Host::start);
        let end = Instant::now() + Duration::from_secs(20);
        while !hosts.hosts.iter().all(Host::is_ready) {
            if Instant::now() > end {
                record.write("not all hosts became ready");
                return None;
            }
            thread::sleep(Duration::from_millis(100));
        }
        record.write(&format!("{count} hosts are ready"));
        Some(hosts)
    }
}

/// Requests of a caller, each on a connection of its own.
#[derive(Clone)]
pub struct Caller {
    pub record: Record,
    next: Arc<AtomicU64>,
    pub stopped: Arc<AtomicBool>,
}

impl Caller {
    pub fn new(record: &Record) -> Self {
        Self {
            record: record.clone(),
            next: Arc::new(AtomicU64::new(1)),
            stopped: Arc::default(),
        }
    }

    /// Sends a request with an id of its own; returns the id and the answer.
    pub fn send(
        &self,
        host: SocketAddr,
        method: &str,
        target: &str,
        body: &str,
        deadline_ms: u64,
    ) -> (String, Option<Message>) {
        let id = format!(
            "{:016x}",
            0x9c41_0000_0000 + self.next.fetch_add(1, Ordering::SeqCst)
        );
        let deadline = deadline_ms.to_string();
        let headers = [
            ("Host", "pupu76.example"),
            ("Request-Id", &id),
            ("Deadline-Ms", &deadline),
        ];
        self.record
            .write(&format!("caller sends {id} {method} {target} to {host}"));
        let wait = Duration::from_millis(deadline_ms + 500);
        let answer = http::call(host, method, target, &headers, body.as_bytes(), wait);
        let text = match &answer {
            Ok(answer) => {
                let header = |name| answer.header(name).unwrap_or("-").to_owned();
                let (stamp, retry) = (header("server-stamp"), header("retry-after"));
                format!(
                    "{} Server-Stamp {stamp} Retry-After {retry}",
                    answer.status()
                )
            }
            Err(error) => format!("no answer: {error}"),
        };
        self.record.write(&format!("caller gets for {id}: {text}"));
        (id, answer.ok())
    }
}

/// A configuration with one route of type `kind` to one service.
pub fn config(kind: &str, service: &str) -> String {
    format!(
        "{{\"version\":7,\"routes\":[{{\"name\":\"r-1\",\"host\":\"pupu76.example\",\
         \"path_prefix\":\"/timi402/\",\"type\":\"{kind}\",\"timeout_ms\":3000,\
         \"target_latency_ms\":1000,\"priority\":2,\"service\":\"{service}\",\
         \"max_attempts\":2}}],\"services\":[{{\"name\":\"{service}\",\
         \"health_path\":\"/health\",\"max_connections\":110,\"protocol\":\"h1\",\
         \"tls\":false}}],\"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":262144,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}"
    )
}
