//! Confirming plans, and reading the current configuration and its history.

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

/// The result type of this module.
pub type Result<T> = std::result::Result<T, Error>;

/// Minimum time between two roster changes, in milliseconds.
///
/// Within 3 s after a roster is written, every host has either applied it or stopped serving. The
/// remaining time allows for clock skew between operators.
pub const ROSTER_CHANGE_INTERVAL_MS: u64 = 10_000;

/// Maximum number of attempts to confirm a plan while the platform does not answer.
const MAX_ATTEMPTS: u32 = 5;

/// Delay before the second attempt; it doubles after each attempt.
const INITIAL_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Maximum number of concurrent changes that are reported when a confirm is rejected.
const MAX_REPORTED_VERSIONS: u64 = 10;

/// Maximum number of lines of a change that are stored.
const MAX_CHANGE_LINES: usize = 50;

/// An error because of which a plan did not take effect, or may not have.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The plan is not valid; nothing was written.
    #[snafu(transparent)]
    Plan {
        /// The error in the plan.
        source: plan::Error,
    },
    /// Another operator changed the configuration in the meantime; nothing was written.
    #[snafu(display(
        "configuration is at version {}, but the plan is based on version {}; plan again: {}",
        current.0, base.0, Summary(others)
    ))]
    Conflict {
        /// The version that the plan was based on.
        base: Version,
        /// The current version in the platform.
        current: Version,
        /// The changes since `base`, newest first.
        others: Vec<Entry>,
    },
    /// The stored configuration differs from the one the plan was based on; nothing was written.
    #[snafu(display(
        "version {} in the platform differs from the one that the plan is based on; plan again",
        base.0
    ))]
    BaseMismatch {
        /// The version of both configurations.
        base: Version,
    },
    /// The last roster change is too recent; nothing was written.
    #[snafu(display(
        "roster changed {age_ms} ms ago; confirm again in {} ms, when that change is in force",
        ROSTER_CHANGE_INTERVAL_MS.saturating_sub(*age_ms)
    ))]
    RosterChangedRecently {
        /// Time since the last roster change, in milliseconds.
        age_ms: u64,
    },
    /// A platform call failed, a read or a write that did not take effect; nothing was written.
    #[snafu(display("{source}; nothing was written"))]
    Unavailable {
        /// The error of the platform call.
        source: store::Error,
    },
    /// The platform did not answer after a write may have taken effect.
    #[snafu(display("{source}; the plan may have taken effect: run the same confirm again"))]
    OutcomeUnknown {
        /// The error of the platform call.
        source: store::Error,
    },
    /// A stored configuration can't be parsed.
    #[snafu(display(
        "object {name} is not a configuration ({source}); if it is config/current, overwrite it \
         with the newest valid config/history object"
    ))]
    Unreadable {
        /// The name of the object.
        name: String,
        /// The parser's error.
        source: serde_json::Error,
    },
}

/// An entry of the configuration history.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Entry {
    /// The version that the change produced.
    pub version: Version,
    /// The change; `None` if the version was not written by a plan.
    pub change: Option<Change>,
}

/// A one-line description of history entries.
struct Summary<'a>(&'a [Entry]);

impl fmt::Display for Summary<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, entry) in self.0.iter().enumerate() {
            let by = entry.change.as_ref().map_or("someone", |c| c.by.as_str());
            let lines = entry.change.as_ref().map(|c| c.lines.join("; "));
            let lines = lines.unwrap_or_else(|| "unknown changes".to_owned());
            let separator = if i == 0 { "" } else { " | " };
            write!(
                f,
                "{separator}{by} made version {}: {lines}",
                entry.version.0
            )?;
        }
        Ok(())
    }
}

/// The result of a successful confirm.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Done {
    /// The version that the plan produced.
    pub version: Version,
    /// The operator whose confirm took effect, which may be an earlier one of the same plan.
    pub by: SmolStr,
    /// Whether the plan was already in effect because of an earlier confirm.
    pub already: bool,
}

/// The newest configuration stored in the platform.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Current {
    /// The configuration and the change that produced it.
    pub record: Record,
    /// The platform's version of the object; `None` if there is no configuration yet.
    pub object: Option<store::Version>,
}

/// Reads the newest configuration.
///
/// # Errors
///
/// Returns an error if the platform does not answer or the object is not a configuration.
pub async fn current<S: Store>(store: &S) -> Result<Current> {
    match store.get(record::CURRENT_CONFIG).await {
        Ok(object) => Ok(Current {
            record: parse_record(record::CURRENT_CONFIG, &object.value)?,
            object: Some(object.version),
        }),
        Err(store::Error::NotFound { .. }) => Ok(Current::default()),
        Err(source) => Err(Error::Unavailable { source }),
    }
}

