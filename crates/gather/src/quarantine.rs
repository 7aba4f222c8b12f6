//! Quarantine of calls that crash the leafs that run them.
//!
//! A leaf that crashes ends all calls that it was running, and one of these is to blame. A call that
//! crashes leafs never gets a reply from any, so a single reply clears a call. A call under which some
//! leafs were lost without a reply is *suspected*: it is next sent to a single leaf, on trial. If that
//! leaf is lost too, the call is *quarantined* and not sent to any leaf for a while.
//!
//! Only calls under which leafs were lost have a record, so callers that make up calls cost nothing.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use rand::Rng as _;
use rattanmast_model::{
    fingerprint::Fingerprint,
    hash::Map,
    quarantine::{Level, Listener, Report},
};
use tokio::{sync::mpsc, time::Instant};

use crate::evidence::Evidence;

/// Number of leafs lost under a call, without a reply from any, from which it is suspected.
const SUSPECTED_LOSSES: u32 = 2;

/// Time for which a call is suspected.
const SUSPICION_TIME: Duration = Duration::from_mins(1);

/// Time for which a call is quarantined; after it, leafs may run a release that survives the call.
const QUARANTINE_TIME: Duration = Duration::from_mins(10);

/// Upper bound of the random extension of a record's time, so that not all hosts drop it at once.
const MAX_EXTENSION: f64 = 0.1;

/// Maximum number of records; beyond that, the one that ends first is dropped.
const MAX_RECORDS: usize = 1_024;

/// Number of announcements that may wait for the platform.
const MAX_PENDING_ANNOUNCEMENTS: usize = 64;

/// A change that other hosts should know.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Announcement {
    /// The call.
    pub fingerprint: Fingerprint,
    /// How the call is treated from now on; `None` if it is no longer treated differently.
    pub level: Option<Level>,
}

/// What is known of one call.
#[derive(Clone, Copy, Debug)]
struct Record {
    /// Leafs that were lost under the call, as far as this host knows.
    lost: u32,
    /// `None` before the call is suspected.
    level: Option<Level>,
    /// Whether the platform lists the record, as far as this host knows.
    listed: bool,
    /// Whether the call is on trial at this host.
    on_trial: bool,
    end: Instant,
}

/// The calls that this host treats differently from others; clones share the same state.
#[derive(Clone, Debug)]
pub struct Quarantine {
    records: Arc<Mutex<Map<Fingerprint, Record>>>,
    announcements: mpsc::Sender<Announcement>,
}

/// How a call may run now.
#[derive(Debug)]
pub(crate) enum Admission {
    /// Like any other call.
    Free,
    /// At a single leaf first, and at others once that has replied.
    Trial(Trial),
    /// Not at all, for this time.
    Rejected(Duration),
}

/// The only trial of a call at this host, which ends when this value is dropped.
#[derive(Debug)]
pub(crate) struct Trial {
    quarantine: Quarantine,
    fingerprint: Fingerprint,
}

impl Drop for Trial {
    fn drop(&mut self) {
        if let Some(record) = self.quarantine.lock().get_mut(&self.fingerprint) {
            record.on_trial = false;
        }
    }
}

/// Time after which a call may be tried again that another call like it is on trial for.
const TRIAL_RETRY_DELAY: Duration = Duration::from_millis(100);

impl Quarantine {
    /// Returns an empty quarantine, and the announcements that other hosts should receive.
    pub fn new() -> (Self, mpsc::Receiver<Announcement>) {
        let (announcements, receiver) = mpsc::channel(MAX_PENDING_ANNOUNCEMENTS);
        let quarantine = Self {
            records: Arc::default(),
            announcements,
        };
        (quarantine, receiver)
    }

    fn lock(&self) -> MutexGuard<'_, Map<Fingerprint, Record>> {
        self.records.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns whether no call is treated differently, so that none needs a fingerprint.
    pub(crate) fn is_empty(&self) -> bool {
        self.lock().is_empty()
    }

    /// Returns the number of quarantined calls.
    pub fn quarantined(&self) -> usize {
        let records = self.lock();
        let quarantined = records.values();
        quarantined
            .filter(|r| r.level == Some(Level::Quarantined))
            .count()
    }

    /// Returns how a call may run now.
    pub(crate) fn admit(&self, fingerprint: Fingerprint) -> Admission {
        let now = Instant::now();
        let mut records = self.lock();
        let Some(record) = records.get_mut(&fingerprint).filter(|r| now < r.end) else {
            return Admission::Free;
        };
        match record.level {
            None => Admission::Free,
            Some(Level::Quarantined) => Admission::Rejected(record.end - now),
            Some(Level::Suspected) if record.on_trial => Admission::Rejected(TRIAL_RETRY_DELAY),
            Some(Level::Suspected) => {
                record.on_trial = true;
                Admission::Trial(Trial {
                    quarantine: self.clone(),
                    fingerprint,
                })
            }
        }
    }

