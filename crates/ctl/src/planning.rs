//! The commands `plan` and `confirm`.

use std::{fs, path::Path, time::Duration};

use rattanmast_model::{
    config::{Config as Installation, Version},
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
    cli::Aim,
    config::Config,
    error::{PlanSnafu, ReadSnafu, Result, UnacceptedSnafu, WriteSnafu},
    exit::Code,
    hosts, show,
};

/// Time between looks at whether the watchers have a change.
const LOOK: Duration = Duration::from_millis(200);

/// Shows what `aim` would change, and writes the plan to `out`.
///
/// # Errors
///
/// If the intent has a fault, or the platform does not answer.
pub async fn plan<S: Store>(
    config: &Config,
    store: &S,
    aim: &Aim,
    out: Option<&Path>,
) -> Result<Code> {
    let intent = match aim {
        Aim::Rollback(version) => {
            let past = accept::past(store, Version(*version)).await?;
            Intent::from(&past.config)
        }
        Aim::Intent(path) => {
            let text = fs::read_to_string(path).context(ReadSnafu { path })?;
            intent::parse(&path.display().to_string(), &text)?
        }
    };
    let current = accept::current(store).await?.record.config;
    let plan = plan::make(&current, &intent);
    match config.json {
        true => println!("{}", show::json(&plan)?),
        false => println!("{}", show::plan(&plan, config.color)),
    }
    if let Some(path) = out {
        fs::write(path, show::json(&plan)?).context(WriteSnafu { path })?;
    }
    let refused = plan.effects.iter().any(|e| e.level == Level::Refusal);
    Ok(if refused { Code::Refused } else { Code::Ok })
}

/// What a confirm did, for programs.
#[derive(Serialize)]
struct Report<'a> {
    #[serde(flatten)]
    done: &'a Done,
    accepted: bool,
    lacking: &'a [String],
}

/// Puts the plan in `path` in force, and waits until it is accepted.
///
/// # Errors
///
/// If the plan did not take effect, or is not known to have.
pub async fn confirm<S: Store>(
    config: &Config,
    store: &S,
    path: &Path,
    by: &str,
    wait: Duration,
) -> Result<Code> {
    let text = fs::read_to_string(path).context(ReadSnafu { path })?;
    let plan: Plan = serde_json::from_str(&text).context(PlanSnafu { path })?;
    let base = at(store, plan.base).await?;
    if plan.moves_roster() && plan.base != Version::default() {
        settled(config, store, &base).await?;
    }
    let done = accept::confirm(store, &plan, by, (config.now_ms)()).await?;
    let lacking = accepted(config, &base, &plan.target, wait).await;
    let accepted = lacking.is_empty();
    let report = Report {
        done: &done,
        accepted,
        lacking: &lacking,
    };
    if config.json {
        println!("{}", show::json(&report)?);
    } else {
        let how = if done.already {
            "already confirmed"
        } else {
            "confirmed"
        };
        println!("version {} {how} by {}", done.version.0, done.by);
        let line = match accepted {
            true => "accepted: more than half of the watchers have it".to_owned(),
            false => format!(
                "written, not yet accepted; watchers without it: {}; see `status`",
                lacking.join(", ")
            ),
        };
        println!("{}", show::mark(accepted, &line, config.color));
    }
    Ok(if accepted { Code::Ok } else { Code::Unaccepted })
}

/// Returns the configuration `version`, which may not be in the history yet.
async fn at<S: Store>(store: &S, version: Version) -> Result<Installation> {
    if version == Version::default() {
        return Ok(Installation::default());
    }
    let current = accept::current(store).await?.record.config;
    if current.version == version {
        return Ok(current);
    }
    Ok(accept::past(store, version).await?.config)
}

/// Checks that the configuration that a roster change builds on is accepted.
async fn settled<S: Store>(config: &Config, store: &S, base: &Installation) -> Result<()> {
    let current = accept::current(store).await?.record.config;
    if current.version != base.version {
        // The plan was confirmed before or lost a race; confirming tells which.
        return Ok(());
    }
    let before = at(store, Version(base.version.0.saturating_sub(1))).await;
    // Without its history, the configuration before is taken to have had the same roster.
    let before = before.unwrap_or_else(|_| base.clone());
    let lacking = accepted(config, &before, base, Duration::ZERO).await;
    let version = base.version.0;
    ensure!(lacking.is_empty(), UnacceptedSnafu { version, lacking });
    Ok(())
}

/// Waits until `after` is accepted; returns the watchers that lack it if it is not in time.
async fn accepted(
    config: &Config,
    before: &Installation,
    after: &Installation,
    wait: Duration,
) -> Vec<String> {
    let end = Instant::now() + wait;
    let mut asked: Vec<&Host> = roster::watchers(&before.hosts);
    for host in roster::watchers(&after.hosts) {
        if !asked.iter().any(|h| h.name == host.name) {
            asked.push(host);
        }
    }
    loop {
        let held = hosts::held(&asked, config.reply).await;
        match accept::accepted(before, after, |name| held.get(name).copied()) {
            Ok(()) => return Vec::new(),
            Err(lacking) if Instant::now() >= end => {
                return lacking.into_iter().map(str::to_owned).collect();
            }
            Err(_) => sleep(LOOK).await,
        }
    }
}
