//! Putting a plan in force, and reading what was put in force before.

use std::{fmt, time::Duration};

use rattanmast_model::{
    config::{Config, Version},
    store::{self, Store},
};
use serde::Serialize;
use smol_str::SmolStr;
use snafu::{ResultExt, Snafu, ensure};

use crate::{
    plan::{self, Plan},
    record::{self, Change, Record},
};

/// A result of this module.
pub type Result<T> = std::result::Result<T, Error>;

/// How long a roster must have been written before the next one may be, in milliseconds.
///
/// A roster is in force everywhere, or its holders have stopped, 3 s after it is written; the
/// rest allows for operators' clocks that differ.
pub const ROSTER_PAUSE_MS: u64 = 10_000;

/// Times that a confirm is tried while the platform does not answer.
const TRIES: u32 = 5;

/// The wait before the second try; it doubles with each.
const RETRY: Duration = Duration::from_millis(100);

/// The most versions that a loser is told about.
const TOLD: u64 = 10;

/// The most lines of a change that are kept.
const LINES: usize = 50;

/// Why a plan did not take effect, or is not known to have.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The plan cannot be confirmed by anyone; nothing was written.
    #[snafu(transparent)]
    Plan {
        /// Why.
        source: plan::Error,
    },
    /// Someone else changed the configuration; nothing was written.
    #[snafu(display(
        "configuration is at version {}, not {} that the plan was made on; plan again: {}",
        current.0, base.0, Told(others)
    ))]
    Raced {
        /// The version that the plan was made on.
        base: Version,
        /// The version in the platform.
        current: Version,
        /// Who changed what since.
        others: Vec<Entry>,
    },
    /// The stored configuration is not the one that the plan was made on; nothing was written.
    #[snafu(display(
        "version {} in the platform differs from the one that the plan was made on; plan again",
        base.0
    ))]
    Differs {
        /// The version.
        base: Version,
    },
    /// The roster changed a moment ago; nothing was written.
    #[snafu(display(
        "roster changed {age_ms} ms ago; confirm again in {} ms, when that change is in force",
        ROSTER_PAUSE_MS.saturating_sub(*age_ms)
    ))]
    Soon {
        /// Time since the last change.
        age_ms: u64,
    },
    /// The platform did not answer; nothing was written.
    #[snafu(display("{source}; nothing was written"))]
    Unwritten {
        /// Why.
        source: store::Error,
    },
    /// The platform did not answer after a write may have taken effect.
    #[snafu(display("{source}; the plan may have taken effect: run the same confirm again"))]
    Unsettled {
        /// Why.
        source: store::Error,
    },
    /// A stored configuration cannot be read.
    #[snafu(display("object {name} is not a configuration ({source}); restore it from history"))]
    Unreadable {
        /// The object.
        name: String,
        /// Why.
        source: serde_json::Error,
    },
}

/// A change in the history.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Entry {
    /// The version that it made.
    pub version: Version,
    /// What it was; `None` if it was not made by a plan.
    pub change: Option<Change>,
}

struct Told<'a>(&'a [Entry]);

impl fmt::Display for Told<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, entry) in self.0.iter().enumerate() {
            let by = entry.change.as_ref().map_or("someone", |c| c.by.as_str());
            let lines = entry.change.as_ref().map(|c| c.lines.join("; "));
            let lines = lines.unwrap_or_else(|| "unknown changes".to_owned());
            let gap = if i == 0 { "" } else { " | " };
            write!(f, "{gap}{by} made version {}: {lines}", entry.version.0)?;
        }
        Ok(())
    }
}

/// What a confirm did.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Done {
    /// The version that the plan made.
    pub version: Version,
    /// Who confirmed it; another operator if the same plan was confirmed twice.
    pub by: SmolStr,
    /// Whether an earlier confirm had done it.
    pub already: bool,
}

/// The newest configuration in the platform.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Current {
    /// The record.
    pub record: Record,
    /// Its version in the platform; `None` if there is none yet.
    pub object: Option<store::Version>,
}

