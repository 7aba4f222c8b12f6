//! The commands `status`, `history` and `explain`.

use std::net::SocketAddr;

use rattanmast_model::{
    catalog::Service,
    config::{Config as Installation, Version},
    host::{Host, Name},
    roster,
    store::Store,
};
use rattanmast_state::{accept, status::Status};
use serde::Serialize;
use smol_str::SmolStr;
use snafu::ensure;

use crate::{
    config::Config,
    error::{EmptySnafu, Result, UnnamedSnafu},
    exit::Code,
    hosts, show,
};

/// A host's line of `status`.
#[derive(Debug, Serialize)]
struct Line {
    host: Name,
    #[serde(skip_serializing_if = "Option::is_none")]
    status: Option<Status>,
    #[serde(skip_serializing_if = "Option::is_none")]
    failure: Option<String>,
    good: bool,
}

async fn in_force<S: Store>(store: &S) -> Result<Installation> {
    let current = accept::current(store).await?.record.config;
    ensure!(current.version != Version::default(), EmptySnafu);
    Ok(current)
}

/// Shows which configuration each host has; asks only the hosts at `addrs` if there are any.
///
/// # Errors
///
/// If the platform does not answer and `addrs` is empty.
pub async fn status<S: Store>(config: &Config, store: &S, addrs: &[SocketAddr]) -> Result<Code> {
    let (version, lines) = match addrs {
        [] => {
            let current = in_force(store).await?;
            let hosts: Vec<&Host> = current.hosts.iter().collect();
            let answers = hosts::ask_all(&hosts, config.reply).await;
            let names = hosts.iter().map(|h| h.name.to_string());
            (current.version, lines(names, answers, current.version))
        }
        addrs => {
            let answers = hosts::ask(addrs, config.reply).await;
            let newest = answers.iter().flatten().map(|s| s.version).max();
            let newest = newest.unwrap_or_default();
            let names = addrs.iter().map(ToString::to_string);
            (newest, lines(names, answers, newest))
        }
    };
    let good = lines.iter().all(|l| l.good);
    if config.json {
        println!("{}", show::json(&lines)?);
    } else {
        let whence = if addrs.is_empty() {
            "platform"
        } else {
            "newest of these hosts"
        };
        println!("version {} ({whence})", version.0);
        print(config, &lines);
    }
    Ok(if good { Code::Ok } else { Code::Behind })
}

fn lines(
    names: impl Iterator<Item = String>,
    answers: Vec<std::result::Result<Status, String>>,
    newest: Version,
) -> Vec<Line> {
    let line = |(name, answer): (String, std::result::Result<Status, String>)| {
        let good = matches!(&answer, Ok(s) if s.serving && s.version >= newest);
        let (status, failure) = match answer {
            Ok(status) => (Some(status), None),
            Err(failure) => (None, Some(failure)),
        };
        let host = status
            .as_ref()
            .map_or_else(|| SmolStr::from(name), |s| s.host.clone());
        Line {
            host,
            status,
            failure,
            good,
        }
    };
    names.zip(answers).map(line).collect()
}

fn print(config: &Config, lines: &[Line]) {
    let titles = ["host", "version", "serves", "proof", "watcher", "platform"];
    let mut rows = vec![titles.map(str::to_owned).to_vec()];
    rows.extend(lines.iter().map(row));
    let table = show::table(&rows);
    for (i, text) in table.lines().enumerate() {
        match i.checked_sub(1).and_then(|i| lines.get(i)) {
            Some(line) if !line.good => println!("{}", show::mark(false, text, config.color)),
            _ => println!("{text}"),
        }
    }
}

fn row(line: &Line) -> Vec<String> {
    let Some(status) = &line.status else {
        let failure = line.failure.clone().unwrap_or_default();
        return vec![line.host.to_string(), "?".to_owned(), failure];
    };
    let yes = |b: bool| if b { "yes" } else { "no" }.to_owned();
    let age = status.proof_age_ms.map(|ms| format!("{ms} ms"));
    let platform = if status.platform_down { "down" } else { "-" };
    vec![
        line.host.to_string(),
        status.version.0.to_string(),
        yes(status.serving),
        age.unwrap_or_else(|| "none".to_owned()),
        yes(status.watcher),
        platform.to_owned(),
    ]
}

/// Shows who changed what.
///
/// # Errors
///
/// If the platform does not answer.
pub async fn history<S: Store>(config: &Config, store: &S, count: u64) -> Result<Code> {
    let entries = accept::changes(store, count).await?;
    if config.json {
        println!("{}", show::json(&entries)?);
        return Ok(Code::Ok);
    }
    for entry in entries {
        let version = entry.version.0;
        match entry.change {
            None => println!("version {version}, not made by a plan"),
            Some(change) => {
                println!(
                    "version {version} by {} at {}",
                    change.by,
                    show::time(change.at_ms)
                );
                change.lines.iter().for_each(|line| println!("  {line}"));
            }
        }
    }
    Ok(Code::Ok)
}

