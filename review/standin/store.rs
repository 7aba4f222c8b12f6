//! A sound stand-in of the platform's store: objects by kind and name, lists and watches.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    env,
    http::{self, Message, Wire},
};

/// The machine of the store.
const STORE_MACHINE: usize = 100;

#[derive(Clone)]
struct Object {
    revision: u64,
    created: u64,
    spec: String,
}

struct Event {
    revision: u64,
    kind: String,
    text: String,
}

struct Inner {
    revision: u64,
    objects: BTreeMap<(String, String), Object>,
    history: Vec<Event>,
}

/// The store; clones share the same objects.
#[derive(Clone)]
pub struct Store {
    pub addr: SocketAddr,
    inner: Arc<(Mutex<Inner>, Condvar)>,
}

fn object_text(name: &str, object: &Object) -> String {
    let Object {
        revision,
        created,
        spec,
    } = object;
    format!(
        "{{\"meta\":{{\"name\":\"{name}\",\"revision\":{revision},\"created\":{created},\
         \"finalizers\":[],\"deleting\":false}},\"spec\":{spec},\"status\":null}}"
    )
}

impl Store {
    pub fn start() -> Self {
        let (listener, _) = env::bind(&env::address(STORE_MACHINE));
        let inner = Inner {
            revision: 100,
            objects: BTreeMap::new(),
            history: Vec::new(),
        };
        let store = Self {
            addr: listener.local_addr().expect("an address"),
            inner: Arc::new((Mutex::new(inner), Condvar::new())),
        };
        let served = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                thread::spawn(move || {
                    let mut wire = Wire::new(stream);
                    while let Ok(Some(request)) = wire.read(false) {
                        let (status, body) = store.answer(&request);
                        let headers = [("Content-Type", "application/json")];
                        if wire
                            .write(&http::response(status, &headers, body.as_bytes()))
                            .is_err()
                        {
                            return;
                        }
                    }
                });
            }
        });
        store
    }

    /// Creates or replaces an object, as the operator and the leafs do.
    pub fn put(&self, kind: &str, name: &str, spec: &str) {
        let mut inner = self.inner.0.lock().expect("the store's lock");
        inner.write(kind, name, spec);
        self.inner.1.notify_all();
    }

    /// Removes an object.
    pub fn remove(&self, kind: &str, name: &str) {
        let mut inner = self.inner.0.lock().expect("the store's lock");
        inner.delete(kind, name);
        self.inner.1.notify_all();
    }

    fn answer(&self, request: &Message) -> (u16, String) {
        let (path, query) = request
            .target()
            .split_once('?')
            .unwrap_or((request.target(), ""));
        let query: BTreeMap<&str, &str> = query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .collect();
        let mut words = path.trim_start_matches("/v1/objects/").splitn(2, '/');
        let kind = words.next().unwrap_or("").to_owned();
        let name = words.next().map(str::to_owned);
        let body = String::from_utf8_lossy(&request.body).into_owned();
        let key = |name: &str| (kind.clone(), name.to_owned());
        let mut inner = self.inner.0.lock().expect("the store's lock");
        match (request.start[0].as_str(), name) {
            ("GET", None) => match query.get("watch").and_then(|since| since.parse().ok()) {
                Some(since) => {
                    let wait = query
                        .get("wait_ms")
                        .and_then(|ms| ms.parse().ok())
                        .unwrap_or(0);
                    let end = Instant::now() + Duration::from_millis(wait);
                    loop {
                        let events: Vec<&str> = (inner.history.iter())
                            .filter(|e| e.revision > since && e.kind == kind)
                            .map(|e| e.text.as_str())
                            .collect();
                        let left = end.saturating_duration_since(Instant::now());
                        if !events.is_empty() || left.is_zero() {
                            let (events, revision) = (events.join(","), inner.revision);
                            let text =
                                format!("{{\"events\":[{events}],\"current_rev\":{revision}}}");
                            return (200, text);
                        }
                        let waited = self.inner.1.wait_timeout(inner, left);
                        inner = waited.expect("the store's lock").0;
                    }
                }
                None => {
                    let after = query.get("after").copied().unwrap_or("");
                    let items: Vec<String> = (inner.objects.iter())
                        .filter(|((k, n), _)| *k == kind && n.as_str() > after)
                        .map(|((_, name), object)| object_text(name, object))
                        .collect();
                    let (items, revision) = (items.join(","), inner.revision);
                    let text = format!(
                        "{{\"items\":[{items}],\"has_more\":false,\"current_rev\":{revision}}}"
                    );
                    (200, text)
                }
            },
            ("GET", Some(name)) => match inner.objects.get(&key(&name)) {
                Some(object) => (200, object_text(&name, object)),
                None => (404, "{}".to_owned()),
            },
            ("POST", None) => {
                let name = member(&body, "meta").and_then(|meta| member(&meta, "name"));
                let name = name.unwrap_or_default().trim_matches('"').to_owned();
                if let Some(object) = inner.objects.get(&key(&name)) {
                    return (409, object_text(&name, object));
                }
                let spec = member(&body, "spec").unwrap_or_else(|| "null".to_owned());
                inner.write(&kind, &name, &spec);
                self.inner.1.notify_all();
                (200, object_text(&name, &inner.objects[&key(&name)]))
            }
            ("PUT", Some(name)) => {
                let Some(object) = inner.objects.get(&key(&name)) else {
                    return (404, "{}".to_owned());
                };
                let asked = member(&body, "meta").and_then(|meta| member(&meta, "revision"));
                if asked.is_some_and(|asked| asked != object.revision.to_string()) {
                    return (409, object_text(&name, object));
                }
                let spec = member(&body, "spec").unwrap_or_else(|| "null".to_owned());
                inner.write(&kind, &name, &spec);
                self.inner.1.notify_all();
                (200, object_text(&name, &inner.objects[&key(&name)]))
            }
            ("DELETE", Some(name)) => {
                let Some(object) = inner.objects.get(&key(&name)) else {
                    return (404, "{}".to_owned());
                };
                let asked = query.get("revision");
                if asked.is_some_and(|asked| *asked != object.revision.to_string()) {
                    return (409, object_text(&name, object));
                }
                inner.delete(&kind, &name);
                self.inner.1.notify_all();
                (200, "{}".to_owned())
            }
            _ => (400, "{}".to_owned()),
        }
    }
}

