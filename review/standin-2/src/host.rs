//! An entry host as a process, started with the command of the deploy file.

use std::{
    fs, io,
    net::{SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command},
    sync::atomic::{AtomicU16, Ordering},
    thread,
    time::{Duration, Instant},
};

use crate::http::{Message, call, request};

/// The command of the deploy file, relative to the root of the repository.
const PROGRAM: &str = "target/release/rattanmast-entry";

static NEXT_PORT: AtomicU16 = AtomicU16::new(0);

/// A running entry host.
pub struct Host {
    pub name: String,
    pub zone: String,
    pub callers: SocketAddr,
    pub readiness: SocketAddr,
    pub control: SocketAddr,
    pub hop: u16,
    root: PathBuf,
    folder: PathBuf,
    child: Option<Child>,
}

impl Drop for Host {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Returns a free address below the ports of outgoing connections.
fn free_addr() -> SocketAddr {
    let start = (std::process::id() % 9_000) as u16;
    loop {
        let number = NEXT_PORT.fetch_add(1, Ordering::Relaxed);
        let port = 20_000 + (start.wrapping_add(number)) % 12_000;
        let addr = SocketAddr::from(([127, 0, 0, 1], port));
        if TcpListener::bind(addr).is_ok() {
            return addr;
        }
    }
}

impl Host {
    /// Chooses the addresses of a host; it is started by [`Host::start`].
    pub fn new(root: &Path, folder: &Path, name: &str, zone: &str) -> Self {
        Self {
            name: name.to_owned(),
            zone: zone.to_owned(),
            callers: free_addr(),
            readiness: free_addr(),
            control: free_addr(),
            hop: free_addr().port(),
            root: root.to_owned(),
            folder: folder.to_owned(),
            child: None,
        }
    }

    /// Writes the settings file, in the format of the platform.
    pub fn write_settings(&self, store: SocketAddr, seeds: &[SocketAddr]) -> io::Result<()> {
        let Self {
            name,
            zone,
            callers,
            readiness,
            control,
            hop,
            ..
        } = self;
        let seeds: Vec<String> = seeds.iter().map(|seed| format!("\"{seed}\"")).collect();
        let text = format!(
            "node_name = \"{name}\"\nrole = \"entry\"\nmachine_class = \"frontend\"\n\
             serves = [\"frontend\",\"control_plane\"]\nip = \"127.0.0.1\"\nzone = \"{zone}\"\n\
             region = \"{zone}\"\ninternal_ports = [{hop},{hop}]\nseeds = [{}]\nbootstrap = true\n\
             in_tolerance = false\ndiscovery = \"platform\"\nentry_point = \"vip\"\n\
             heartbeat_interval_ms = 1200\n\
             contracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"scatter\",\"platform\"]\n\
             [zones]\noslo-a = \"oslo-a\"\nbergen-a = \"bergen-a\"\nbodo-a = \"bodo-a\"\n\
             [listen]\nfrontend = \"{callers}\"\nready = \"{readiness}\"\ncontrol = \"{control}\"\n\
             [limits]\ncpu_share = 0.25\ncpu_cores = 1\nmemory_mb = 260\nmax_fds = 4100\n\
             link_mbps = 1000.0\ndisk_mb = 0\n\
             [fault_tolerance]\nmachines = 2\nzones = 0\nregions = 0\n\
             [bounds]\nseed_lag_s = 3\nreuse_delay_s = 2\nstability_window_ms = 5000\n\
             ack_timeout_ms = 6000\ncatch_up_s = 4\ndrain_timeout_ms = 3000\ngrace_s = 6\n\
             loss_slack_ms = 200\nconfig_apply_ms = 3000\nrollback_slack_ms = 250\nouter_ms = 15000\n\
             retry_budget_ratio = 0.2\nretry_window_s = 10\nretry_budget_slack = 58\nrecovery_s = 12\n\
             [platform]\naddress = \"{store}\"\nform = \"objects\"\nwrites_per_s = 400\n\
             reads_per_s = 2000\nhistory_s = 20\nvalue_bytes = 1048576\nmin_ttl_ms = 1000\n",
            seeds.join(",")
        );
        fs::write(self.settings(), text)
    }

    fn settings(&self) -> PathBuf {
        self.folder.join(format!("{}.toml", self.name))
    }

    /// Starts the process.
    pub fn start(&mut self) -> io::Result<()> {
        let log = self.folder.join(format!("{}.log", self.name));
        let log = fs::OpenOptions::new().create(true).append(true).open(log)?;
        let mut command = Command::new(self.root.join(PROGRAM));
        command.current_dir(&self.root).env_clear();
        for name in ["PATH", "HOME", "LANG"] {
            if let Some(value) = std::env::var_os(name) {
                command.env(name, value);
            }
        }
        command.env("RATTANMAST_SETTINGS", self.settings());
        command.stderr(log.try_clone()?).stdout(log);
        self.child = Some(command.spawn()?);
        Ok(())
    }

    /// Ends the process.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Returns whether the host says that it is ready.
    pub fn is_ready(&self) -> bool {
        let probe = request(
            "GET",
            "/v1/ready",
            &[("host", "ready".to_owned())],
            Vec::new(),
        );
        call(self.readiness, &probe, Duration::from_secs(1)).is_some_and(|a| a.status() == 200)
    }

    /// Returns the log of the process.
    pub fn log(&self) -> String {
        fs::read_to_string(self.folder.join(format!("{}.log", self.name))).unwrap_or_default()
    }

    /// Sends a caller's request on a new connection; `None` without an answer.
    pub fn call(&self, method: &str, path: &str, id: &str, deadline_ms: u64) -> Option<Message> {
        let headers = [
            ("host", "shop.example".to_owned()),
            ("request-id", id.to_owned()),
            ("deadline-ms", deadline_ms.to_string()),
        ];
        let request = request(method, path, &headers, Vec::new());
        call(self.callers, &request, Duration::from_millis(deadline_ms))
    }
}

/// Waits until `test` holds; returns whether it did in time.
pub fn wait_until(timeout: Duration, test: impl Fn() -> bool) -> bool {
    let end = Instant::now() + timeout;
    while !test() {
        if Instant::now() > end {
            return false;
        }
        thread::sleep(Duration::from_millis(20));
    }
    true
}
