//! The steps, and what they print.

use std::{
    net::SocketAddr,
    time::{Instant, SystemTime, UNIX_EPOCH},
};

use hyper::Method;
use rattanmast_fakes::data;
use rattanmast_host::config::Traces;
use rattanmast_model::{preset::Preset, rank::Rank};
use rattanmast_try::{
    call::{self, Answer, Caller},
    installation::{self, Installation},
    intent::render,
};
use rattanmast_wire::{api, http};
use snafu::{ResultExt, Snafu, ensure};

/// A result of this module.
pub type Result<T> = std::result::Result<T, Error>;

/// What to run.
#[derive(Clone, Debug)]
pub struct Config {
    /// The sizes of the installation.
    pub preset: Preset,
    /// The text to search for.
    pub text: String,
    /// Whether to print the installation's intent and do nothing else.
    pub print_intent: bool,
    /// Whether to stay up afterwards.
    pub keep: bool,
    /// Where spans go.
    pub traces: Traces,
    /// Seed of random choices.
    pub seed: u64,
}

/// Which step failed.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The installation did not start, or its intent was not put in force.
    #[snafu(display("{source}"))]
    Start {
        /// Why.
        source: installation::Error,
    },
    /// A call had no answer.
    #[snafu(display("{source}"))]
    Call {
        /// Why.
        source: call::Error,
    },
    /// An answer was not as expected.
    #[snafu(display("{step}: status {status}, outcome {outcome}: {body}"))]
    Unexpected {
        /// The step.
        step: &'static str,
        /// The HTTP status.
        status: u16,
        /// The outcome header.
        outcome: String,
        /// The body.
        body: String,
    },
    /// The order ran another number of times than once.
    #[snafu(display("the order ran {runs} times; this is a defect"))]
    Runs {
        /// How often the leafs ran it.
        runs: u64,
    },
}

/// Runs all steps.
pub async fn run(config: &Config, started: Instant) -> Result<()> {
    let preset = config.preset.clone();
    if config.print_intent {
        print!("{}", render(&data::Data::new(preset).config()));
        return Ok(());
    }
    let mut installation = Installation::start(preset, config.seed, &config.traces)
        .await
        .context(StartSnafu)?;
    println!(
        "{}: {} hosts, {} leafs, platform at {}",
        config.preset.name,
        installation.data.hosts.len(),
        installation.data.leafs.leafs.len(),
        installation.platform,
    );
    state_intent(&installation).await?;
    installation.ready().await;

    let host = installation.data.hosts[0].http;
    let caller = Caller::new(data::key("bench"));
    query(&caller, host, config).await?;
    println!("first answer after {} ms", started.elapsed().as_millis());
    let key = order(&caller, host, &installation, config).await?;
    repeat(&caller, &installation, config, &key).await?;
    if config.keep {
        keep(host, config).await;
    }
    installation.stop().await;
    Ok(())
}

/// States an intent, shows the plan and confirms it, as an operator does.
async fn state_intent(installation: &Installation) -> Result<()> {
    let plan = installation.plan().await.context(StartSnafu)?;
    println!(
        "plan {} on version {}: {} changes",
        &plan.digest[..12],
        plan.base.0,
        plan.changes.len(),
    );
    for effect in &plan.effects {
        println!("  {}", effect.text);
    }
    let done = installation.confirm(&plan, "operator").await;
    let done = done.context(StartSnafu)?;
    println!("confirmed: version {} by {}", done.version.0, done.by);
    Ok(())
}

