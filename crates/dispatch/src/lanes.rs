//! The order in which queued requests are served.

use rattanmast_model::{config::Floors, rank::Rank};
use tokio::time::Instant;

/// Maximum credit or debt of a rank towards its floor, as a multiple of the mean slot time of a
/// request.
const MAX_CREDIT_REQUESTS: f64 = 3.0;

/// Factor on the credit that a floor earns.
///
/// It makes up for moments in which a rank has no queued work and cannot use its floor.
const FLOOR_CREDIT_FACTOR: f64 = 1.05;

/// Orders the queued requests of one service.
pub trait Lanes: Send + 'static {
    /// Whether requests are refused or dropped as soon as they cannot meet their deadline.
    const REFUSES_WHEN_TOO_LATE: bool;
    /// Returns the initial state for one service with the given floors.
    fn new(floors: Floors) -> Self;
    /// Sets the floors.
    fn set_floors(&mut self, floors: Floors);
    /// Returns the lane of a request and its sort key within the lane.
    fn queue_key(&self, rank: Rank, arrival: Instant, deadline: Instant) -> (usize, Instant);
    /// Returns the lanes in the order in which they are served, and whether each is owed its floor.
    fn order(&self) -> [(usize, bool); 3];
    /// Returns the number of requests in flight at which a leaf gets no more from `lane`.
    ///
    /// `limit` is the leaf's concurrency limit; `owed` is set if the lane is owed its floor.
    fn max_in_flight(&self, lane: usize, owed: bool, limit: u32, slots: u32) -> u32;
    /// Charges a rank for slot time that its request used; negative to correct an earlier charge.
    fn charge(&mut self, rank: Rank, secs: f64);
    /// Returns the share of slot time guaranteed to `rank` while all lanes have queued requests.
    fn floor(&self, rank: Rank) -> f64;
}

/// Strict priority by rank, with a floor for each; earliest deadline first within a rank.
///
/// Each second of slot time that any rank uses credits every rank with its floor, and costs the
/// rank that used it one second. A rank with credit is below its floor.
#[derive(Debug)]
pub struct Ranked {
    floors: Floors,
    credit: [f64; 3],
    mean_secs: f64,
}

impl Lanes for Ranked {
    const REFUSES_WHEN_TOO_LATE: bool = true;

    fn new(floors: Floors) -> Self {
        Self {
            floors,
            credit: [0.0; 3],
            mean_secs: 0.0,
        }
    }

    fn set_floors(&mut self, floors: Floors) {
        self.floors = floors;
    }

    fn queue_key(&self, rank: Rank, _arrival: Instant, deadline: Instant) -> (usize, Instant) {
        (rank.index(), deadline)
    }

    fn order(&self) -> [(usize, bool); 3] {
        let mut lanes = Rank::ALL.map(|r| (r.index(), self.credit[r.index()] > 0.0));
        // The sort is stable: ranks stay in order among those that are owed and those that are not.
        lanes.sort_by_key(|(_, owed)| !owed);
        lanes
    }

    /// If the limit exceeds the leaf's slots, less urgent work leaves the last place within the
    /// limit free, so that urgent work finds a short queue at the leaf; work that is owed its floor
    /// may use that place too.
    fn max_in_flight(&self, lane: usize, owed: bool, limit: u32, slots: u32) -> u32 {
        if lane == 0 || owed {
            limit
        } else {
            limit.min(slots.max(limit.saturating_sub(1)))
        }
    }

    fn charge(&mut self, rank: Rank, secs: f64) {
        if secs > 0.0 {
            self.mean_secs += 0.05 * (secs - self.mean_secs);
        }
        for r in Rank::ALL {
            self.credit[r.index()] += FLOOR_CREDIT_FACTOR * self.floors.of(r) * secs;
        }
        self.credit[rank.index()] -= secs;
        let max = MAX_CREDIT_REQUESTS * self.mean_secs.max(secs);
        self.credit.iter_mut().for_each(|c| *c = c.clamp(-max, max));
    }

    fn floor(&self, rank: Rank) -> f64 {
        self.floors.of(rank)
    }
}

/// First in, first out, regardless of rank.
#[derive(Debug)]
pub struct Fifo;

impl Lanes for Fifo {
    const REFUSES_WHEN_TOO_LATE: bool = false;

    fn new(_floors: Floors) -> Self {
        Self
    }

    fn set_floors(&mut self, _floors: Floors) {}

    fn queue_key(&self, _rank: Rank, arrival: Instant, _deadline: Instant) -> (usize, Instant) {
        (0, arrival)
    }

    fn order(&self) -> [(usize, bool); 3] {
        [(0, false), (1, false), (2, false)]
    }

    fn max_in_flight(&self, _lane: usize, _owed: bool, limit: u32, _slots: u32) -> u32 {
        limit
    }

    fn charge(&mut self, _rank: Rank, _time: f64) {}

    fn floor(&self, _rank: Rank) -> f64 {
        0.0
    }
}
