//! The mutable state of one service: its replicas, its queue and its policies.

use std::time::Duration;

use rand::{SeedableRng as _, rngs::SmallRng};
use rattanmast_model::{
    config::Floors,
    leaf::{self, Connector},
    peer::Cause,
    rank::Rank,
};
use tokio::{sync::oneshot, time::Instant};

use crate::{
    choice::{self, Choice, View},
    hedge::{self, Hedge as _},
    lanes::Lanes,
    latency::Quantile,
    lease::Lease,
    limit::{Bounds, Limit as _},
    policy::Policy,
    queue::Queue,
    replica::Replica,
    reports::Reports,
    usage::Usage,
};

/// Queued requests of a lane that are scanned for one that a free leaf may take.
const MAX_SCANNED: usize = 8;

/// Queued requests that justify the use of the last connection that this host may hold to a
/// leaf.
const LAST_CONNECTION_MIN_QUEUED: u32 = 2;

/// Maximum number of leafs of a service; sets of leafs are 64-bit masks.
const MAX_LEAFS: usize = 64;

/// The role of this host for a service, derived from the configuration.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Role {
    /// The position of this host in the order of responsibility: 0 for the first candidate, for the
    /// sender of the failure domain, or for every host if all of them dispatch; higher positions
    /// stand in for it. `None` if the host does not dispatch to the service.
    pub(crate) position: Option<usize>,
    pub(crate) limits: leaf::Limits,
    pub(crate) share: u32,
    /// The number of hosts that have the same part of the service as this one.
    pub(crate) holders: u32,
    /// Connections to each leaf that are kept open while unused.
    pub(crate) warm: u32,
    pub(crate) floors: Floors,
    pub(crate) hedges: hedge::Budget,
}

impl Role {
    fn bounds(&self) -> Bounds {
        Bounds {
            slots: self.limits.slots,
            share: self.share,
            first: self.position == Some(0),
        }
    }
}

/// Delivers a lease, or the cause of a refusal, to a queued request.
pub(crate) type GrantSender<C, P> = oneshot::Sender<Result<Lease<C, P>, Cause>>;

/// The mutable state of a service; locked briefly and never across an await.
pub(crate) struct State<C: Connector, P: Policy> {
    pub(crate) role: Role,
    /// When the host stopped dispatching to the service.
    pub(crate) retired_at: Option<Instant>,
    pub(crate) replicas: Vec<Replica<C::Connection, P::Limit>>,
    pub(crate) queue: Queue<GrantSender<C, P>>,
    pub(crate) lanes: P::Lanes,
    pub(crate) hedge: P::Hedge,
    pub(crate) usage: Usage,
    pub(crate) rng: SmallRng,
    choice: P::Choice,
}

/// A connection that is reserved for one request.
pub(crate) struct Reservation<L> {
    pub(crate) replica: usize,
    pub(crate) connection: L,
    /// Requests in flight at the replica, including this one.
    pub(crate) in_flight: u32,
    /// Seconds of slot time that were charged in advance.
    pub(crate) charged_secs: f64,
}

/// A queued request and the connection that is reserved for it.
pub(crate) struct Grant<C: Connector, P: Policy> {
    pub(crate) grant_tx: GrantSender<C, P>,
    pub(crate) rank: Rank,
    pub(crate) reservation: Reservation<C::Connection>,
}

impl<C: Connector, P: Policy> State<C, P> {
    pub(crate) fn new(role: Role, seed: u64) -> Self {
        Self {
            role,
            retired_at: None,
            replicas: Vec::new(),
            queue: Queue::new(),
            lanes: P::Lanes::new(role.floors),
            hedge: P::Hedge::new(role.hedges),
            usage: Usage::new(),
            rng: SmallRng::seed_from_u64(seed),
            choice: P::Choice::new(),
        }
    }

    /// Updates the replicas from the listed leafs; a new leaf reuses a vacant position if possible.
    pub(crate) fn update_leafs(&mut self, leafs: &[&leaf::Leaf], reports: &mut Reports) {
        let now = Instant::now();
        let bounds = self.role.bounds();
        self.replicas.iter_mut().for_each(|r| r.listed = false);
        for leaf in leafs {
            let known = self.replicas.iter_mut().find(|r| {
                r.leaf == **leaf || {
                    let same_leaf = (&r.leaf.name, r.leaf.addr) == (&leaf.name, leaf.addr);
                    same_leaf && r.leaf.service == leaf.service
                }
            });
            if let Some(replica) = known {
                let is_back = replica.relist(leaf);
                if let Some(report) = is_back.then(|| reports.renew(leaf, now)).flatten() {
                    replica.restore(report);
                }
                continue;
            }
            let mut replica = Replica::new((*leaf).clone(), bounds, self.role.holders);
            if let Some(report) = reports.get(leaf, now) {
                replica.restore(report);
            }
            // Queued requests refer to positions, so one is reused only while the queue is empty.
            let vacant = self.replicas.iter().position(Replica::is_vacant);
            match vacant.filter(|_| self.queue.is_empty()) {
                Some(position) => self.replicas[position] = replica,
                None if self.replicas.len() < MAX_LEAFS => self.replicas.push(replica),
                None => log::warn!(
                    "leaf {} is not used: its service has the maximum number of leafs; list fewer",
                    leaf.name
                ),
            }
        }
        for replica in &mut self.replicas {
            replica.limit.set_bounds(bounds);
            replica.restriction.set_holders(self.role.holders);
        }
    }