async fn query(caller: &Caller, host: SocketAddr, config: &Config) -> Result<()> {
    let path = format!("/v1/searches/{}", config.preset.searched);
    let body = http::encode(&api::Search {
        text: config.text.as_str().into(),
        rank: Rank::Urgent,
        timeout_ms: None,
    });
    let answer = caller.call(host, Method::POST, &path, None, body).await;
    let answer = answer.context(CallSnafu)?;
    let found: api::Found = match http::parse(&answer.body) {
        Ok(found) => found,
        Err(_) => return Err(unexpected("query", &answer)),
    };
    println!(
        "query {:?} over {}, rank urgent:",
        config.text, config.preset.searched
    );
    println!(
        "  outcome {}, snapshot {}, coverage {}, {} of {} records, {} rows, {} us",
        found.outcome,
        found.answer.snapshot.0,
        found.answer.coverage,
        found.answer.records,
        found.answer.total,
        found.answer.rows.len(),
        found.total_us,
    );
    for hop in &found.answer.hops {
        println!(
            "  via {}: {} us, leafs {} us",
            hop.host, hop.total_us, hop.leaf_us
        );
    }
    let whole = found.answer.missing.is_empty();
    ensure!(whole, unexpected_of("query", &answer));
    Ok(())
}

/// Sends an order and returns its key.
async fn order(
    caller: &Caller,
    host: SocketAddr,
    installation: &Installation,
    config: &Config,
) -> Result<String> {
    let key = uuid(config.seed);
    let answer = send(caller, host, config, &key).await?;
    println!("order {key} to {}:", config.preset.ordered);
    println!("  outcome {}: {}", answer.outcome, text(&answer));
    ensure!(answer.outcome == "done", unexpected_of("order", &answer));
    once(installation)?;
    Ok(key)
}

/// Sends the same order again through another host: it must not run again.
async fn repeat(
    caller: &Caller,
    installation: &Installation,
    config: &Config,
    key: &str,
) -> Result<()> {
    let host = installation.data.hosts[1].http;
    let answer = send(caller, host, config, key).await?;
    println!(
        "  again through another host, outcome {}: {}",
        answer.outcome,
        text(&answer)
    );
    ensure!(
        answer.outcome == "already-done",
        unexpected_of("repeated order", &answer)
    );
    once(installation)
}

async fn send(caller: &Caller, host: SocketAddr, config: &Config, key: &str) -> Result<Answer> {
    let path = format!("/v1/orders/{}", config.preset.ordered);
    let body = http::encode(&api::Order {
        action: "bill".into(),
        record: "club-7".into(),
        rank: Rank::Routine,
        timeout_ms: None,
    });
    let answer = caller
        .call(host, Method::POST, &path, Some(key), body)
        .await;
    answer.context(CallSnafu)
}

/// Checks that the leafs ran one order, once.
fn once(installation: &Installation) -> Result<()> {
    let leafs = installation.fleet.leafs();
    let runs: u64 = leafs
        .iter()
        .flat_map(|leaf| leaf.runs().into_values())
        .sum();
    println!("  run by the leafs: {runs} time(s)");
    ensure!(runs == 1, RunsSnafu { runs });
    Ok(())
}

async fn keep(host: SocketAddr, config: &Config) {
    println!("\nup; end with Ctrl-C. Try:");
    println!(
        "curl -s -H 'Authorization: Bearer {}' -d '{{\"text\":\"{}\",\"rank\":\"urgent\"}}' \
         http://{host}/v1/searches/{}",
        data::key("bench"),
        config.text,
        config.preset.searched,
    );
    if let Err(error) = tokio::signal::ctrl_c().await {
        log::error!("signals cannot be received ({error}); stopping");
    }
}

fn text(answer: &Answer) -> String {
    String::from_utf8_lossy(&answer.body).into_owned()
}

fn unexpected_of(
    step: &'static str,
    answer: &Answer,
) -> UnexpectedSnafu<&'static str, u16, String, String> {
    UnexpectedSnafu {
        step,
        status: answer.status.as_u16(),
        outcome: answer.outcome.clone(),
        body: text(answer),
    }
}

fn unexpected(step: &'static str, answer: &Answer) -> Error {
    unexpected_of(step, answer).build()
}

/// Returns a new UUIDv7.
fn uuid(seed: u64) -> String {
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    let ms = now.as_millis() & 0xffff_ffff_ffff;
    let (a, b) = (seed & 0xfff, now.subsec_nanos());
    format!(
        "{:08x}-{:04x}-7{a:03x}-8000-{b:012x}",
        ms >> 16,
        ms & 0xffff
    )
}
