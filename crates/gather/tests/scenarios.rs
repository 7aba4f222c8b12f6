//! Scripted scenarios on a paused clock: `tests/scenarios/*.txt`.
//!
//! Each file runs on its own small fleet of 6 hosts and 6 services (shards) of 2 leafs.
//! `REWRITE=1 cargo test -p rattanmast-gather --test scenarios` writes the actual results into
//! the files; review the difference before committing it. Every answer is also checked against
//! the generated records.
//!
//! A leaf is named by service and replica, as in `2/0`; a dispatcher by the service that it is
//! the first candidate of. The root learns of changes to the data only by `catalog arrives`.

mod common;

use std::{fmt::Write as _, time::Duration};

use common::{COLLECTION, Mode, World, check, query, service};
use rattanmast_fakes::model::{Faults, Leaf};
use rattanmast_model::{
    catalog::Snapshot,
    config::Priority,
    hash::Map,
    host::{self, Incarnation},
    outcome::Outcome,
    peer::Report,
    rank::Rank,
};
use tokio::{task::JoinHandle, time::Instant};

type RunningQueries = Map<String, JoinHandle<String>>;

fn number<T: std::str::FromStr>(word: &str) -> T {
    let number = word.trim_end_matches('x').parse().ok();
    number.expect("the word is a number")
}

/// Starts a query such as `urgent timeout=100 least=0.9 coverage`; its result is printed without
/// figures that depend on latency.
fn start(world: &World, words: &[&str]) -> JoinHandle<String> {
    let value = |name: &str| words.iter().find_map(|w| w.strip_prefix(name));
    let rank = Rank::ALL.into_iter().find(|r| r.name() == words[0]);
    let coverage = words.contains(&"coverage");
    let priority = if coverage {
        Priority::Coverage
    } else {
        Priority::Time
    };
    let timeout = value("timeout=").map_or(200, number);
    let min_coverage = value("least=").map_or(0.9, number);
    let query = query(rank.expect("a rank"), timeout, min_coverage, priority);
    let root = world.root.clone();
    tokio::spawn(async move {
        let (start, prompt_limit) = (Instant::now(), query.timeout / 10);
        let result = root.query(query).await;
        let promptness = if start.elapsed() <= prompt_limit {
            ", told at once"
        } else {
            ""
        };
        result.iter().for_each(check);
        match result {
            Ok(a) => match a.missing.len() {
                0 => format!("whole, snapshot {}", a.snapshot.0),
                n => format!(
                    "partial, snapshot {}, coverage {:.2}, {n} missing",
                    a.snapshot.0, a.coverage
                ),
            },
            Err(Outcome::NotRun { reason, .. }) => format!("not run: {reason:?}{promptness}"),
            Err(other) => format!("{}{promptness}", other.name()),
        }
    })
}

/// Runs a command for a leaf.
fn run_leaf_command(world: &World, leaf: &Leaf, words: &[&str]) {
    match words {
        ["slow", factor] => leaf.set_faults(Faults {
            factor: number(factor),
            ..leaf.faults()
        }),
        ["stops"] => leaf.stop(),
        ["drains"] => leaf.set_draining(true),
        ["silent"] => leaf.silence_connections(),
        ["restarts"] => leaf.restart(),
        ["forgets", "snapshot", n] => {
            let mut held = world
                .data
                .holdings()
                .remove(&leaf.name())
                .unwrap_or_default();
            held.retain(|(snapshot, _)| *snapshot != Snapshot(number(n)));
            leaf.set_holdings(held);
        }
        other => panic!("no such command for a leaf: {other:?}"),
    }
}