    /// Removes idle connections that exceed the share, and all those of matching replicas.
    pub(crate) fn take_surplus(
        &mut self,
        all: impl Fn(&Replica<C::Connection, P::Limit>) -> bool,
    ) -> Vec<(usize, C::Connection)> {
        let share = self.role.share;
        let mut surplus = Vec::new();
        for (i, replica) in self.replicas.iter_mut().enumerate() {
            let mut connections = replica.pool.set_share(share);
            if all(replica) {
                connections.extend(replica.pool.take_idle(u32::MAX));
            }
            for connection in connections {
                replica.pool.record_closing();
                surplus.push((i, connection));
            }
        }
        surplus
    }

    /// Returns how many connections to keep open while unused.
    ///
    /// Only the first candidate keeps any, since it uses its leafs all the time.
    pub(crate) fn warm(&self) -> u32 {
        match self.role.position {
            Some(0) => self.role.warm.min(self.role.share),
            _ => 0,
        }
    }

    /// Returns how many active connections replica `i` should have.
    pub(crate) fn wanted_connections(&self, i: usize, now: Instant) -> u32 {
        let (replica, share) = (&self.replicas[i], self.role.share);
        let allowed = replica.allowed(now);
        if allowed == 0 {
            return 0;
        }
        let queued = self.queue.len();
        // The last connection is kept to replace a silent one, unless requests are queued.
        let max = if queued >= LAST_CONNECTION_MIN_QUEUED {
            share
        } else {
            (share.saturating_sub(1)).max(self.role.limits.slots.min(share))
        };
        let needed = allowed.min(replica.in_flight + queued);
        self.warm().min(allowed.max(2)).max(needed).min(max)
    }

    /// Returns the set of replicas that may get work.
    ///
    /// If all of them fail, it contains those that still have a connection.
    pub(crate) fn usable(&self, now: Instant) -> u64 {
        match self.matching(|r| r.is_usable(now)) {
            0 => self.matching(|r| r.is_last_resort(now)),
            usable => usable,
        }
    }

    fn matching(&self, test: impl Fn(&Replica<C::Connection, P::Limit>) -> bool) -> u64 {
        let bit = |(i, r)| u64::from(test(r)) << i;
        self.replicas.iter().enumerate().map(bit).sum()
    }

    /// Returns the set of replicas named in `names`, or all replicas if none is known.
    pub(crate) fn matching_names(&self, names: &[leaf::Name]) -> u64 {
        match self.matching(|r| names.contains(&r.leaf.name)) {
            0 => u64::MAX,
            set => set,
        }
    }

    /// Refuses a request that cannot meet its deadline; returns the latest time to send it.
    pub(crate) fn check_deadline(
        &self,
        rank: Rank,
        deadline: Instant,
        now: Instant,
        headroom: f64,
    ) -> Result<Instant, Cause> {
        if !P::Lanes::REFUSES_WHEN_TOO_LATE {
            return Ok(deadline);
        }
        let cost = self.usage.cost(rank);
        if now + cost > deadline {
            return Err(Cause::Late);
        }
        let wait = self.expected_waits(now)[rank.index()].mul_f64(headroom);
        if now + wait + cost > deadline {
            return Err(Cause::Overload);
        }
        Ok(deadline - cost)
    }

    /// Returns the expected queueing time by rank.
    pub(crate) fn expected_waits(&self, now: Instant) -> [Duration; 3] {
        let capacity: u32 = self.replicas.iter().map(|r| r.allowed(now)).sum();
        let floors = Rank::ALL.map(|r| self.lanes.floor(r));
        self.usage
            .expected_waits(self.queue.lengths(), capacity.max(1), floors, now)
    }