/// Reads the newest configuration.
///
/// # Errors
///
/// If the platform does not answer or holds something else.
pub async fn current<S: Store>(store: &S) -> Result<Current> {
    match store.get(record::CURRENT).await {
        Ok(object) => Ok(Current {
            record: read(record::CURRENT, &object.value)?,
            object: Some(object.version),
        }),
        Err(store::Error::Missing { .. }) => Ok(Current::default()),
        Err(source) => Err(Error::Unwritten { source }),
    }
}

/// Reads the configuration `version` from the history.
///
/// # Errors
///
/// If the platform does not answer or does not hold it.
pub async fn past<S: Store>(store: &S, version: Version) -> Result<Record> {
    let name = record::history(version);
    let object = store.get(&name).await.context(UnwrittenSnafu)?;
    read(&name, &object.value)
}

/// Reads who changed what, the newest first, at most `count` of them.
///
/// # Errors
///
/// If the platform does not answer.
pub async fn changes<S: Store>(store: &S, count: u64) -> Result<Vec<Entry>> {
    let current = current(store).await?.record;
    let first = current.config.version.0.saturating_sub(count);
    since(store, &current, Version(first)).await
}

/// Puts `plan` in force as `by`, or nothing at all.
///
/// Running it again is harmless. `now_ms` is the wall clock, since the Unix epoch.
///
/// # Errors
///
/// If the plan may not take effect, or is not known to have taken effect.
pub async fn confirm<S: Store>(store: &S, plan: &Plan, by: &str, now_ms: u64) -> Result<Done> {
    plan.check()?;
    let mut wait = RETRY;
    let mut sent = false;
    let mut left = TRIES;
    loop {
        left -= 1;
        let source = match attempt(store, plan, by, now_ms, &mut sent).await {
            Ok(Some(done)) => return Ok(done),
            // Someone wrote in between: the next attempt reads who.
            Ok(None) => store::Error::Conflict {
                name: record::CURRENT.to_owned(),
            },
            Err(Error::Unwritten { source }) => source,
            Err(e) => return Err(e),
        };
        if left == 0 {
            return Err(match sent {
                true => Error::Unsettled { source },
                false => Error::Unwritten { source },
            });
        }
        tokio::time::sleep(wait).await;
        wait *= 2;
    }
}

/// Tries once; `sent` is set when a write may have taken effect.
async fn attempt<S: Store>(
    store: &S,
    plan: &Plan,
    by: &str,
    now_ms: u64,
    sent: &mut bool,
) -> Result<Option<Done>> {
    let Current { record, object } = current(store).await?;
    if let Some(done) = settled(store, plan, &record, by, *sent).await? {
        return Ok(Some(done));
    }
    let base = plan.base;
    if record.config.version != base {
        let newest = record.config.version.0;
        let told = Version(base.0.max(newest.saturating_sub(TOLD)));
        let others = since(store, &record, told).await?;
        let current = record.config.version;
        return RacedSnafu {
            base,
            current,
            others,
        }
        .fail();
    }
    let same = plan.base_sha256 == plan::hash_of(&record.config);
    ensure!(same, DiffersSnafu { base });
    let change = change(plan, &record, by, now_ms)?;
    if base != Version::default() {
        keep(store, &record).await?;
    }

    let next = Record {
        config: plan.target.clone(),
        change: Some(change),
    };
    let bytes = to_bytes(&next)?;
    let written = match object {
        Some(version) => store.update(record::CURRENT, version, &bytes).await,
        None => store.create(record::CURRENT, &bytes).await,
    };
    match written {
        Ok(_) => {}
        Err(store::Error::Conflict { .. }) => return Ok(None),
        Err(source) => {
            *sent |= matches!(source, store::Error::Lost { .. });
            return Err(Error::Unwritten { source });
        }
    }
    // A history object that is missing is written by the next confirm.
    if let Err(e) = keep(store, &next).await {
        let version = plan.target.version.0;
        log::warn!("version {version} is not in the history yet: {e}");
    }
    Ok(Some(Done {
        version: plan.target.version,
        by: SmolStr::new(by),
        already: false,
    }))
}

