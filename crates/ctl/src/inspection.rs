//! The commands `status`, `history` and `explain`.

use std::net::SocketAddr;

use rattanmast_model::{
    catalog::Service,
    config::{Config, Version},
    host::{Host, Name},
    roster,
    store::Store,
};
use rattanmast_state::{accept, status::Status};
use serde::Serialize;
use smol_str::SmolStr;
use snafu::ensure;

use crate::{
    config::Settings,
    error::{NoConfigSnafu, NotFoundSnafu, Result},
    exit::Code,
    hosts, output,
};

/// The status of one host, as shown by `status`.
#[derive(Debug, Serialize)]
struct Row {
    host: Name,
    #[serde(skip_serializing_if = "Option::is_none")]
    status: Option<Status>,
    #[serde(skip_serializing_if = "Option::is_none")]
    failure: Option<String>,
    #[serde(rename = "good")]
    healthy: bool,
}

async fn current_config<S: Store>(store: &S) -> Result<Config> {
    let current = accept::current(store).await?.record.config;
    ensure!(current.version != Version::default(), NoConfigSnafu);
    Ok(current)
}

/// Shows the configuration version of each host.
///
/// If `addrs` is not empty, queries only these hosts and does not read the platform.
///
/// # Errors
///
/// If `addrs` is empty and the platform cannot be read or holds no configuration.
pub async fn status<S: Store>(
    settings: &Settings,
    store: &S,
    addrs: &[SocketAddr],
) -> Result<Code> {
    let (version, rows) = match addrs {
        [] => {
            let current = current_config(store).await?;
            let hosts: Vec<&Host> = current.hosts.iter().collect();
            let answers = hosts::fetch_verified_statuses(&hosts, settings.reply_timeout).await;
            let names = hosts.iter().map(|h| h.name.to_string());
            (current.version, rows(names, answers, current.version))
        }
        addrs => {
            let answers = hosts::fetch_statuses(addrs, settings.reply_timeout).await;
            let newest = answers.iter().flatten().map(|s| s.version).max();
            let newest = newest.unwrap_or_default();
            let names = addrs.iter().map(ToString::to_string);
            (newest, rows(names, answers, newest))
        }
    };
    let all_healthy = rows.iter().all(|row| row.healthy);
    if settings.json {
        println!("{}", output::json(&rows)?);
    } else {
        let version_source = if addrs.is_empty() {
            "platform"
        } else {
            "newest of these hosts"
        };
        println!("version {} ({version_source})", version.0);
        print_table(settings, &rows);
    }
    Ok(if all_healthy { Code::Ok } else { Code::Behind })
}

fn rows(
    names: impl Iterator<Item = String>,
    answers: Vec<std::result::Result<Status, String>>,
    newest: Version,
) -> Vec<Row> {
    let row = |(name, answer): (String, std::result::Result<Status, String>)| {
        let healthy = matches!(&answer, Ok(s) if s.serving && s.version >= newest);
        let (status, failure) = match answer {
            Ok(status) => (Some(status), None),
            Err(failure) => (None, Some(failure)),
        };
        let host = status
            .as_ref()
            .map_or_else(|| SmolStr::from(name), |s| s.host.clone());
        Row {
            host,
            status,
            failure,
            healthy,
        }
    };
    names.zip(answers).map(row).collect()
}

fn print_table(settings: &Settings, rows: &[Row]) {
    let titles = ["host", "version", "serves", "proof", "watcher", "platform"];
    let mut table_rows = vec![titles.map(str::to_owned).to_vec()];
    table_rows.extend(rows.iter().map(cells));
    let table = output::table(&table_rows);
    for (i, line) in table.lines().enumerate() {
        match i.checked_sub(1).and_then(|i| rows.get(i)) {
            Some(row) if !row.healthy => {
                println!("{}", output::colorize_outcome(false, line, settings.color))
            }
            _ => println!("{line}"),
        }
    }
}

fn cells(row: &Row) -> Vec<String> {
    let Some(status) = &row.status else {
        let failure = row.failure.clone().unwrap_or_default();
        return vec![row.host.to_string(), "?".to_owned(), failure];
    };
    let yes_or_no = |b: bool| if b { "yes" } else { "no" }.to_owned();
    let proof_age = status.proof_age_ms.map(|ms| format!("{ms} ms"));
    let platform = if status.platform_down { "down" } else { "-" };
    vec![
        row.host.to_string(),
        status.version.0.to_string(),
        yes_or_no(status.serving),
        proof_age.unwrap_or_else(|| "none".to_owned()),
        yes_or_no(status.watcher),
        platform.to_owned(),
    ]
}