/// Reads the configuration `version` from the history.
///
/// # Errors
///
/// Returns an error if the platform does not answer or has no such version.
pub async fn read_version<S: Store>(store: &S, version: Version) -> Result<Record> {
    let name = record::history(version);
    let object = store.get(&name).await.context(UnavailableSnafu)?;
    parse_record(&name, &object.value)
}

/// Reads the latest `count` entries of the history, newest first.
///
/// # Errors
///
/// Returns an error if the platform does not answer.
pub async fn read_history<S: Store>(store: &S, count: u64) -> Result<Vec<Entry>> {
    let current = current(store).await?.record;
    let first = current.config.version.0.saturating_sub(count);
    entries_since(store, &current, Version(first)).await
}

/// Applies `plan` atomically on behalf of the operator `by`.
///
/// The call is idempotent. `now_ms` is the wall-clock time in milliseconds since the Unix epoch.
///
/// # Errors
///
/// Returns an error if the plan was rejected, or if it is unknown whether it took effect.
pub async fn confirm<S: Store>(store: &S, plan: &Plan, by: &str, now_ms: u64) -> Result<Done> {
    plan.check()?;
    let mut delay = INITIAL_RETRY_DELAY;
    let mut maybe_written = false;
    let mut attempts_left = MAX_ATTEMPTS;
    loop {
        attempts_left -= 1;
        let source = match attempt(store, plan, by, now_ms, &mut maybe_written).await {
            Ok(Some(done)) => return Ok(done),
            // Another operator wrote concurrently; the next attempt reads that change.
            Ok(None) => store::Error::Conflict {
                name: record::CURRENT_CONFIG.to_owned(),
            },
            Err(Error::Unavailable { source }) => source,
            Err(e) => return Err(e),
        };
        if attempts_left == 0 {
            return Err(match maybe_written {
                true => Error::OutcomeUnknown { source },
                false => Error::Unavailable { source },
            });
        }
        tokio::time::sleep(delay).await;
        delay *= 2;
    }
}

/// Makes one attempt; sets `maybe_written` if the write may have taken effect.
///
/// Returns `None` if another write came in between.
async fn attempt<S: Store>(
    store: &S,
    plan: &Plan,
    by: &str,
    now_ms: u64,
    maybe_written: &mut bool,
) -> Result<Option<Done>> {
    let Current { record, object } = current(store).await?;
    if let Some(done) = find_applied(store, plan, &record, by, *maybe_written).await? {
        return Ok(Some(done));
    }
    let base = plan.base;
    if record.config.version != base {
        let newest = record.config.version.0;
        let oldest_reported = Version(base.0.max(newest.saturating_sub(MAX_REPORTED_VERSIONS)));
        let others = entries_since(store, &record, oldest_reported).await?;
        let current = record.config.version;
        return ConflictSnafu {
            base,
            current,
            others,
        }
        .fail();
    }
    let same = plan.base_sha256 == plan::config_hash(&record.config);
    ensure!(same, BaseMismatchSnafu { base });
    let change = build_change(plan, &record, by, now_ms)?;
    if base != Version::default() {
        ensure_in_history(store, &record).await?;
    }

    let next = Record {
        config: plan.target.clone(),
        change: Some(change),
    };
    let bytes = to_bytes(&next)?;
    let written = match object {
        Some(version) => store.update(record::CURRENT_CONFIG, version, &bytes).await,
        None => store.create(record::CURRENT_CONFIG, &bytes).await,
    };
    match written {
        Ok(_) => {}
        Err(store::Error::Conflict { .. }) => return Ok(None),
        Err(source) => {
            *maybe_written |= matches!(source, store::Error::ResponseLost { .. });
            return Err(Error::Unavailable { source });
        }
    }
    // If this write fails, the next confirm adds the missing history object.
    if let Err(e) = ensure_in_history(store, &next).await {
        let version = plan.target.version.0;
        log::warn!("failed to add version {version} to the history; the next confirm adds it: {e}");
    }
    Ok(Some(Done {
        version: plan.target.version,
        by: SmolStr::new(by),
        already: false,
    }))
}

