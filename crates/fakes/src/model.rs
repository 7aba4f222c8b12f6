//! An in-memory model of a leaf.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use rand::{Rng as _, SeedableRng as _, rngs::SmallRng};
use rattanmast_model::{
    catalog::Snapshot,
    hash::Map,
    host::Incarnation,
    leaf::{Error, Limits, Load, Name, Order, OrderReply, Result, Search, SearchReply},
    range, request, trace,
};
use smol_str::{SmolStr, format_smolstr};
use tokio::{
    sync::watch,
    time::{Instant, sleep, timeout_at},
};
use tokio_util::sync::CancellationToken;

pub use crate::behavior::{Counters, Faults, Settings};
use crate::{
    clock::{self, Wall},
    connection::{Connection, Phase},
    records,
    slots::{Acquisition, Slot, Slots},
};

/// A leaf; clones share its state.
#[derive(Clone, Debug)]
pub struct Leaf {
    state: Arc<Mutex<State>>,
    settings: Settings,
    wall: Wall,
}

#[derive(Debug)]
struct State {
    name: Name,
    limits: Limits,
    incarnation: Incarnation,
    up: bool,
    restarted_at: Option<Instant>,
    draining: bool,
    holdings: BTreeMap<Snapshot, range::Set>,
    faults: Faults,
    rng: SmallRng,
    slots: Slots,
    connections: BTreeMap<u64, watch::Sender<Phase>>,
    next_connection: u64,
    in_flight: Map<request::Id, CancellationToken>,
    runs: BTreeMap<SmolStr, u64>,
    counters: Counters,
    last_request: Option<request::Id>,
    last_trace: Option<trace::Context>,
}

impl Leaf {
    /// Returns a running, warm leaf without holdings.
    pub fn new(name: Name, limits: Limits, settings: Settings, wall: Wall, seed: u64) -> Self {
        let state = State {
            name,
            limits,
            incarnation: Incarnation(wall.now_ns()),
            up: true,
            restarted_at: None,
            draining: false,
            holdings: BTreeMap::new(),
            faults: Faults::default(),
            rng: SmallRng::seed_from_u64(seed),
            slots: new_slots(limits, settings),
            connections: BTreeMap::new(),
            next_connection: 0,
            in_flight: Map::default(),
            runs: BTreeMap::new(),
            counters: Counters::default(),
            last_request: None,
            last_trace: None,
        };
        Self {
            state: Arc::new(Mutex::new(state)),
            settings,
            wall,
        }
    }

    /// Returns the leaf's name.
    pub fn name(&self) -> Name {
        self.lock().name.clone()
    }

    /// Returns the leaf's limits.
    pub fn limits(&self) -> Limits {
        self.lock().limits
    }

    /// Replaces the key ranges that the leaf holds, by snapshot.
    pub fn set_holdings(&self, holdings: impl IntoIterator<Item = (Snapshot, range::Set)>) {
        self.lock().holdings = holdings.into_iter().collect();
    }

    /// Sets whether the leaf is draining; a draining leaf rejects new requests.
    pub fn set_draining(&self, draining: bool) {
        self.lock().draining = draining;
    }

    /// Replaces the active faults.
    pub fn set_faults(&self, faults: Faults) {
        self.lock().faults = faults;
    }

    /// Returns the active faults.
    pub fn faults(&self) -> Faults {
        self.lock().faults
    }

    /// Makes all open connections silent permanently; new connections are not affected.
    pub fn silence_connections(&self) {
        let silent = Phase::Silent(Instant::now());
        for connection in self.lock().connections.values() {
            connection.send_if_modified(|phase| {
                let is_open = *phase == Phase::Open;
                if is_open {
                    *phase = silent;
                }
                is_open
            });
        }
    }

    /// Stops the leaf's process immediately; its connections break.
    pub fn stop(&self) {
        let mut state = self.lock();
        state.up = false;
        state.slots.clear_queue();
        state.slots = new_slots(state.limits, self.settings);
        state.in_flight.clear();
        for connection in std::mem::take(&mut state.connections).into_values() {
            connection.send_replace(Phase::Broken);
        }
    }

    /// Restarts the leaf's process, cold and with a new incarnation.
    pub fn restart(&self) {
        self.stop();
        let mut state = self.lock();
        state.up = true;
        state.draining = false;
        state.restarted_at = Some(Instant::now());
        let now = self.wall.now_ns();
        state.incarnation = Incarnation(now.max(state.incarnation.0 + 1));
    }

    /// Returns the number of orders that began to run, by key.
    pub fn runs(&self) -> BTreeMap<SmolStr, u64> {
        self.lock().runs.clone()
    }

    /// Returns the leaf's counters.
    pub fn counters(&self) -> Counters {
        self.lock().counters
    }

    /// Returns the trace context of the last request that carried one.
    pub fn last_trace(&self) -> Option<trace::Context> {
        self.lock().last_trace
    }

    /// Records the trace context of a request.
    pub fn record_trace(&self, trace: trace::Context) {
        self.lock().last_trace = Some(trace);
    }