    /// Removes the next queued request that a free leaf may take, and reserves a connection for it.
    pub(crate) fn grant_next(&mut self, now: Instant) -> Option<Grant<C, P>> {
        if self.queue.is_empty() {
            return None;
        }
        for (lane, owed) in self.lanes.order() {
            let mut after = None;
            for _ in 0..MAX_SCANNED {
                let Some((key, eligible)) = self.queue.after(lane, after) else {
                    break;
                };
                after = Some(key);
                let Some(index) = self.choose(lane, owed, eligible, now) else {
                    continue;
                };
                let entry = self.queue.remove(key)?;
                let reservation = self.reserve(entry.rank, index, now)?;
                return Some(Grant {
                    grant_tx: entry.grant_tx,
                    rank: entry.rank,
                    reservation,
                });
            }
        }
        None
    }

    /// Returns the lowest mean latency of the leafs; 1 ms if none is known.
    pub(crate) fn min_mean_secs(&self) -> f64 {
        let means = self.replicas.iter().filter_map(|r| r.latency.mean_secs());
        means.min_by(f64::total_cmp).unwrap_or(1e-3)
    }

    /// Returns the lowest mean processing time of the leafs, without network time; 1 ms if none is
    /// known, and at least 0.1 ms.
    pub(crate) fn min_processing_secs(&self) -> f64 {
        let processing_secs = |r: &Replica<C::Connection, P::Limit>| {
            Some(r.latency.mean_secs()? - r.round_trip_secs())
        };
        let lowest = self
            .replicas
            .iter()
            .filter_map(processing_secs)
            .min_by(f64::total_cmp);
        lowest.unwrap_or(1e-3).max(1e-4)
    }

    /// Returns the set of replicas that a hedge may go to.
    ///
    /// Much slower ones are left out, since they would not answer before the first attempt.
    pub(crate) fn hedge_targets(&self, now: Instant) -> u64 {
        let max = choice::MAX_SCORE_FACTOR * self.min_mean_secs();
        let fast_enough = |r: &Replica<C::Connection, P::Limit>| {
            r.is_usable(now) && r.latency.expected_secs(max / choice::MAX_SCORE_FACTOR, now) <= max
        };
        self.matching(fast_enough)
    }

    /// Chooses the replica for a request of `lane`; `None` if the request has to wait.
    pub(crate) fn choose(
        &mut self,
        lane: usize,
        owed: bool,
        eligible: u64,
        now: Instant,
    ) -> Option<usize> {
        let (slots, queued, processing_secs) = (
            self.role.limits.slots,
            self.queue.len(),
            self.min_processing_secs(),
        );
        let lanes = &self.lanes;
        let healthy = self.matching(|r| r.is_usable(now)) != 0;
        let views = self.replicas.iter().enumerate().filter_map(|(index, r)| {
            let limit = match healthy {
                true => r.allowed(now),
                false => u32::from(r.is_last_resort(now)),
            };
            let is_open = r.restriction.is_open_for(lane, now);
            if eligible >> index & 1 == 0 || limit == 0 || !is_open {
                return None;
            }
            let full = r.in_flight >= lanes.max_in_flight(lane, owed, limit, slots);
            // A full leaf is worth waiting for; a free one without a connection may be unreachable.
            (full || r.pool.has_idle()).then(|| View {
                index,
                in_flight: r.in_flight,
                limit,
                latency: r.expected_secs(processing_secs, now),
                queued,
                free: !full,
                success: r.health.success(now),
            })
        });
        self.choice.choose(&mut self.rng, views)
    }

    /// Reserves a connection to replica `index` for a request.
    pub(crate) fn reserve(
        &mut self,
        rank: Rank,
        index: usize,
        now: Instant,
    ) -> Option<Reservation<C::Connection>> {
        let charged_secs = self.usage.cost(rank).as_secs_f64();
        let replica = &mut self.replicas[index];
        let connection = replica.pool.acquire(now)?;
        replica.restriction.record_sent(now);
        replica.in_flight += 1;
        let in_flight = replica.in_flight;
        self.lanes.charge(rank, charged_secs);
        Some(Reservation {
            replica: index,
            connection,
            in_flight,
            charged_secs,
        })
    }

    /// Returns the time after which a search of `rank` at `replica` counts as slow.
    ///
    /// It is at most three times that of the best other leaf, so that a leaf that is always slow is
    /// hedged too.
    pub(crate) fn slow_after(
        &self,
        replica: usize,
        rank: Rank,
        quantile: Quantile,
    ) -> Option<Duration> {
        let quantile_of = |r: &Replica<C::Connection, P::Limit>| r.latency.quantile(rank, quantile);
        let others = self.replicas.iter().enumerate();
        let best = others
            .filter(|(i, _)| *i != replica)
            .filter_map(|(_, r)| quantile_of(r))
            .min();
        match (quantile_of(&self.replicas[replica]), best) {
            (Some(own), Some(best)) => Some(own.min(best * 3)),
            (own, best) => own.or(best.map(|b| b * 3)),
        }
    }
}