/// What is in force for one name.
#[derive(Debug, Serialize)]
struct Explanation {
    version: Version,
    kind: &'static str,
    name: SmolStr,
    lines: Vec<String>,
}

/// Explains what is in force for a search, caller, collection or host.
///
/// # Errors
///
/// If nothing has that name, or the platform does not answer.
pub async fn explain<S: Store>(config: &Config, store: &S, name: &SmolStr) -> Result<Code> {
    let current = in_force(store).await?;
    let found = [
        ("search", search(&current, name)),
        ("caller", caller(&current, name)),
        ("collection", collection(&current, name)),
        ("host", host(&current, name)),
    ];
    let found = found.into_iter().filter_map(|(kind, lines)| {
        Some(Explanation {
            version: current.version,
            kind,
            name: name.clone(),
            lines: lines?,
        })
    });
    let found: Vec<Explanation> = found.collect();
    ensure!(
        !found.is_empty(),
        UnnamedSnafu {
            name: name.as_str()
        }
    );
    if config.json {
        println!("{}", show::json(&found)?);
        return Ok(Code::Ok);
    }
    for e in found {
        println!("{} {} in version {}", e.kind, e.name, e.version.0);
        e.lines.iter().for_each(|line| println!("  {line}"));
    }
    Ok(Code::Ok)
}

fn names<'a>(names: impl IntoIterator<Item = &'a SmolStr>) -> String {
    let list: Vec<&str> = names.into_iter().map(SmolStr::as_str).collect();
    if list.is_empty() {
        "none".to_owned()
    } else {
        list.join(", ")
    }
}

fn search(config: &Installation, name: &str) -> Option<Vec<String>> {
    let search = config.search(name)?;
    let first = match search.priority {
        rattanmast_model::config::Priority::Time => "time",
        rattanmast_model::config::Priority::Coverage => "coverage",
    };
    let callers = config
        .callers
        .iter()
        .filter(|c| c.searches.contains(&search.name));
    let mut lines = vec![
        format!(
            "{first} goes first, coverage at least {}",
            search.least_coverage
        ),
        format!("waits {} ms at most", search.longest_wait_ms),
        format!("callers: {}", names(callers.map(|c| &c.name))),
        format!("collection {}:", search.collection),
    ];
    lines.extend(collection(config, &search.collection).unwrap_or_default());
    Some(lines)
}

fn caller(config: &Installation, name: &str) -> Option<Vec<String>> {
    let caller = config.callers.iter().find(|c| c.name == name)?;
    Some(vec![
        format!("most urgent rank: {}", caller.rank.name()),
        format!("searches: {}", names(&caller.searches)),
        format!("orders to: {}", names(&caller.orders)),
        format!(
            "SHA-256 of its key begins with {}",
            caller.key_sha256.get(..8).unwrap_or("?")
        ),
    ])
}

fn collection(config: &Installation, name: &str) -> Option<Vec<String>> {
    let collection = config.collection(name)?;
    let limits = collection.limits;
    let share = roster::share(config.hosts.len(), limits.connections);
    Some(vec![
        format!(
            "{} services of {} leafs",
            collection.services, collection.leafs
        ),
        format!(
            "a leaf works on {} at a time and accepts {} connections, {share} of them from each \
             dispatcher; opening one takes {} ms",
            limits.slots, limits.connections, limits.open_ms
        ),
    ])
}

fn host(config: &Installation, name: &str) -> Option<Vec<String>> {
    let host = config.hosts.iter().find(|h| h.name == name)?;
    let watcher = roster::watchers(&config.hosts)
        .iter()
        .any(|h| h.name == host.name);
    let mut counts = [0_usize; roster::CANDIDATES];
    for collection in &config.collections {
        for index in 0..collection.services {
            let collection = collection.name.clone();
            let candidates = roster::dispatchers(&config.hosts, &Service { collection, index });
            if let Some(place) = candidates.iter().position(|h| h.name == host.name) {
                counts[place] += 1;
            }
        }
    }
    let watcher = if watcher { "reads" } else { "does not read" };
    Some(vec![
        format!(
            "in failure domain {}, {watcher} the platform for others",
            host.domain
        ),
        format!(
            "http {}, hop {}, exchange {}",
            host.http, host.hop, host.exchange
        ),
        format!(
            "dispatches to {} services first, to {} second, to {} third",
            counts[0], counts[1], counts[2]
        ),
    ])
}