    /// Returns whether the leaf's process is running.
    pub fn is_up(&self) -> bool {
        self.lock().up
    }

    /// Returns the load that the leaf reports.
    pub fn load(&self) -> Load {
        self.lock().load()
    }

    /// Closes connections that were silent for too long; returns the number of the others, which
    /// count towards the limit.
    pub fn connections(&self) -> u32 {
        self.lock().close_silent(self.settings.silent_timeout)
    }

    /// Accepts a connection; the caller must simulate the time that opening takes.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Connect`] if the leaf is stopped, [`Error::Full`] at the connection limit.
    pub fn connect(&self) -> Result<Connection> {
        let mut state = self.lock();
        if !state.up {
            let why = SmolStr::new_static("connection refused");
            return Err(Error::Connect { why });
        }
        if state.close_silent(self.settings.silent_timeout) >= state.limits.connections {
            state.counters.refused += 1;
            return Err(Error::Full);
        }
        let phase = if state.faults.silent_new {
            Phase::Silent(Instant::now())
        } else {
            Phase::Open
        };
        let id = state.next_connection;
        state.next_connection += 1;
        let (sender, phase) = watch::channel(phase);
        state.connections.insert(id, sender);
        let count = u32::try_from(state.connections.len()).unwrap_or(u32::MAX);
        state.counters.opened += 1;
        state.counters.most_connections = state.counters.most_connections.max(count);
        Ok(Connection::new(self.clone(), id, phase))
    }

    /// Breaks the connection `id` from the leaf's side.
    pub(crate) fn break_connection(&self, id: u64) {
        if let Some(sender) = self.lock().connections.remove(&id) {
            sender.send_replace(Phase::Broken);
        }
    }

    /// Removes the connection `id` after the client has closed it.
    pub(crate) fn remove_connection(&self, id: u64) {
        self.lock().connections.remove(&id);
    }

    /// Cancels the request `id` unless it is an order that has begun to run.
    pub fn cancel(&self, id: request::Id) {
        if let Some(token) = self.lock().in_flight.remove(&id) {
            token.cancel();
        }
    }

    pub(crate) async fn search(&self, search: &Search) -> Result<SearchReply> {
        let deadline = Instant::now() + Duration::from_millis(search.budget_ms.into());
        let pending = self.register(search.id);
        let work = async {
            let _slot = self.acquire_slot(deadline).await?;
            let (held, service_time) = self.begin_search(search)?;
            let begun = Instant::now();
            let _busy = BusyTimer(self, begun);
            if begun + service_time > deadline {
                sleep(deadline - begun).await;
                let why = SmolStr::new_static("deadline passed while the leaf worked");
                return Err(Error::Failed { why });
            }
            sleep(service_time).await;
            let parts = search
                .ranges
                .iter()
                .flat_map(|asked| held.ranges().iter().filter_map(|r| r.intersect(*asked)))
                .map(|r| records::part(&search.collection, search.snapshot, r, &search.text))
                .collect();
            let (id, load) = self.reply_header(search.id)?;
            Ok(SearchReply {
                id,
                snapshot: search.snapshot,
                parts,
                load,
            })
        };
        let result = tokio::select! {
            biased;
            () = pending.token.cancelled() => {
                let why = SmolStr::new_static("cancelled");
                Err(Error::Failed { why })
            }
            result = work => result,
        };
        pending.finish();
        result
    }

    pub(crate) async fn order(&self, order: Order) -> Result<OrderReply> {
        let pending = self.register(order.id);
        let time_left = order.not_after_ms.saturating_sub(self.wall.now_ms());
        // Orders expire within seconds; the cap of one hour prevents overflow in the addition.
        let time_left = Duration::from_millis(time_left.min(3_600_000));
        let slot = tokio::select! {
            biased;
            () = pending.token.cancelled() => {
                return Err(Error::Shed { load: self.load() });
            }
            slot = self.acquire_slot(Instant::now() + time_left) => slot?,
        };
        let service_time = self.begin_order(&order)?;
        pending.finish();
        let leaf = self.clone();
        // An order that has begun runs to completion, even if its connection closes.
        let work = tokio::spawn(async move {
            let _slot = slot;
            let _busy = BusyTimer(&leaf, Instant::now());
            sleep(service_time).await;
            leaf.reply_header(order.id).map(|(id, load)| OrderReply {
                id,
                result: format_smolstr!("{} {}", order.action, order.record),
                load,
            })
        });
        work.await.unwrap_or_else(|error| {
            let why = format_smolstr!("{error}");
            Err(Error::Failed { why })
        })
    }

    async fn acquire_slot(&self, deadline: Instant) -> Result<Slot> {
        let acquisition = {
            let mut state = self.lock();
            let load = state.load();
            if state.draining {
                return Err(Error::Leaving { load });
            }
            if state.faults.fail_fast {
                let why = SmolStr::new_static("fault: fails fast");
                return Err(Error::Failed { why });
            }
            let acquisition = state.slots.acquire();
            if matches!(acquisition, Acquisition::Full) {
                state.counters.shed += 1;
                return Err(Error::Shed { load });
            }
            acquisition
        };
        match acquisition {
            Acquisition::Acquired(slot) => Ok(slot),
            Acquisition::Queued(slot) => match timeout_at(deadline, slot).await {
                Ok(Ok(slot)) => Ok(slot),
                Ok(Err(_)) => Err(broken("leaf stopped")),
                Err(_) => Err(Error::Expired { load: self.load() }),
            },
            Acquisition::Full => Err(Error::Shed { load: self.load() }),
        }
    }

