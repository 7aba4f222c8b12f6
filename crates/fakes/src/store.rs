//! An in-memory implementation of the platform's object service.

use std::{
    collections::BTreeMap,
    ops::RangeInclusive,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use rand::{Rng as _, SeedableRng as _, rngs::SmallRng};
use rattanmast_model::{
    hash::Set,
    store::{self, Error, MAX_VALUE_BYTES, Object, Result, Version},
};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use tokio::{
    sync::watch,
    time::{sleep, timeout},
};

use crate::clock;

/// Faults that can be injected into the object service.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Whether all calls fail.
    pub down: bool,
    /// The factor by which the latency of calls is multiplied.
    pub slow: f64,
    /// The share of writes that take effect but whose response is lost, from 0 to 1.
    pub lose_answer: f64,
    /// The number of upcoming writes that take effect but whose response is lost.
    pub lose_next: u32,
}

impl Default for Faults {
    fn default() -> Self {
        Self {
            down: false,
            slow: 1.0,
            lose_answer: 0.0,
            lose_next: 0,
        }
    }
}

/// The number of calls by kind, including failed ones.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Calls {
    /// Reads.
    pub get: u64,
    /// Conditional creations.
    pub create: u64,
    /// Conditional updates.
    pub update: u64,
    /// Deletions.
    pub delete: u64,
    /// Lists.
    pub list: u64,
    /// Watches.
    pub watch: u64,
}

impl Calls {
    /// Returns the number of calls that write.
    pub const fn writes(&self) -> u64 {
        self.create + self.update + self.delete
    }

    /// Returns the number of all calls.
    pub const fn total(&self) -> u64 {
        self.writes() + self.get + self.list + self.watch
    }
}

/// A client's handle to the object service; clones share the objects.
#[derive(Clone, Debug)]
pub struct Store {
    client: SmolStr,
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    state: Mutex<State>,
    /// Incremented by every write and every change of faults.
    changed: watch::Sender<u64>,
}

#[derive(Debug)]
struct State {
    objects: BTreeMap<String, (Version, Vec<u8>)>,
    version: Version,
    faults: Faults,
    cut_clients: Set<SmolStr>,
    latency: RangeInclusive<Duration>,
    rng: SmallRng,
    calls: Calls,
    calls_by_client: BTreeMap<SmolStr, Calls>,
}

impl Store {
    /// Returns an empty store with a latency of 2 to 8 ms per call.
    pub fn new(seed: u64) -> Self {
        let state = State {
            objects: BTreeMap::new(),
            version: Version(0),
            faults: Faults::default(),
            cut_clients: Set::default(),
            latency: Duration::from_millis(2)..=Duration::from_millis(8),
            rng: SmallRng::seed_from_u64(seed),
            calls: Calls::default(),
            calls_by_client: BTreeMap::new(),
        };
        Self {
            client: SmolStr::default(),
            shared: Arc::new(Shared {
                state: Mutex::new(state),
                changed: watch::Sender::new(0),
            }),
        }
    }

    /// Returns a handle for the client `name`, which has its own counts and can be cut off.
    #[must_use]
    pub fn client(&self, name: &str) -> Self {
        Self {
            client: SmolStr::new(name),
            shared: Arc::clone(&self.shared),
        }
    }

    /// Sets the range from which the latency of a call is drawn.
    pub fn set_latency(&self, latency: RangeInclusive<Duration>) {
        self.lock().latency = latency;
    }

    /// Replaces the active faults.
    pub fn set_faults(&self, faults: Faults) {
        self.lock().faults = faults;
        self.notify_watchers();
    }

    /// Returns the active faults.
    pub fn faults(&self) -> Faults {
        self.lock().faults
    }

    /// Sets whether the client `name` is cut off from the platform.
    pub fn set_cut(&self, name: &str, cut: bool) {
        let mut state = self.lock();
        if cut {
            state.cut_clients.insert(SmolStr::new(name));
        } else {
            state.cut_clients.remove(name);
        }
        drop(state);
        self.notify_watchers();
    }

    /// Returns the number of calls of all clients.
    pub fn calls(&self) -> Calls {
        self.lock().calls
    }

    /// Returns the number of calls of the client `name`.
    pub fn client_calls(&self, name: &str) -> Calls {
        let state = self.lock();
        state.calls_by_client.get(name).copied().unwrap_or_default()
    }

    /// Writes an object unconditionally, without latency and without counting a call.
    pub fn write_now(&self, name: &str, value: &[u8]) -> Version {
        let version = self.lock().write(name, value);
        self.notify_watchers();
        version
    }

    /// Reads an object without latency and without counting a call.
    pub fn read_now(&self, name: &str) -> Option<Object> {
        self.lock().read(name)
    }

    /// Returns the names of all objects without latency and without counting a call.
    pub fn names(&self) -> Vec<String> {
        self.lock().objects.keys().cloned().collect()
    }

    fn count_call(&self, increment: impl Fn(&mut Calls)) {
        let mut state = self.lock();
        increment(&mut state.calls);
        increment(
            state
                .calls_by_client
                .entry(self.client.clone())
                .or_default(),
        );
    }

