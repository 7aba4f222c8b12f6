//! The commands `plan` and `confirm`.

use std::{fs, path::Path, time::Duration};

use rattanmast_model::{
    config::{Config, Version},
    host::Host,
    roster,
    store::Store,
};
use rattanmast_state::{
    accept::{self, Done},
    effect::Level,
    intent::{self, Intent},
    plan::{self, Plan},
};
use serde::Serialize;
use snafu::{ResultExt as _, ensure};
use tokio::time::{Instant, sleep};

use crate::{
    cli::Target,
    config::Settings,
    error::{BaseUnacceptedSnafu, PlanSnafu, ReadSnafu, Result, WriteSnafu},
    exit::Code,
    hosts, output,
};

/// Interval at which `confirm` checks whether the watchers have a change.
const ACCEPT_POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Shows what `target` would change, and writes the plan to `out`.
///
/// # Errors
///
/// If the intent is invalid, the platform cannot be read, or a file cannot be read or written.
pub async fn plan<S: Store>(
    settings: &Settings,
    store: &S,
    target: &Target,
    out: Option<&Path>,
) -> Result<Code> {
    let intent = match target {
        Target::Rollback(version) => {
            let past = accept::read_version(store, Version(*version)).await?;
            Intent::from(&past.config)
        }
        Target::Intent(path) => {
            let text = fs::read_to_string(path).context(ReadSnafu { path })?;
            intent::parse(&path.display().to_string(), &text)?
        }
    };
    let current = accept::current(store).await?.record.config;
    let plan = plan::make(&current, &intent);
    match settings.json {
        true => println!("{}", output::json(&plan)?),
        false => println!("{}", output::plan(&plan, settings.color)),
    }
    if let Some(path) = out {
        fs::write(path, output::json(&plan)?).context(WriteSnafu { path })?;
    }
    let refused = plan.effects.iter().any(|e| e.level == Level::Refusal);
    Ok(if refused { Code::Refused } else { Code::Ok })
}

/// The JSON output of `confirm`.
#[derive(Serialize)]
struct Report<'a> {
    #[serde(flatten)]
    done: &'a Done,
    accepted: bool,
    lacking: &'a [String],
}

/// Applies the plan in `path`, and waits until it is accepted or `wait` has passed.
///
/// # Errors
///
/// If the plan did not take effect, or may not have.
pub async fn confirm<S: Store>(
    settings: &Settings,
    store: &S,
    path: &Path,
    by: &str,
    wait: Duration,
) -> Result<Code> {
    let text = fs::read_to_string(path).context(ReadSnafu { path })?;
    let plan: Plan = serde_json::from_str(&text).context(PlanSnafu { path })?;
    let base = load_config(store, plan.base).await?;
    if plan.changes_roster() && plan.base != Version::default() {
        ensure_base_accepted(settings, store, &base).await?;
    }
    let done = accept::confirm(store, &plan, by, (settings.now_ms)()).await?;
    let lacking = wait_until_accepted(settings, &base, &plan.target, wait).await;
    let accepted = lacking.is_empty();
    let report = Report {
        done: &done,
        accepted,
        lacking: &lacking,
    };
    if settings.json {
        println!("{}", output::json(&report)?);
    } else {
        let verb = if done.already {
            "already confirmed"
        } else {
            "confirmed"
        };
        println!("version {} {verb} by {}", done.version.0, done.by);
        let line = match accepted {
            true => "accepted: more than half of the watchers have it".to_owned(),
            false => format!(
                "written, not yet accepted; watchers without it: {}; see `status`",
                lacking.join(", ")
            ),
        };
        println!(
            "{}",
            output::colorize_outcome(accepted, &line, settings.color)
        );
    }
    Ok(if accepted { Code::Ok } else { Code::Unaccepted })
}

/// Returns the configuration `version`; the current one may not be in the history yet.
async fn load_config<S: Store>(store: &S, version: Version) -> Result<Config> {
    if version == Version::default() {
        return Ok(Config::default());
    }
    let current = accept::current(store).await?.record.config;
    if current.version == version {
        return Ok(current);
    }
    Ok(accept::read_version(store, version).await?.config)
}

/// Checks that `base`, on which a roster change builds, is accepted by its watchers.
async fn ensure_base_accepted<S: Store>(
    settings: &Settings,
    store: &S,
    base: &Config,
) -> Result<()> {
    let current = accept::current(store).await?.record.config;
    if current.version != base.version {
        // The plan is already confirmed or conflicts with another change; `confirm` reports which.
        return Ok(());
    }
    let before = load_config(store, Version(base.version.0.saturating_sub(1))).await;
    // If the history lacks the previous configuration, its roster is assumed to be the same.
    let before = before.unwrap_or_else(|_| base.clone());
    let lacking = wait_until_accepted(settings, &before, base, Duration::ZERO).await;
    let version = base.version.0;
    ensure!(lacking.is_empty(), BaseUnacceptedSnafu { version, lacking });
    Ok(())
}

/// Waits until `after` is accepted or `wait` has passed; returns the watchers that lack it.
///
/// The result is empty if `after` is accepted.
async fn wait_until_accepted(
    settings: &Settings,
    before: &Config,
    after: &Config,
    wait: Duration,
) -> Vec<String> {
    let deadline = Instant::now() + wait;
    let mut watchers: Vec<&Host> = roster::watchers(&before.hosts);
    for host in roster::watchers(&after.hosts) {
        if !watchers.iter().any(|h| h.name == host.name) {
            watchers.push(host);
        }
    }
    loop {
        let versions = hosts::fetch_versions(&watchers, settings.reply_timeout).await;
        match accept::accepted(before, after, |name| versions.get(name).copied()) {
            Ok(()) => return Vec::new(),
            Err(lacking) if Instant::now() >= deadline => {
                return lacking.into_iter().map(str::to_owned).collect();
            }
            Err(_) => sleep(ACCEPT_POLL_INTERVAL).await,
        }
    }
}