/// Returns what became of `plan` if it has taken effect.
async fn settled<S: Store>(
    store: &S,
    plan: &Plan,
    current: &Record,
    by: &str,
    sent: bool,
) -> Result<Option<Done>> {
    let version = plan.target.version;
    let ours = |change: &Option<Change>| {
        let found = change.as_ref().filter(|c| c.plan == plan.digest);
        found.map(|c| Done {
            version,
            by: c.by.clone(),
            already: !(sent && c.by == by),
        })
    };
    if current.config.version < version {
        return Ok(None);
    }
    if current.config.version == version {
        let done = ours(&current.change);
        if done.is_some() {
            keep(store, current).await.ok();
        }
        return Ok(done);
    }
    // Whoever wrote the version after ours made sure that ours is in the history first.
    match past(store, version).await {
        Ok(record) => Ok(ours(&record.change)),
        Err(Error::Unwritten {
            source: store::Error::Missing { .. },
        }) => Ok(None),
        Err(e) => Err(e),
    }
}

/// Returns what is stored about the change, if the roster may change now.
fn change(plan: &Plan, record: &Record, by: &str, now_ms: u64) -> Result<Change> {
    let last_ms = record.change.as_ref().map_or(0, |c| c.roster_ms);
    let moves = plan.moves_roster();
    if moves && plan.base != Version::default() {
        let age_ms = now_ms.saturating_sub(last_ms);
        ensure!(age_ms >= ROSTER_PAUSE_MS, SoonSnafu { age_ms });
    }
    let mut lines: Vec<String> = plan.changes.iter().map(ToString::to_string).collect();
    if lines.len() > LINES {
        let more = lines.len() - LINES;
        lines.truncate(LINES);
        lines.push(format!("and {more} more"));
    }
    Ok(Change {
        base: plan.base,
        plan: plan.digest.clone(),
        by: SmolStr::new(by),
        at_ms: now_ms,
        roster_ms: if moves { now_ms } else { last_ms },
        lines,
    })
}

/// Makes sure that `record` is in the history.
async fn keep<S: Store>(store: &S, record: &Record) -> Result<()> {
    let name = record::history(record.config.version);
    match store.create(&name, &to_bytes(record)?).await {
        Ok(_) | Err(store::Error::Conflict { .. }) => Ok(()),
        // All writers of a history object write the same, so it suffices that it exists.
        Err(store::Error::Lost { .. }) => store.get(&name).await.map(drop).context(UnwrittenSnafu),
        Err(source) => Err(Error::Unwritten { source }),
    }
}

/// Returns who changed what after `base`, the newest first.
async fn since<S: Store>(store: &S, current: &Record, base: Version) -> Result<Vec<Entry>> {
    let newest = current.config.version.0;
    if newest <= base.0 {
        return Ok(Vec::new());
    }
    let mut entries = vec![Entry {
        version: current.config.version,
        change: current.change.clone(),
    }];
    for version in (base.0 + 1..newest).rev().map(Version) {
        match past(store, version).await {
            Ok(record) => entries.push(Entry {
                version,
                change: record.change,
            }),
            Err(Error::Unwritten {
                source: store::Error::Missing { .. },
            }) => {}
            Err(e) => return Err(e),
        }
    }
    Ok(entries)
}

fn read(name: &str, value: &[u8]) -> Result<Record> {
    serde_json::from_slice(value).context(UnreadableSnafu { name })
}

fn to_bytes(record: &Record) -> Result<Vec<u8>> {
    let name = record::CURRENT;
    serde_json::to_vec(record).context(UnreadableSnafu { name })
}

/// Tells whether enough watchers hold `version` for it to count as accepted.
///
/// More than half of the watchers of the roster before and of the roster after are needed, so
/// that a host that still has the roster before learns of the change from its own watchers.
pub fn accepted<'a>(
    before: &'a Config,
    after: &'a Config,
    held: impl Fn(&str) -> Option<Version>,
) -> std::result::Result<(), Vec<&'a str>> {
    let mut lacking = Vec::new();
    let mut enough = true;
    for hosts in [&before.hosts, &after.hosts] {
        let watchers = rattanmast_model::roster::watchers(hosts);
        let lack: Vec<&str> = watchers
            .iter()
            .map(|h| h.name.as_str())
            .filter(|name| held(name).is_none_or(|v| v < after.version))
            .collect();
        enough &= watchers.is_empty() || (watchers.len() - lack.len()) * 2 > watchers.len();
        lacking.extend(lack);
    }
    lacking.sort_unstable();
    lacking.dedup();
    if enough { Ok(()) } else { Err(lacking) }
}