impl Inner {
    fn write(&mut self, kind: &str, name: &str, spec: &str) {
        let key = (kind.to_owned(), name.to_owned());
        let known = self.objects.get(&key);
        if known.is_some_and(|known| known.spec == spec) {
            return;
        }
        let created = known.map_or(self.revision + 1, |known| known.created);
        self.revision += 1;
        let object = Object {
            revision: self.revision,
            created,
            spec: spec.to_owned(),
        };
        self.record(kind, name, &object, false);
        self.objects.insert(key, object);
    }

    fn delete(&mut self, kind: &str, name: &str) {
        let Some(mut object) = self.objects.remove(&(kind.to_owned(), name.to_owned())) else {
            return;
        };
        self.revision += 1;
        object.revision = self.revision;
        self.record(kind, name, &object, true);
    }

    fn record(&mut self, kind: &str, name: &str, object: &Object, deleted: bool) {
        let text = format!(
            "{{\"deleted\":{deleted},\"object\":{}}}",
            object_text(name, object)
        );
        let event = Event {
            revision: self.revision,
            kind: kind.to_owned(),
            text,
        };
        self.history.push(event);
    }
}

/// Returns the text of a member of a JSON object.
fn member(text: &str, wanted: &str) -> Option<String> {
    let bytes = text.as_bytes();
    let (mut depth, mut in_text, mut escaped) = (0, false, false);
    let (mut start, mut name) = (0, None::<String>);
    for (at, byte) in bytes.iter().enumerate() {
        if in_text {
            match byte {
                _ if escaped => escaped = false,
                b'\\' => escaped = true,
                b'"' => in_text = false,
                _ => {}
            }
            continue;
        }
        let is_end = depth == 1 && matches!(byte, b',' | b'}');
        if is_end && name.as_deref() == Some(wanted) {
            return Some(text[start..at].trim().to_owned());
        }
        match byte {
            b'"' => in_text = true,
            b'{' | b'[' => {
                depth += 1;
                if depth == 1 {
                    start = at + 1;
                }
            }
            b'}' | b']' => depth -= 1,
            b':' if depth == 1 && name.is_none() => {
                name = Some(text[start..at].trim().trim_matches('"').to_owned());
                start = at + 1;
            }
            b',' if depth == 1 => (start, name) = (at + 1, None),
            _ => {}
        }
    }
    None
}
