//! The steps of the demonstration and their output.

use std::{
    net::SocketAddr,
    time::{Instant, SystemTime, UNIX_EPOCH},
};

use hyper::Method;
use rattanmast_fakes::data;
use rattanmast_host::config::Traces;
use rattanmast_model::{preset::Preset, rank::Rank};
use rattanmast_try::{
    client::{self, Caller, Response},
    installation::{self, Installation},
    intent::render,
};
use rattanmast_wire::{api, http};
use snafu::{ResultExt, Snafu, ensure};

/// A result of this module.
pub type Result<T> = std::result::Result<T, Error>;

/// The settings of a run.
#[derive(Clone, Debug)]
pub struct Config {
    /// The installation to start, or whose intent to print.
    pub preset: Preset,
    /// The text to search for.
    pub text: String,
    /// Whether to print the installation's intent and do nothing else.
    pub print_intent: bool,
    /// Whether to keep the installation running until Ctrl-C.
    pub keep_running: bool,
    /// The destination of trace spans.
    pub traces: Traces,
    /// The seed of random choices.
    pub seed: u64,
}

/// An error of a step.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The installation did not start, or its intent was not put in force.
    #[snafu(display("{source}"))]
    Start {
        /// Why the installation did not start or its intent was not put in force.
        source: installation::Error,
    },
    /// A call got no complete response.
    #[snafu(display("{source}"))]
    Call {
        /// Why the call got no complete response.
        source: client::Error,
    },
    /// A response was not the expected one.
    #[snafu(display("{step}: status {status}, outcome {outcome}: {body}"))]
    Unexpected {
        /// The name of the step.
        step: &'static str,
        /// The HTTP status.
        status: u16,
        /// The value of the outcome header.
        outcome: String,
        /// The response body.
        body: String,
    },
    /// The leafs did not run the order exactly once.
    #[snafu(display("the order ran {runs} times; this is a defect"))]
    RunCount {
        /// The number of runs over all leafs.
        runs: u64,
    },
}

/// Starts an installation, runs all steps and stops it, or only prints its intent.
///
/// `started` is the start of the process, from which the time to the first answer is measured.
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
    apply_intent(&installation).await?;
    installation.wait_until_ready().await;

    let host = installation.data.hosts[0].http;
    let caller = Caller::new(data::caller_key("bench"));
    run_query(&caller, host, config).await?;
    println!("first answer after {} ms", started.elapsed().as_millis());
    let key = send_order(&caller, host, &installation, config).await?;
    resend_order(&caller, &installation, config, &key).await?;
    if config.keep_running {
        wait_for_ctrl_c(host, config).await;
    }
    installation.stop().await;
    Ok(())
}

/// Plans the installation's intent, prints the plan and confirms it, as an operator does.
async fn apply_intent(installation: &Installation) -> Result<()> {
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

async fn run_query(caller: &Caller, host: SocketAddr, config: &Config) -> Result<()> {
    let path = format!("/v1/searches/{}", config.preset.search_collection);
    let body = http::encode(&api::Search {
        text: config.text.as_str().into(),
        rank: Rank::Urgent,
        timeout_ms: None,
    });
    let response = caller.call(host, Method::POST, &path, None, body).await;
    let response = response.context(CallSnafu)?;
    let found: api::SearchReply = match http::parse(&response.body) {
        Ok(found) => found,
        Err(_) => return Err(unexpected_error("query", &response)),
    };
    println!(
        "query {:?} over {}, rank urgent:",
        config.text, config.preset.search_collection
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
    let is_complete = found.answer.missing.is_empty();
    ensure!(is_complete, unexpected_context("query", &response));
    Ok(())
}

/// Sends an order and returns its idempotency key.
async fn send_order(
    caller: &Caller,
    host: SocketAddr,
    installation: &Installation,
    config: &Config,
) -> Result<String> {
    let key = new_uuid(config.seed);
    let response = post_order(caller, host, config, &key).await?;
    println!("order {key} to {}:", config.preset.order_collection);
    println!("  outcome {}: {}", response.outcome, body_text(&response));
    ensure!(
        response.outcome == "done",
        unexpected_context("order", &response)
    );
    check_single_run(installation)?;
    Ok(key)
}

/// Sends the same order through another host and checks that it does not run a second time.
async fn resend_order(
    caller: &Caller,
    installation: &Installation,
    config: &Config,
    key: &str,
) -> Result<()> {
    let host = installation.data.hosts[1].http;
    let response = post_order(caller, host, config, key).await?;
    println!(
        "  again through another host, outcome {}: {}",
        response.outcome,
        body_text(&response)
    );
    ensure!(
        response.outcome == "already-done",
        unexpected_context("repeated order", &response)
    );
    check_single_run(installation)
}

async fn post_order(
    caller: &Caller,
    host: SocketAddr,
    config: &Config,
    key: &str,
) -> Result<Response> {
    let path = format!("/v1/orders/{}", config.preset.order_collection);
    let body = http::encode(&api::Order {
        action: "bill".into(),
        record: "club-7".into(),
        rank: Rank::Routine,
        timeout_ms: None,
    });
    let response = caller
        .call(host, Method::POST, &path, Some(key), body)
        .await;
    response.context(CallSnafu)
}

/// Checks that the leafs ran exactly one order, exactly once.
fn check_single_run(installation: &Installation) -> Result<()> {
    let leafs = installation.fleet.leafs();
    let runs: u64 = leafs
        .iter()
        .flat_map(|leaf| leaf.runs().into_values())
        .sum();
    println!("  run by the leafs: {runs} time(s)");
    ensure!(runs == 1, RunCountSnafu { runs });
    Ok(())
}

async fn wait_for_ctrl_c(host: SocketAddr, config: &Config) {
    println!("\nrunning; stop with Ctrl-C. Try:");
    println!(
        "curl -s -H 'Authorization: Bearer {}' -d '{{\"text\":\"{}\",\"rank\":\"urgent\"}}' \
         http://{host}/v1/searches/{}",
        data::caller_key("bench"),
        config.text,
        config.preset.search_collection,
    );
    if let Err(error) = tokio::signal::ctrl_c().await {
        log::error!("signals cannot be received ({error}); stopping");
    }
}

fn body_text(response: &Response) -> String {
    String::from_utf8_lossy(&response.body).into_owned()
}

fn unexpected_context(
    step: &'static str,
    response: &Response,
) -> UnexpectedSnafu<&'static str, u16, String, String> {
    UnexpectedSnafu {
        step,
        status: response.status.as_u16(),
        outcome: response.outcome.clone(),
        body: body_text(response),
    }
}

fn unexpected_error(step: &'static str, response: &Response) -> Error {
    unexpected_context(step, response).build()
}

/// Returns a UUIDv7 for the current time.
///
/// In place of random bits it has the low 12 bits of `seed` and the nanoseconds of the current
/// second.
fn new_uuid(seed: u64) -> String {
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    let ms = now.as_millis() & 0xffff_ffff_ffff;
    let (seed_bits, nanos) = (seed & 0xfff, now.subsec_nanos());
    format!(
        "{:08x}-{:04x}-7{seed_bits:03x}-8000-{nanos:012x}",
        ms >> 16,
        ms & 0xffff
    )
}
