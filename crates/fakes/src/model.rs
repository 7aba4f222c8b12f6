//! A leaf without sockets.

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
    leaf::{Done, Error, Found, Limits, Load, Name, Order, Result, Search},
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
    slots::{Slot, Slots, Turn},
};

/// A leaf; clones are handles to the same one.
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
    started: Option<Instant>,
    draining: bool,
    holdings: BTreeMap<Snapshot, range::Set>,
    faults: Faults,
    rng: SmallRng,
    slots: Slots,
    connections: BTreeMap<u64, watch::Sender<Phase>>,
    next: u64,
    open: Map<request::Id, CancellationToken>,
    runs: BTreeMap<SmolStr, u64>,
    counters: Counters,
    last: Option<request::Id>,
    trace: Option<trace::Context>,
}

impl Leaf {
    /// Returns a warm leaf that holds nothing yet.
    pub fn new(name: Name, limits: Limits, settings: Settings, wall: Wall, seed: u64) -> Self {
        let state = State {
            name,
            limits,
            incarnation: Incarnation(wall.now_ns()),
            up: true,
            started: None,
            draining: false,
            holdings: BTreeMap::new(),
            faults: Faults::default(),
            rng: SmallRng::seed_from_u64(seed),
            slots: slots(limits, settings),
            connections: BTreeMap::new(),
            next: 0,
            open: Map::default(),
            runs: BTreeMap::new(),
            counters: Counters::default(),
            last: None,
            trace: None,
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

    /// Returns what the leaf takes.
    pub fn limits(&self) -> Limits {
        self.lock().limits
    }

    /// Replaces what the leaf holds.
    pub fn hold(&self, holdings: impl IntoIterator<Item = (Snapshot, range::Set)>) {
        self.lock().holdings = holdings.into_iter().collect();
    }

    /// Sets whether the leaf is leaving; a leaving leaf begins nothing new.
    pub fn drain(&self, draining: bool) {
        self.lock().draining = draining;
    }

    /// Replaces the faults that are switched on.
    pub fn set_faults(&self, faults: Faults) {
        self.lock().faults = faults;
    }

    /// Returns the faults that are switched on.
    pub fn faults(&self) -> Faults {
        self.lock().faults
    }

    /// Makes all open connections silent for good; new ones work.
    pub fn silence(&self) {
        let silent = Phase::Silent(Instant::now());
        for connection in self.lock().connections.values() {
            connection.send_if_modified(|phase| {
                let open = *phase == Phase::Open;
                if open {
                    *phase = silent;
                }
                open
            });
        }
    }

    /// Stops the process of the leaf at once; its connections break.
    pub fn stop(&self) {
        let mut state = self.lock();
        state.up = false;
        state.slots.clear();
        state.slots = slots(state.limits, self.settings);
        state.open.clear();
        for connection in std::mem::take(&mut state.connections).into_values() {
            connection.send_replace(Phase::Broken);
        }
    }

    /// Starts the process of the leaf again, cold and with a new incarnation.
    pub fn restart(&self) {
        self.stop();
        let mut state = self.lock();
        state.up = true;
        state.draining = false;
        state.started = Some(Instant::now());
        let now = self.wall.now_ns();
        state.incarnation = Incarnation(now.max(state.incarnation.0 + 1));
    }

    /// Returns how often orders with each key began.
    pub fn runs(&self) -> BTreeMap<SmolStr, u64> {
        self.lock().runs.clone()
    }

    /// Returns what the leaf has counted.
    pub fn counters(&self) -> Counters {
        self.lock().counters
    }

    /// Returns the position in the trace of the last request that named one.
    pub fn trace(&self) -> Option<trace::Context> {
        self.lock().trace
    }

    /// Notes the position in the trace of a request.
    pub fn note(&self, trace: trace::Context) {
        self.lock().trace = Some(trace);
    }

    /// Tells whether the leaf's process runs.
    pub fn is_up(&self) -> bool {
        self.lock().up
    }

    /// Returns what the leaf says of itself.
    pub fn load(&self) -> Load {
        self.lock().load()
    }

    /// Returns the number of connections that count against the limit.
    pub fn connections(&self) -> u32 {
        self.lock().prune(self.settings.keepalive)
    }

    /// Accepts a connection; the time to open it is up to the caller.
    ///
    /// # Errors
    ///
    /// [`Error::Connect`] if the leaf is stopped, [`Error::Full`] at the limit.
    pub fn connect(&self) -> Result<Connection> {
        let mut state = self.lock();
        if !state.up {
            let why = SmolStr::new_static("connection refused");
            return Err(Error::Connect { why });
        }
        if state.prune(self.settings.keepalive) >= state.limits.connections {
            state.counters.refused += 1;
            return Err(Error::Full);
        }
        let phase = if state.faults.silent_new {
            Phase::Silent(Instant::now())
        } else {
            Phase::Open
        };
        let id = state.next;
        state.next += 1;
        let (sender, phase) = watch::channel(phase);
        state.connections.insert(id, sender);
        let count = u32::try_from(state.connections.len()).unwrap_or(u32::MAX);
        state.counters.opened += 1;
        state.counters.most_connections = state.counters.most_connections.max(count);
        Ok(Connection::new(self.clone(), id, phase))
    }

    /// Breaks the connection `id` from the leaf's side.
    pub(crate) fn sever(&self, id: u64) {
        if let Some(sender) = self.lock().connections.remove(&id) {
            sender.send_replace(Phase::Broken);
        }
    }

    /// Closes the connection `id`, which its caller has closed.
    pub(crate) fn forget(&self, id: u64) {
        self.lock().connections.remove(&id);
    }

    /// Gives up the request `id` unless it is an order that has begun.
    pub fn cancel(&self, id: request::Id) {
        if let Some(token) = self.lock().open.remove(&id) {
            token.cancel();
        }
    }

    pub(crate) async fn search(&self, search: &Search) -> Result<Found> {
        let deadline = Instant::now() + Duration::from_millis(search.budget_ms.into());
        let pending = self.register(search.id);
        let work = async {
            let _slot = self.slot(deadline).await?;
            let (held, time) = self.begin_search(search)?;
            let begun = Instant::now();
            let _busy = Busy(self, begun);
            if begun + time > deadline {
                sleep(deadline - begun).await;
                let why = SmolStr::new_static("deadline passed while the leaf worked");
                return Err(Error::Failed { why });
            }
            sleep(time).await;
            let parts = search
                .ranges
                .iter()
                .flat_map(|asked| held.ranges().iter().filter_map(|r| r.intersect(*asked)))
                .map(|r| records::part(&search.collection, search.snapshot, r, &search.text))
                .collect();
            let (id, load) = self.reply(search.id)?;
            Ok(Found {
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
        pending.settle();
        result
    }

    pub(crate) async fn order(&self, order: Order) -> Result<Done> {
        let pending = self.register(order.id);
        let left = order.not_after_ms.saturating_sub(self.wall.now_ms());
        // A right to send lasts seconds; the bound keeps the addition in range.
        let left = Duration::from_millis(left.min(3_600_000));
        let slot = tokio::select! {
            biased;
            () = pending.token.cancelled() => {
                return Err(Error::Shed { load: self.load() });
            }
            slot = self.slot(Instant::now() + left) => slot?,
        };
        let time = self.begin_order(&order)?;
        pending.settle();
        let leaf = self.clone();
        // An order that has begun runs to its end, whatever becomes of the connection.
        let work = tokio::spawn(async move {
            let _slot = slot;
            let _busy = Busy(&leaf, Instant::now());
            sleep(time).await;
            leaf.reply(order.id).map(|(id, load)| Done {
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

    async fn slot(&self, deadline: Instant) -> Result<Slot> {
        let turn = {
            let mut state = self.lock();
            let load = state.load();
            if state.draining {
                return Err(Error::Leaving { load });
            }
            if state.faults.fail_fast {
                let why = SmolStr::new_static("fault: fails fast");
                return Err(Error::Failed { why });
            }
            let turn = state.slots.take();
            if matches!(turn, Turn::Full) {
                state.counters.shed += 1;
                return Err(Error::Shed { load });
            }
            turn
        };
        match turn {
            Turn::Now(slot) => Ok(slot),
            Turn::Later(slot) => match timeout_at(deadline, slot).await {
                Ok(Ok(slot)) => Ok(slot),
                Ok(Err(_)) => Err(broken("leaf stopped")),
                Err(_) => Err(Error::Expired { load: self.load() }),
            },
            Turn::Full => Err(Error::Shed { load: self.load() }),
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
        Ok((held, state.time(self.settings)))
    }

    fn begin_order(&self, order: &Order) -> Result<Duration> {
        let mut state = self.lock();
        if self.wall.now_ms() > order.not_after_ms {
            return Err(Error::Expired { load: state.load() });
        }
        state.counters.orders += 1;
        *state.runs.entry(order.key.clone()).or_default() += 1;
        Ok(state.time(self.settings))
    }

    fn reply(&self, id: request::Id) -> Result<(request::Id, Load)> {
        let mut state = self.lock();
        let faults = state.faults;
        if state.chance(faults.lose_reply) {
            return Err(broken("fault: reply lost"));
        }
        let last = state.last.replace(id);
        let misdirect = state.chance(faults.misdirect);
        let shown = last.filter(|_| misdirect).unwrap_or(id);
        Ok((shown, state.load()))
    }

    fn register(&self, id: request::Id) -> Pending<'_> {
        let token = CancellationToken::new();
        self.lock().open.insert(id, token.clone());
        Pending {
            leaf: self,
            id,
            token,
            settled: false,
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
                self.slots.waiting()
            },
            draining: self.draining,
        }
    }

    fn chance(&mut self, share: f64) -> bool {
        share > 0.0 && self.rng.random_bool(share.min(1.0))
    }

    /// Draws a service time from a log-normal distribution (Box-Muller transform).
    fn time(&mut self, settings: Settings) -> Duration {
        let (u, v): (f64, f64) = (self.rng.random(), self.rng.random());
        let normal = (-2.0 * (1.0 - u).ln()).sqrt() * (std::f64::consts::TAU * v).cos();
        let mut factor = (settings.sigma * normal).exp() * self.faults.factor;
        let (share, slow) = (self.faults.slow_share, self.faults.slow_factor);
        if self.chance(share) {
            factor *= slow;
        }
        if self.started.is_some_and(|s| s.elapsed() < settings.cold) {
            factor *= settings.cold_factor;
        }
        let time = settings.median.mul_f64(factor.clamp(0.0, 1e6));
        clock::round(time, self.rng.random())
    }

    /// Closes connections that have been silent for `keepalive`; returns how many are left.
    fn prune(&mut self, keepalive: Duration) -> u32 {
        self.connections.retain(|_, phase| match *phase.borrow() {
            Phase::Silent(since) => since.elapsed() < keepalive,
            Phase::Open | Phase::Broken => true,
        });
        u32::try_from(self.connections.len()).unwrap_or(u32::MAX)
    }
}

/// A request that can be cancelled; dropping it unsettled counts as cancelled.
struct Pending<'a> {
    leaf: &'a Leaf,
    id: request::Id,
    token: CancellationToken,
    settled: bool,
}

impl Pending<'_> {
    fn settle(mut self) {
        self.settled = !self.token.is_cancelled();
    }
}

impl Drop for Pending<'_> {
    fn drop(&mut self) {
        let mut state = self.leaf.lock();
        state.open.remove(&self.id);
        state.counters.cancelled += u64::from(!self.settled);
    }
}

/// Counts the time that a slot is in use.
struct Busy<'a>(&'a Leaf, Instant);

impl Drop for Busy<'_> {
    fn drop(&mut self) {
        let time = u64::try_from(self.1.elapsed().as_micros()).unwrap_or(u64::MAX);
        self.0.lock().counters.busy_us += time;
    }
}

fn slots(limits: Limits, settings: Settings) -> Slots {
    let bound = usize::try_from(limits.slots * settings.waiting).unwrap_or(usize::MAX);
    Slots::new(limits.slots, bound)
}

pub(crate) fn broken(why: &'static str) -> Error {
    let why = SmolStr::new_static(why);
    Error::Broken { why }
}