/// Returns the result of `plan` if it has already taken effect.
async fn find_applied<S: Store>(
    store: &S,
    plan: &Plan,
    current: &Record,
    by: &str,
    maybe_written: bool,
) -> Result<Option<Done>> {
    let version = plan.target.version;
    let applied_by = |change: &Option<Change>| {
        let found = change.as_ref().filter(|c| c.plan == plan.digest);
        found.map(|c| Done {
            version,
            by: c.by.clone(),
            already: !(maybe_written && c.by == by),
        })
    };
    if current.config.version < version {
        return Ok(None);
    }
    if current.config.version == version {
        let done = applied_by(&current.change);
        if done.is_some() {
            ensure_in_history(store, current).await.ok();
        }
        return Ok(done);
    }
    // The writer of a later version adds the previous one to the history first, so if the plan
    // took effect, the history contains it.
    match read_version(store, version).await {
        Ok(record) => Ok(applied_by(&record.change)),
        Err(Error::Unavailable {
            source: store::Error::NotFound { .. },
        }) => Ok(None),
        Err(e) => Err(e),
    }
}

/// Builds the stored description of the change, and checks that the roster may change now.
fn build_change(plan: &Plan, record: &Record, by: &str, now_ms: u64) -> Result<Change> {
    let last_ms = record.change.as_ref().map_or(0, |c| c.roster_ms);
    let changes_roster = plan.changes_roster();
    if changes_roster && plan.base != Version::default() {
        let age_ms = now_ms.saturating_sub(last_ms);
        ensure!(
            age_ms >= ROSTER_CHANGE_INTERVAL_MS,
            RosterChangedRecentlySnafu { age_ms }
        );
    }
    let mut lines: Vec<String> = plan.changes.iter().map(ToString::to_string).collect();
    if lines.len() > MAX_CHANGE_LINES {
        let more = lines.len() - MAX_CHANGE_LINES;
        lines.truncate(MAX_CHANGE_LINES);
        lines.push(format!("and {more} more"));
    }
    Ok(Change {
        base: plan.base,
        plan: plan.digest.clone(),
        by: SmolStr::new(by),
        at_ms: now_ms,
        roster_ms: if changes_roster { now_ms } else { last_ms },
        lines,
    })
}

/// Adds `record` to the history if it is missing.
async fn ensure_in_history<S: Store>(store: &S, record: &Record) -> Result<()> {
    let name = record::history(record.config.version);
    match store.create(&name, &to_bytes(record)?).await {
        Ok(_) | Err(store::Error::Conflict { .. }) => Ok(()),
        // All writers of a history object write the same bytes, so checking its existence is enough.
        Err(store::Error::ResponseLost { .. }) => {
            store.get(&name).await.map(drop).context(UnavailableSnafu)
        }
        Err(source) => Err(Error::Unavailable { source }),
    }
}

/// Returns the history entries after `base`, newest first.
async fn entries_since<S: Store>(store: &S, current: &Record, base: Version) -> Result<Vec<Entry>> {
    let newest = current.config.version.0;
    if newest <= base.0 {
        return Ok(Vec::new());
    }
    let mut entries = vec![Entry {
        version: current.config.version,
        change: current.change.clone(),
    }];
    for version in (base.0 + 1..newest).rev().map(Version) {
        match read_version(store, version).await {
            Ok(record) => entries.push(Entry {
                version,
                change: record.change,
            }),
            Err(Error::Unavailable {
                source: store::Error::NotFound { .. },
            }) => {}
            Err(e) => return Err(e),
        }
    }
    Ok(entries)
}

fn parse_record(name: &str, value: &[u8]) -> Result<Record> {
    serde_json::from_slice(value).context(UnreadableSnafu { name })
}

fn to_bytes(record: &Record) -> Result<Vec<u8>> {
    let name = record::CURRENT_CONFIG;
    serde_json::to_vec(record).context(UnreadableSnafu { name })
}

/// Checks whether enough watchers hold the version of `after` for it to count as accepted.
///
/// A majority of the watchers of the old roster and a majority of those of the new roster are
/// required, so that a host that still has the old roster learns of the change from its watchers.
///
/// # Errors
///
/// Returns the names of the watchers that don't hold the version yet.
pub fn accepted<'a>(
    before: &'a Config,
    after: &'a Config,
    held: impl Fn(&str) -> Option<Version>,
) -> std::result::Result<(), Vec<&'a str>> {
    let mut all_missing = Vec::new();
    let mut accepted = true;
    for hosts in [&before.hosts, &after.hosts] {
        let watchers = rattanmast_model::roster::watchers(hosts);
        let missing: Vec<&str> = watchers
            .iter()
            .map(|h| h.name.as_str())
            .filter(|name| held(name).is_none_or(|v| v < after.version))
            .collect();
        accepted &= watchers.is_empty() || (watchers.len() - missing.len()) * 2 > watchers.len();
        all_missing.extend(missing);
    }
    all_missing.sort_unstable();
    all_missing.dedup();
    if accepted { Ok(()) } else { Err(all_missing) }
}
