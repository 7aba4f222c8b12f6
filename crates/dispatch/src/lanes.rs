//! In which order waiting requests are served.

use rattanmast_model::{config::Floors, rank::Rank};
use tokio::time::Instant;

/// Time at leafs that a rank may save up towards its floor, in requests.
const MAX_CREDIT_REQUESTS: f64 = 3.0;

/// What a rank is given for each part of its floor.
///
/// It cannot use its floor in the moments in which none of its work waits.
const FLOOR_FACTOR: f64 = 1.05;

/// Orders the work of one service.
pub trait Lanes: Send + 'static {
    /// Whether requests are refused or dropped as soon as they cannot be in time.
    const EARLY: bool;
    /// Returns the order for a service.
    fn new(floors: Floors) -> Self;
    /// Takes new floors.
    fn set_floors(&mut self, floors: Floors);
    /// Returns the lane of a request and what it is ordered by within the lane.
    fn place(&self, rank: Rank, arrival: Instant, deadline: Instant) -> (usize, Instant);
    /// Returns the lanes in order of service, and whether each is owed its floor.
    fn order(&self) -> [(usize, bool); 3];
    /// Returns how many requests a leaf may have when one from `lane` is sent to it.
    fn max_in_flight(&self, lane: usize, owed: bool, limit: u32, slots: u32) -> u32;
    /// Takes the time at a leaf, in seconds, that a request of `rank` used; negative to correct.
    fn charge(&mut self, rank: Rank, secs: f64);
    /// Returns the share of slot time that `rank` keeps while all lanes wait.
    fn floor(&self, rank: Rank) -> f64;
}

/// Ranks in their order, each with a floor; within a rank the least time left goes first.
///
/// Each second of slot time that is used, by whichever rank, gives each rank its floor in
/// credit, and the rank that used it pays one second. A rank with credit is below its floor.
#[derive(Debug)]
pub struct Ranked {
    floors: Floors,
    credit: [f64; 3],
    mean_secs: f64,
}

impl Lanes for Ranked {
    const EARLY: bool = true;

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

    fn place(&self, rank: Rank, _arrival: Instant, deadline: Instant) -> (usize, Instant) {
        (rank.index(), deadline)
    }

    fn order(&self) -> [(usize, bool); 3] {
        let mut lanes = Rank::ALL.map(|r| (r.index(), self.credit[r.index()] > 0.0));
        // Stable: the order of rank remains among those that are owed and those that are not.
        lanes.sort_by_key(|(_, owed)| !owed);
        lanes
    }

    /// Less urgent work leaves the last place beyond the leaf's slots free, so that urgent work
    /// finds a short queue at the leaf; work below its floor may use that place too.
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
            self.credit[r.index()] += FLOOR_FACTOR * self.floors.of(r) * secs;
        }
        self.credit[rank.index()] -= secs;
        let max = MAX_CREDIT_REQUESTS * self.mean_secs.max(secs);
        self.credit.iter_mut().for_each(|c| *c = c.clamp(-max, max));
    }

    fn floor(&self, rank: Rank) -> f64 {
        self.floors.of(rank)
    }
}

/// First in, first out, whatever the rank.
#[derive(Debug)]
pub struct Fifo;

impl Lanes for Fifo {
    const EARLY: bool = false;

    fn new(_floors: Floors) -> Self {
        Self
    }

    fn set_floors(&mut self, _floors: Floors) {}

    fn place(&self, _rank: Rank, arrival: Instant, _deadline: Instant) -> (usize, Instant) {
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
