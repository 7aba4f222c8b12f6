//! Stand-in of a leaf: runs requests that are meant for it, and can crash and come back.

use std::{
    io,
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::Duration,
};

use crate::{
    clock::now_ms,
    http::{Connection, Message, answer},
};

/// Interval at which the listener looks for connections and for a crash.
const POLL: Duration = Duration::from_millis(1);

/// What a leaf does with a request.
pub enum Act {
    /// Answers it.
    Answer(Message),
    /// Answers it, with the first of these texts replaced by the second one in the head.
    Spoil(Message, &'static str, &'static str),
}

/// How a leaf treats a request that is meant for it; called once for each.
pub type Handler = Arc<dyn Fn(&Leaf, &Message) -> Act + Send + Sync>;

/// A running leaf.
#[derive(Clone)]
pub struct Leaf {
    pub name: String,
    pub service: String,
    pub zone: String,
    pub addr: SocketAddr,
    /// The start of its process, in Unix milliseconds.
    pub born: Arc<AtomicU64>,
    crashed: Arc<AtomicBool>,
    connections: Arc<Mutex<Vec<TcpStream>>>,
    handler: Handler,
}

impl Leaf {
    pub fn start(name: &str, service: &str, zone: &str, handler: Handler) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let leaf = Self {
            name: name.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            addr: listener.local_addr()?,
            born: Arc::new(AtomicU64::new(now_ms())),
            crashed: Arc::default(),
            connections: Arc::default(),
            handler,
        };
        let serving = leaf.clone();
        thread::spawn(move || serving.accept(listener));
        Ok(leaf)
    }

    /// Returns the leaf's entry in the store.
    pub fn entry(&self, state: &str, slots: u32, sequence: u64) -> String {
        let Self {
            service,
            addr,
            zone,
            ..
        } = self;
        let born = self.born.load(Ordering::Relaxed);
        format!(
            "{{\"service\":\"{service}\",\"address\":\"{addr}\",\"zone\":\"{zone}\",\
             \"version\":\"v1\",\"max_concurrency\":{slots},\"state\":\"{state}\",\
             \"warmup_left_ms\":0,\"sequence\":{sequence},\"born\":{born}}}"
        )
    }

    /// Returns the answer to a request that the leaf has run.
    pub fn result(&self, request: &Message, status: u16, body: &[u8]) -> Message {
        let id = request.header("request-id").to_owned();
        let stamp = format!("{}.{id}", self.name);
        answer(
            status,
            &[("request-id", id), ("server-stamp", stamp)],
            body.to_vec(),
        )
    }

    /// Returns the answer to a request that the leaf has not begun to run.
    pub fn refusal(&self, request: &Message, status: u16) -> Message {
        let id = request.header("request-id").to_owned();
        let not_executed = ("not-executed", "1".to_owned());
        let instance = ("instance-id", self.name.clone());
        answer(
            status,
            &[("request-id", id), not_executed, instance],
            Vec::new(),
        )
    }

    /// Ends the process: its port is closed, then its connections; starts it again after `time`.
    pub fn crash(&self, time: Duration) {
        if self.crashed.swap(true, Ordering::SeqCst) {
            return;
        }
        thread::sleep(time);
        self.born.store(now_ms(), Ordering::SeqCst);
        self.crashed.store(false, Ordering::SeqCst);
    }

    fn accept(&self, mut listener: TcpListener) {
        loop {
            if listener.set_nonblocking(true).is_err() {
                return;
            }
            while !self.crashed.load(Ordering::SeqCst) {
                match listener.accept() {
                    Ok((stream, _)) => self.serve(stream),
                    Err(_) => thread::sleep(POLL),
                }
            }
            drop(listener);
            for stream in self.connections.lock().unwrap().drain(..) {
                let _ = stream.shutdown(std::net::Shutdown::Both);
            }
            while self.crashed.load(Ordering::SeqCst) {
                thread::sleep(POLL);
            }
            listener = loop {
                match TcpListener::bind(self.addr) {
                    Ok(listener) => break listener,
                    Err(_) => thread::sleep(POLL),
                }
            };
        }
    }

    fn serve(&self, stream: TcpStream) {
        if stream.set_nonblocking(false).is_err() {
            return;
        }
        if let Ok(clone) = stream.try_clone() {
            self.connections.lock().unwrap().push(clone);
        }
        let leaf = self.clone();
        thread::spawn(move || {
            let mut connection = Connection::new(stream);
            while let Ok(Some(request)) = connection.read() {
                if leaf.crashed.load(Ordering::SeqCst) {
                    return;
                }
                let is_probe = request.target() == "/health";
                let act = match request.header("target-instance") {
                    _ if is_probe => {
                        let instance = ("instance-id", leaf.name.clone());
                        Act::Answer(answer(200, &[instance], Vec::new()))
                    }
                    target if !target.is_empty() && target != leaf.name => {
                        Act::Answer(leaf.refusal(&request, 421))
                    }
                    _ => (leaf.handler)(&leaf, &request),
                };
                match act {
                    Act::Answer(answer) => {
                        if connection.write(&answer).is_err() {
                            return;
                        }
                    }
                    Act::Spoil(answer, from, to) => {
                        if connection.write_spoiled(&answer, from, to).is_err() {
                            return;
                        }
                    }
                }
            }
        });
    }
}
