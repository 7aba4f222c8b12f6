//! Stand-in of the platform's store: objects by kind and name, lists, watches and conditional writes.

use std::{
    collections::BTreeMap,
    io,
    net::{SocketAddr, TcpListener},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{Connection, Message, answer},
    json,
};

/// Number of objects on a page of a list.
const PAGE: usize = 500;

#[derive(Clone)]
struct Object {
    revision: u64,
    spec: String,
}

impl Object {
    fn text(&self, name: &str) -> String {
        format!(
            "{{\"meta\":{{\"name\":\"{name}\",\"revision\":{},\"created\":1,\"finalizers\":[],\
             \"deleting\":false}},\"spec\":{},\"status\":null}}",
            self.revision, self.spec
        )
    }
}

#[derive(Default)]
struct State {
    revision: u64,
    objects: BTreeMap<(String, String), Object>,
    /// Revision, kind, whether it is a deletion, and the text of the object.
    history: Vec<(u64, String, bool, String)>,
    /// Whether all calls are answered with 503.
    is_down: bool,
}

/// A running store.
#[derive(Clone, Default)]
pub struct Store {
    shared: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    /// Starts an address of the store.
    pub fn listen(&self) -> io::Result<SocketAddr> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let addr = listener.local_addr()?;
        let store = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = store.clone();
                thread::spawn(move || store.serve(Connection::new(stream)));
            }
        });
        Ok(addr)
    }

    fn serve(&self, mut connection: Connection) {
        while let Ok(Some(request)) = connection.read() {
            let is_down = self.shared.0.lock().unwrap().is_down;
            let answer = match is_down {
                true => answer(503, &[], Vec::new()),
                false => self.answer(&request),
            };
            if connection.write(&answer).is_err() {
                return;
            }
        }
    }

    /// Sets whether the store refuses all calls.
    pub fn set_down(&self, is_down: bool) {
        self.shared.0.lock().unwrap().is_down = is_down;
        self.shared.1.notify_all();
    }

    /// Writes an object on behalf of the operator or of a leaf.
    pub fn put(&self, kind: &str, name: &str, spec: &str) {
        let mut state = self.shared.0.lock().unwrap();
        state.put(kind, name, spec);
        drop(state);
        self.shared.1.notify_all();
    }

    fn answer(&self, request: &Message) -> Message {
        let (path, query) = request
            .target()
            .split_once('?')
            .unwrap_or((request.target(), ""));
        let parts: Vec<String> = path.split('/').skip(3).map(decoded).collect();
        let (kind, name) = match &parts[..] {
            [kind] => (kind.clone(), None),
            [kind, name, ..] => (kind.clone(), Some(name.clone())),
            [] => return answer(404, &[], Vec::new()),
        };
        let query = |name: &str| {
            let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs
                .filter(|(known, _)| *known == name)
                .map(|(_, value)| decoded(value))
                .next()
        };
        match (request.method(), name) {
            ("GET", None) => match query("watch") {
                Some(since) => {
                    let wait = query("wait_ms").and_then(|ms| ms.parse().ok()).unwrap_or(0);
                    let since = since.parse().unwrap_or(0);
                    self.watch(&kind, since, Duration::from_millis(wait))
                }
                None => self.page(&kind, &query("after").unwrap_or_default()),
            },
            ("GET", Some(name)) => self.with_object(&kind, &name, |_, found| found),
            (method, name) => {
                let body = String::from_utf8_lossy(&request.body).into_owned();
                let meta = json::member(&body, "meta").unwrap_or("{}");
                let revision = json::member(meta, "revision").map(str::to_owned);
                let revision = revision.or_else(|| query("revision"));
                let revision = revision.and_then(|text| text.parse::<u64>().ok());
                let named = json::member(meta, "name").map(json::unquoted);
                let name = name
                    .or_else(|| named.map(str::to_owned))
                    .unwrap_or_default();
                let spec = json::member(&body, "spec").unwrap_or("null").to_owned();
                let answer = self.with_object(&kind, &name, |state, found| {
                    let known = state.objects.get(&(kind.clone(), name.clone()));
                    let known = known.map(|object| object.revision);
                    match (method, known) {
                        ("POST", Some(_)) => {
                            return Message {
                                first_line: line(409),
                                ..found
                            };
                        }
                        ("PUT" | "DELETE", None) => return answer(404, &[], Vec::new()),
                        (_, known) if revision.is_some() && known != revision => {
                            return Message {
                                first_line: line(409),
                                ..found
                            };
                        }
                        ("DELETE", _) => {
                            state.delete(&kind, &name);
                            return found;
                        }
                        _ => state.put(&kind, &name, &spec),
                    }
                    state.found(&kind, &name)
                });
                self.shared.1.notify_all();
                answer
            }
        }
    }

    fn with_object(
        &self,
        kind: &str,
        name: &str,
        act: impl FnOnce(&mut State, Message) -> Message,
    ) -> Message {
        let mut state = self.shared.0.lock().unwrap();
        let found = state.found(kind, name);
        act(&mut state, found)
    }

    fn page(&self, kind: &str, after: &str) -> Message {
        let state = self.shared.0.lock().unwrap();
        let objects = state.objects.iter();
        let all = objects.filter(|((known, name), _)| known == kind && name.as_str() > after);
        let mut items: Vec<String> = all.map(|((_, name), object)| object.text(name)).collect();
        let has_more = items.len() > PAGE;
        items.truncate(PAGE);
        let (items, revision) = (items.join(","), state.revision);
        json_answer(format!(
            "{{\"items\":[{items}],\"has_more\":{has_more},\"current_rev\":{revision}}}"
        ))
    }

    fn watch(&self, kind: &str, since: u64, wait: Duration) -> Message {
        let end = Instant::now() + wait;
        let mut state = self.shared.0.lock().unwrap();
        loop {
            if state.is_down {
                return answer(503, &[], Vec::new());
            }
            let changes = state.history.iter();
            let changes = changes.filter(|(at, known, ..)| *at > since && known == kind);
            let events: Vec<String> = changes
                .map(|(_, _, deleted, text)| format!("{{\"deleted\":{deleted},\"object\":{text}}}"))
                .collect();
            let now = Instant::now();
            if !events.is_empty() || now >= end {
                let (events, revision) = (events.join(","), state.revision);
                return json_answer(format!(
                    "{{\"events\":[{events}],\"current_rev\":{revision}}}"
                ));
            }
            state = self.shared.1.wait_timeout(state, end - now).unwrap().0;
        }
    }
}