    /// Records what a call revealed.
    pub(crate) fn record(&self, fingerprint: Fingerprint, evidence: Evidence, on_trial: bool) {
        let change = match evidence.replied {
            true => self.clear(fingerprint),
            false if evidence.lost == 0 => None,
            false => self.record_loss(fingerprint, evidence.lost, on_trial),
        };
        if let Some(change) = change {
            self.announce(change);
        }
    }

    /// Drops the record of a call that a leaf has survived.
    fn clear(&self, fingerprint: Fingerprint) -> Option<Announcement> {
        let record = self.lock().remove(&fingerprint)?;
        record.level?;
        log::info!("event=call_cleared fingerprint={fingerprint}");
        record.listed.then_some(Announcement {
            fingerprint,
            level: None,
        })
    }

    fn record_loss(
        &self,
        fingerprint: Fingerprint,
        lost: u32,
        on_trial: bool,
    ) -> Option<Announcement> {
        let now = Instant::now();
        let mut records = self.lock();
        let record = find_or_insert(&mut records, fingerprint, now);
        record.lost = record.lost.saturating_add(lost);
        let level = match on_trial {
            true => Some(Level::Quarantined),
            false if record.lost >= SUSPECTED_LOSSES => Some(Level::Suspected),
            false => None,
        };
        if level <= record.level {
            return None;
        }
        record.raise(level, now);
        let (lost, level) = (record.lost, level?);
        log::warn!(
            "event=call_{} fingerprint={fingerprint} lost={lost}",
            level.name()
        );
        Some(Announcement {
            fingerprint,
            level: Some(level),
        })
    }

    /// Records how the platform lists a call.
    pub fn apply(&self, fingerprint: Fingerprint, level: Level) {
        self.raise(Report { fingerprint, level });
        if let Some(record) = self.lock().get_mut(&fingerprint) {
            record.listed = true;
        }
    }

    /// Records how another host treats a call.
    fn raise(&self, Report { fingerprint, level }: Report) {
        let now = Instant::now();
        let mut records = self.lock();
        let record = find_or_insert(&mut records, fingerprint, now);
        if record.level < Some(level) {
            record.raise(Some(level), now);
            log::info!(
                "event=call_{} fingerprint={fingerprint} by=another-host",
                level.name()
            );
        }
    }

    /// Records that other hosts no longer treat a call differently.
    pub fn withdraw(&self, fingerprint: Fingerprint) {
        self.lock().remove(&fingerprint);
    }

    /// Drops the records whose time is over, and announces those that the platform still lists.
    pub fn drop_expired(&self) {
        let now = Instant::now();
        let mut listed = Vec::new();
        self.lock().retain(|fingerprint, record| {
            let expired = record.end <= now;
            if expired && record.listed {
                listed.push(*fingerprint);
            }
            !expired
        });
        for fingerprint in listed {
            self.announce(Announcement {
                fingerprint,
                level: None,
            });
        }
    }

    /// Announces a change; if too many are waiting, other hosts have to find out themselves.
    fn announce(&self, announcement: Announcement) {
        if let Err(error) = self.announcements.try_send(announcement) {
            let fingerprint = announcement.fingerprint;
            log::warn!("event=announcement_dropped fingerprint={fingerprint} why=\"{error}\"");
        }
    }
}

impl Listener for Quarantine {
    fn hear(&self, report: Report) {
        self.raise(report);
    }
}

impl Record {
    fn raise(&mut self, level: Option<Level>, now: Instant) {
        self.level = level;
        let time = match level {
            Some(Level::Quarantined) => QUARANTINE_TIME,
            _ => SUSPICION_TIME,
        };
        self.end = now + time.mul_f64(1.0 + rand::rng().random_range(0.0..MAX_EXTENSION));
    }
}

/// Returns the record of a call; a new one if it has none.
fn find_or_insert(
    records: &mut Map<Fingerprint, Record>,
    fingerprint: Fingerprint,
    now: Instant,
) -> &mut Record {
    if records.len() >= MAX_RECORDS {
        make_room(records, now);
    }
    records.entry(fingerprint).or_insert(Record {
        lost: 0,
        level: None,
        listed: false,
        on_trial: false,
        end: now + SUSPICION_TIME,
    })
}

/// Makes room for one more record.
fn make_room(records: &mut Map<Fingerprint, Record>, now: Instant) {
    records.retain(|_, record| now < record.end);
    let first = records
        .iter()
        .min_by_key(|(_, record)| (record.level, record.end));
    if let Some(fingerprint) = first.map(|(fingerprint, _)| *fingerprint)
        && records.len() >= MAX_RECORDS
    {
        records.remove(&fingerprint);
    }
}