/// Runs a command for `host`, which dispatches to the service `service_name`.
fn run_dispatcher_command(world: &World, service_name: &str, host: &host::Name, words: &[&str]) {
    let mode = match words {
        ["dies"] => Mode::Unreachable,
        ["breaks"] => Mode::Broken,
        ["silent"] => Mode::Silent,
        ["refuses"] => Mode::Overloaded,
        ["moved"] => Mode::Elsewhere,
        ["slow", ms] => Mode::Slow(number(ms)),
        ["back"] => Mode::Up,
        ["suspected"] => return world.net.lock().unusable.push(host.clone()),
        ["restarts"] => return world.start(host, Incarnation(20)),
        ["reports", waits @ ..] => {
            let waits = [0, 1, 2].map(|i| number::<u32>(waits[i]) * 1_000);
            let waits = vec![(service(number(service_name)), waits)];
            return world.root.report(
                host,
                Report {
                    waits,
                    leaving: Vec::new(),
                },
            );
        }
        other => panic!("no such command for a dispatcher: {other:?}"),
    };
    world.net.mode(host, mode);
}

/// Runs one line of a script; returns the output, if any.
async fn run_line(world: &mut World, running: &mut RunningQueries, text: &str) -> Option<String> {
    let words: Vec<_> = text.split_whitespace().collect();
    match words.as_slice() {
        ["query", rest @ ..] => {
            let calls = world.net.lock().calls;
            let result = start(world, rest).await.expect("no query panics");
            let no_message_sent = world.net.lock().calls == calls;
            return Some(
                result
                    + if no_message_sent {
                        ", no message sent"
                    } else {
                        ""
                    },
            );
        }
        ["start", name, "query", rest @ ..] => {
            running.insert((*name).to_owned(), start(world, rest));
        }
        ["end", name] => {
            let query = running.remove(*name).expect("the query was started");
            return Some(query.await.expect("no query panics"));
        }
        ["wait", ms] => tokio::time::sleep(Duration::from_millis(number(ms))).await,
        ["leaf", "all", rest @ ..] => {
            let leafs = world.fleet.leafs().into_iter();
            leafs.for_each(|l| run_leaf_command(world, l, rest));
        }
        ["leaf", name, rest @ ..] => {
            let name = format!("{COLLECTION}-0{}", name.replace('/', "-"));
            run_leaf_command(world, world.fleet.leaf(&name), rest);
        }
        ["dispatcher", "all", rest @ ..] => {
            let hosts = world.config.hosts.iter();
            hosts.for_each(|host| run_dispatcher_command(world, "all", &host.name, rest));
        }
        ["dispatcher", name, rest @ ..] => {
            run_dispatcher_command(world, name, &world.dispatcher(number(name)), rest);
        }
        ["catalog", "arrives"] => world.apply(),
        ["catalog", "counts", records, "in", "shard", n] => {
            let version = world.data.catalogs[0].versions.last_mut();
            let parts = &mut version.expect("there is a version").parts;
            parts[number::<usize>(n)].records = number(records);
        }
        ["split", "shard", n] => world.data.split_part(COLLECTION, number(n)),
        ["merge", "shard", n] => world.data.merge_parts(COLLECTION, number(n)),
        ["move", "shard", n, "to", m] => world.data.move_part(COLLECTION, number(n), number(m)),
        ["data", "is", "back"] => world.fleet.load_holdings(&world.data),
        ["publish"] => drop(world.data.publish(COLLECTION)),
        ["root", "drains"] => {
            let root = world.root.clone();
            tokio::spawn(async move { root.drain().await });
            tokio::task::yield_now().await;
        }
        _ => panic!("no such command: {text}"),
    }
    if matches!(words[0], "split" | "merge" | "move" | "publish") {
        world.fleet.load_holdings(&world.data);
    }
    None
}

/// Guards the documented guarantees and failure modes of queries; each scenario file describes
/// its cases.
#[test]
fn incidents() {
    datadriven::walk("tests/scenarios", |file| {
        let mut builder = tokio::runtime::Builder::new_current_thread();
        let runtime = builder.enable_time().start_paused(true).build();
        let runtime = runtime.expect("the runtime has no I/O");
        let mut world = runtime.block_on(async { World::new(7) });
        let mut running = RunningQueries::default();
        file.run(|case| -> String {
            let mut output = String::new();
            for text in case.input.lines() {
                if let Some(result) = runtime.block_on(run_line(&mut world, &mut running, text)) {
                    writeln!(output, "{text} -> {result}").expect("text can be written");
                }
            }
            output
        });
    });
}