impl State {
    fn put(&mut self, kind: &str, name: &str, spec: &str) {
        let key = (kind.to_owned(), name.to_owned());
        if self
            .objects
            .get(&key)
            .is_some_and(|known| known.spec == spec)
        {
            return;
        }
        self.revision += 1;
        let object = Object {
            revision: self.revision,
            spec: spec.to_owned(),
        };
        self.history
            .push((self.revision, kind.to_owned(), false, object.text(name)));
        self.objects.insert(key, object);
    }

    fn delete(&mut self, kind: &str, name: &str) {
        let Some(object) = self.objects.remove(&(kind.to_owned(), name.to_owned())) else {
            return;
        };
        self.revision += 1;
        self.history
            .push((self.revision, kind.to_owned(), true, object.text(name)));
    }

    fn found(&self, kind: &str, name: &str) -> Message {
        match self.objects.get(&(kind.to_owned(), name.to_owned())) {
            Some(object) => json_answer(object.text(name)),
            None => answer(404, &[], Vec::new()),
        }
    }
}

fn json_answer(text: String) -> Message {
    answer(
        200,
        &[("content-type", "application/json".to_owned())],
        text.into_bytes(),
    )
}

fn line(status: u16) -> String {
    format!("HTTP/1.1 {status} -")
}

/// Decodes the characters that are encoded in a path or query.
fn decoded(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.as_bytes();
    while let [first, tail @ ..] = rest {
        let code = match (first, tail) {
            (b'%', [a, b, ..]) => {
                let code = std::str::from_utf8(&[*a, *b]).map(|hex| u8::from_str_radix(hex, 16));
                code.ok().and_then(Result::ok)
            }
            _ => None,
        };
        match code {
            Some(code) => {
                bytes.push(code);
                rest = &tail[2..];
            }
            None => {
                bytes.push(*first);
                rest = tail;
            }
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}
