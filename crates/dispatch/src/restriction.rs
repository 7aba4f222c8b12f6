//! What a leaf currently takes from this host, by its own word.

use std::time::Duration;

use rand::rngs::SmallRng;
use rattanmast_model::leaf::Terms;
use tokio::time::Instant;

use crate::{
    quota::Quota,
    reports::{Report, pause_end},
};

/// How long a rate holds that the leaf named in an answer to another host.
const RELAYED_RATE_TTL: Duration = Duration::from_secs(30);

/// The lane of the most urgent requests.
const FIRST_LANE: usize = 0;

/// The restrictions that the latest answers of one leaf put on this host.
#[derive(Debug)]
pub(crate) struct Restriction {
    /// The number of hosts that send to the leaf.
    holders: u32,
    /// The time until which the leaf wants no request.
    paused_until: Option<Instant>,
    /// This host's part of the rate that the latest answer named.
    quota: Option<Quota>,
    /// The time until which that holds, if the answer was one to another host.
    relayed_rate_until: Option<Instant>,
}

impl Restriction {
    /// Returns no restrictions for one of `holders` hosts.
    pub(crate) fn new(holders: u32) -> Self {
        Self {
            holders,
            paused_until: None,
            quota: None,
            relayed_rate_until: None,
        }
    }

    /// Sets the number of hosts that send to the leaf, which holds from the next answer on.
    pub(crate) fn set_holders(&mut self, holders: u32) {
        self.holders = holders;
    }

    /// Takes over the pause that the leaf asked for earlier.
    pub(crate) fn restore(&mut self, report: Report) {
        self.paused_until = self.paused_until.max(report.paused_until);
    }

    /// Discards what an earlier process of the leaf said.
    pub(crate) fn clear(&mut self) {
        *self = Self::new(self.holders);
    }

    /// Records what an answer said; returns whether the leaf has named another rate than before.
    pub(crate) fn record(&mut self, terms: Terms, now: Instant, rng: &mut SmallRng) -> bool {
        self.paused_until = self.paused_until.max(pause_end(terms, now));
        self.relayed_rate_until = None;
        match terms.rate {
            Some(rate) => self.set_rate(rate, now, rng),
            None => self.quota.take().is_some(),
        }
    }

    /// Records the rate that the leaf named in an answer to another host; returns whether it differs.
    pub(crate) fn record_rate(&mut self, rate: f64, now: Instant, rng: &mut SmallRng) -> bool {
        // A rate of an own answer holds until another own answer.
        if self.quota.is_none() || self.relayed_rate_until.is_some() {
            self.relayed_rate_until = Some(now + RELAYED_RATE_TTL);
        }
        self.set_rate(rate, now, rng)
    }

    /// Returns the rate that the leaf named.
    pub(crate) fn rate(&self) -> Option<f64> {
        self.quota.as_ref().map(Quota::rate)
    }

    fn set_rate(&mut self, rate: f64, now: Instant, rng: &mut SmallRng) -> bool {
        match &mut self.quota {
            Some(quota) => quota.set(rate, self.holders),
            None => {
                self.quota = Some(Quota::new(rate, self.holders, now, rng));
                true
            }
        }
    }

    /// Returns whether the leaf takes a request of any lane now.
    pub(crate) fn is_open(&self, now: Instant) -> bool {
        self.is_open_for(FIRST_LANE, now)
    }

    /// Returns whether the leaf takes a request of `lane` now.
    pub(crate) fn is_open_for(&self, lane: usize, now: Instant) -> bool {
        let is_paused = self.paused_until.is_some_and(|until| now < until);
        let is_outdated = self.relayed_rate_until.is_some_and(|until| until <= now);
        let quota = self.quota.as_ref().filter(|_| !is_outdated);
        !is_paused && quota.is_none_or(|q| q.is_open(lane, now))
    }

    /// Counts a request that is sent.
    pub(crate) fn record_sent(&mut self, now: Instant) {
        if let Some(quota) = &mut self.quota {
            quota.take(now);
        }
    }
}