/// Shows the last `count` changes, who made them and when.
///
/// # Errors
///
/// If the platform cannot be read.
pub async fn history<S: Store>(settings: &Settings, store: &S, count: u64) -> Result<Code> {
    let entries = accept::read_history(store, count).await?;
    if settings.json {
        println!("{}", output::json(&entries)?);
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
                    output::utc_time(change.at_ms)
                );
                change.lines.iter().for_each(|line| println!("  {line}"));
            }
        }
    }
    Ok(Code::Ok)
}

/// The current configuration of one named entry.
#[derive(Debug, Serialize)]
struct Explanation {
    version: Version,
    kind: &'static str,
    name: SmolStr,
    lines: Vec<String>,
}

/// Explains the current configuration of a search, caller, collection or host.
///
/// # Errors
///
/// If no entry has that name, or the platform cannot be read.
pub async fn explain<S: Store>(settings: &Settings, store: &S, name: &SmolStr) -> Result<Code> {
    let current = current_config(store).await?;
    let explanations = [
        ("search", explain_search(&current, name)),
        ("caller", explain_caller(&current, name)),
        ("collection", explain_collection(&current, name)),
        ("host", explain_host(&current, name)),
    ];
    let explanations = explanations.into_iter().filter_map(|(kind, lines)| {
        Some(Explanation {
            version: current.version,
            kind,
            name: name.clone(),
            lines: lines?,
        })
    });
    let explanations: Vec<Explanation> = explanations.collect();
    ensure!(
        !explanations.is_empty(),
        NotFoundSnafu {
            name: name.as_str()
        }
    );
    if settings.json {
        println!("{}", output::json(&explanations)?);
        return Ok(Code::Ok);
    }
    for explanation in explanations {
        println!(
            "{} {} in version {}",
            explanation.kind, explanation.name, explanation.version.0
        );
        explanation
            .lines
            .iter()
            .for_each(|line| println!("  {line}"));
    }
    Ok(Code::Ok)
}

fn join_names<'a>(names: impl IntoIterator<Item = &'a SmolStr>) -> String {
    let list: Vec<&str> = names.into_iter().map(SmolStr::as_str).collect();
    if list.is_empty() {
        "none".to_owned()
    } else {
        list.join(", ")
    }
}

fn explain_search(config: &Config, name: &str) -> Option<Vec<String>> {
    let search = config.search(name)?;
    let priority = match search.priority {
        rattanmast_model::config::Priority::Time => "time",
        rattanmast_model::config::Priority::Coverage => "coverage",
    };
    let callers = config
        .callers
        .iter()
        .filter(|c| c.searches.contains(&search.name));
    let mut lines = vec![
        format!(
            "{priority} has priority, coverage at least {}",
            search.least_coverage
        ),
        format!("waits {} ms at most", search.longest_wait_ms),
        format!("callers: {}", join_names(callers.map(|c| &c.name))),
        format!("collection {}:", search.collection),
    ];
    lines.extend(explain_collection(config, &search.collection).unwrap_or_default());
    Some(lines)
}

fn explain_caller(config: &Config, name: &str) -> Option<Vec<String>> {
    let caller = config.callers.iter().find(|c| c.name == name)?;
    Some(vec![
        format!("most urgent rank: {}", caller.rank.name()),
        format!("searches: {}", join_names(&caller.searches)),
        format!("orders to: {}", join_names(&caller.orders)),
        format!(
            "SHA-256 of its key begins with {}",
            caller.key_sha256.get(..8).unwrap_or("?")
        ),
    ])
}

fn explain_collection(config: &Config, name: &str) -> Option<Vec<String>> {
    let collection = config.collection(name)?;
    let limits = collection.limits;
    let per_dispatcher = roster::connections_per_candidate(config.hosts.len(), limits.connections);
    Some(vec![
        format!(
            "{} services of {} leafs",
            collection.services, collection.leafs
        ),
        format!(
            "a leaf works on {} requests at a time and accepts {} connections, {per_dispatcher} of \
             them from each dispatcher; opening one takes {} ms",
            limits.slots, limits.connections, limits.open_ms
        ),
    ])
}

fn explain_host(config: &Config, name: &str) -> Option<Vec<String>> {
    let host = config.hosts.iter().find(|h| h.name == name)?;
    let watcher = roster::watchers(&config.hosts)
        .iter()
        .any(|h| h.name == host.name);
    let mut services_by_position = [0_usize; roster::MAX_CANDIDATES];
    for collection in &config.collections {
        for index in 0..collection.services {
            let collection = collection.name.clone();
            let candidates = roster::dispatchers(&config.hosts, &Service { collection, index });
            if let Some(position) = candidates.iter().position(|h| h.name == host.name) {
                services_by_position[position] += 1;
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
            "candidate dispatcher of {} services as first choice, of {} as second, of {} as third",
            services_by_position[0], services_by_position[1], services_by_position[2]
        ),
    ])
}