    fn begin_search(&self, search: &Search) -> Result<(range::Set, Duration)> {
        let mut state = self.lock();
        let load = state.load();
        let Some(held) = state.holdings.get(&search.snapshot).cloned() else {
            let holds = state.holdings.keys().copied().collect();
            return Err(Error::Gone { holds, load });
        };
        state.counters.searches += 1;
        Ok((held, state.draw_service_time(self.settings)))
    }

    fn begin_order(&self, order: &Order) -> Result<Duration> {
        let mut state = self.lock();
        if self.wall.now_ms() > order.not_after_ms {
            return Err(Error::Expired { load: state.load() });
        }
        state.counters.orders += 1;
        *state.runs.entry(order.key.clone()).or_default() += 1;
        Ok(state.draw_service_time(self.settings))
    }

    fn reply_header(&self, id: request::Id) -> Result<(request::Id, Load)> {
        let mut state = self.lock();
        let faults = state.faults;
        if state.draw_bool(faults.lose_reply) {
            return Err(broken("fault: reply lost"));
        }
        let last = state.last_request.replace(id);
        let misdirect = state.draw_bool(faults.misdirect);
        let reported_id = last.filter(|_| misdirect).unwrap_or(id);
        Ok((reported_id, state.load()))
    }

    fn register(&self, id: request::Id) -> Pending<'_> {
        let token = CancellationToken::new();
        self.lock().in_flight.insert(id, token.clone());
        Pending {
            leaf: self,
            id,
            token,
            finished: false,
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        let lock = self.state.lock();
        lock.expect("no code panics while it holds the lock")
    }
}

impl State {
    fn load(&self) -> Load {
        Load {
            incarnation: self.incarnation,
            waiting: if self.faults.mislead {
                0
            } else {
                self.slots.queued()
            },
            draining: self.draining,
        }
    }

    fn draw_bool(&mut self, probability: f64) -> bool {
        probability > 0.0 && self.rng.random_bool(probability.min(1.0))
    }

    /// Draws a service time from a log-normal distribution (Box-Muller transform).
    fn draw_service_time(&mut self, settings: Settings) -> Duration {
        let (u, v): (f64, f64) = (self.rng.random(), self.rng.random());
        let normal = (-2.0 * (1.0 - u).ln()).sqrt() * (std::f64::consts::TAU * v).cos();
        let mut factor = (settings.sigma * normal).exp() * self.faults.factor;
        let (share, slow) = (self.faults.slow_share, self.faults.slow_factor);
        if self.draw_bool(share) {
            factor *= slow;
        }
        if self
            .restarted_at
            .is_some_and(|s| s.elapsed() < settings.cold_duration)
        {
            factor *= settings.cold_factor;
        }
        let service_time = settings.median.mul_f64(factor.clamp(0.0, 1e6));
        clock::round_to_millis(service_time, self.rng.random())
    }

    /// Closes connections that have been silent for `timeout`; returns the number that remain.
    fn close_silent(&mut self, timeout: Duration) -> u32 {
        self.connections.retain(|_, phase| match *phase.borrow() {
            Phase::Silent(since) => since.elapsed() < timeout,
            Phase::Open | Phase::Broken => true,
        });
        u32::try_from(self.connections.len()).unwrap_or(u32::MAX)
    }
}

/// A registered request that can be cancelled; dropping it unfinished counts as a cancellation.
struct Pending<'a> {
    leaf: &'a Leaf,
    id: request::Id,
    token: CancellationToken,
    finished: bool,
}

impl Pending<'_> {
    fn finish(mut self) {
        self.finished = !self.token.is_cancelled();
    }
}

impl Drop for Pending<'_> {
    fn drop(&mut self) {
        let mut state = self.leaf.lock();
        state.in_flight.remove(&self.id);
        state.counters.cancelled += u64::from(!self.finished);
    }
}

/// Adds the time from the given instant until the drop to [`Counters::busy_us`].
struct BusyTimer<'a>(&'a Leaf, Instant);

impl Drop for BusyTimer<'_> {
    fn drop(&mut self) {
        let elapsed_us = u64::try_from(self.1.elapsed().as_micros()).unwrap_or(u64::MAX);
        self.0.lock().counters.busy_us += elapsed_us;
    }
}

fn new_slots(limits: Limits, settings: Settings) -> Slots {
    let queue_capacity =
        usize::try_from(limits.slots * settings.max_queued_per_slot).unwrap_or(usize::MAX);
    Slots::new(limits.slots, queue_capacity)
}

pub(crate) fn broken(why: &'static str) -> Error {
    let why = SmolStr::new_static(why);
    Error::Broken { why }
}