    /// Waits for half the latency of a call, then checks that the client can reach the platform.
    async fn half_call(&self) -> Result<()> {
        let time = {
            let mut state = self.lock();
            let latency = state.latency.clone();
            let slow = state.faults.slow;
            let time = state.rng.random_range(latency).mul_f64(slow.max(0.0) / 2.0);
            clock::round_to_millis(time, state.rng.random())
        };
        sleep(time).await;
        self.check_reachable()
    }

    fn check_reachable(&self) -> Result<()> {
        let state = self.lock();
        let why = match () {
            () if state.faults.down => "fault: outage",
            () if state.cut_clients.contains(&self.client) => "fault: cut off",
            () => return Ok(()),
        };
        let why = why.to_owned();
        Err(Error::Unavailable { why })
    }

    async fn write<T>(&self, change: impl FnOnce(&mut State) -> Result<T> + Send) -> Result<T> {
        self.half_call().await?;
        let (result, lost) = {
            let mut state = self.lock();
            let result = change(&mut state);
            (result, state.draw_lost_answer())
        };
        if result.is_ok() {
            self.notify_watchers();
        }
        match self.half_call().await {
            Ok(()) if !lost => result,
            Ok(()) => Err(Error::ResponseLost {
                why: "fault: answer lost".to_owned(),
            }),
            Err(error) => Err(Error::ResponseLost {
                why: error.to_string(),
            }),
        }
    }

    fn notify_watchers(&self) {
        self.shared.changed.send_modify(|n| *n += 1);
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        let lock = self.shared.state.lock();
        lock.expect("no code panics while it holds the lock")
    }
}

impl State {
    fn read(&self, name: &str) -> Option<Object> {
        self.objects.get(name).map(|(version, value)| Object {
            name: name.to_owned(),
            version: *version,
            value: value.clone(),
        })
    }

    fn write(&mut self, name: &str, value: &[u8]) -> Version {
        self.version.0 += 1;
        let entry = (self.version, value.to_vec());
        self.objects.insert(name.to_owned(), entry);
        self.version
    }

    fn draw_lost_answer(&mut self) -> bool {
        if self.faults.lose_next > 0 {
            self.faults.lose_next -= 1;
            return true;
        }
        let probability = self.faults.lose_answer;
        probability > 0.0 && self.rng.random_bool(probability.min(1.0))
    }
}

fn check_size(name: &str, value: &[u8]) -> Result<()> {
    if value.len() > MAX_VALUE_BYTES {
        let name = name.to_owned();
        return Err(Error::TooLarge { name });
    }
    Ok(())
}

impl store::Store for Store {
    async fn get(&self, name: &str) -> Result<Object> {
        self.count_call(|c| c.get += 1);
        self.half_call().await?;
        let object = self.lock().read(name);
        self.half_call().await?;
        let name = name.to_owned();
        object.ok_or(Error::NotFound { name })
    }

    async fn create(&self, name: &str, value: &[u8]) -> Result<Version> {
        self.count_call(|c| c.create += 1);
        check_size(name, value)?;
        self.write(|state| match state.objects.contains_key(name) {
            true => Err(Error::Conflict {
                name: name.to_owned(),
            }),
            false => Ok(state.write(name, value)),
        })
        .await
    }

    async fn update(&self, name: &str, version: Version, value: &[u8]) -> Result<Version> {
        self.count_call(|c| c.update += 1);
        check_size(name, value)?;
        self.write(|state| match state.objects.get(name) {
            Some((current, _)) if *current == version => Ok(state.write(name, value)),
            Some(_) => Err(Error::Conflict {
                name: name.to_owned(),
            }),
            None => Err(Error::NotFound {
                name: name.to_owned(),
            }),
        })
        .await
    }

    async fn delete(&self, name: &str) -> Result<()> {
        self.count_call(|c| c.delete += 1);
        self.write(|state| {
            state.objects.remove(name);
            Ok(())
        })
        .await
    }

    async fn list(&self, prefix: &str) -> Result<Vec<Object>> {
        self.count_call(|c| c.list += 1);
        self.half_call().await?;
        let objects = {
            let state = self.lock();
            let names = state.objects.range(prefix.to_owned()..);
            names
                .take_while(|(name, _)| name.starts_with(prefix))
                .filter_map(|(name, _)| state.read(name))
                .collect()
        };
        self.half_call().await?;
        Ok(objects)
    }

    async fn watch(&self, name: &str, after: Version, wait: Duration) -> Result<Option<Object>> {
        self.count_call(|c| c.watch += 1);
        let mut changed = self.shared.changed.subscribe();
        self.half_call().await?;
        let newer = async {
            loop {
                changed.mark_unchanged();
                self.check_reachable()?;
                let object = self.lock().read(name).filter(|o| o.version > after);
                if object.is_some() || changed.changed().await.is_err() {
                    return Ok(object);
                }
            }
        };
        let object = timeout(wait, newer).await.unwrap_or(Ok(None))?;
        self.half_call().await?;
        Ok(object)
    }
}
