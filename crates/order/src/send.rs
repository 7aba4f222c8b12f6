//! Sends a claimed order to a dispatcher, once.

use std::time::Duration;

use rattanmast_model::{
    catalog::Service,
    config::Config,
    hash,
    outcome::{Outcome, Reason},
    peer::{self, Peers},
    roster,
};
use smol_str::SmolStr;
use tokio::time::Instant;

use crate::{
    log::Moment,
    refusal,
    settings::{CLAIM_TTL, Mutation, Settings, millis},
};

/// The right to send an order: its claim, for a limited time.
#[derive(Clone, Copy, Debug)]
pub struct Right {
    /// When the claim began.
    pub since: Moment,
    /// When the caller's time is over.
    pub deadline: Instant,
}

impl Right {
    /// Returns the time after which the leaf must not begin, in milliseconds since the Unix epoch.
    ///
    /// Returns `None` if the right has expired. The monotonic clock decides; of the
    /// wall clock's times at the claim and now the earlier limit counts, so that a
    /// clock that jumps in between does not extend the right.
    pub fn not_after(&self, settings: &Settings) -> Option<u64> {
        let ttl = CLAIM_TTL;
        let now = settings.wall.now_ms();
        if settings.mutation == Mutation::Right {
            return Some(now + millis(ttl));
        }
        let left = ttl.checked_sub(self.since.at.elapsed())?;
        let from_claim = self.since.wall + millis(ttl);
        (now < from_claim).then(|| from_claim.min(now + millis(left)))
    }

    fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }
}

/// The most of a time limit that is kept for the way of the reply.
const MARGIN: Duration = Duration::from_millis(20);

/// Returns the time that the receiver of a message gets of `left`, in milliseconds.
pub fn budget_ms(left: Duration) -> u32 {
    let budget = left - MARGIN.min(left / 10);
    u32::try_from(budget.as_millis()).unwrap_or(u32::MAX)
}

/// Returns the service that takes orders for `record`.
pub fn service(config: &Config, collection: &str, record: &str) -> Option<Service> {
    let services = config.collection(collection)?.services.max(1);
    let hash = hash::stable([record.as_bytes()]);
    Some(Service {
        collection: collection.into(),
        index: u16::try_from(hash % u64::from(services)).ok()?,
    })
}

/// Sends `order` to the first usable dispatcher, and to the next one only if no byte left, or
/// if the dispatcher says that it does not serve.
///
/// `ready` is asked immediately before each try whether the process may still send.
pub async fn send<P: Peers>(
    peers: &P,
    config: &Config,
    order: &peer::Order,
    right: Right,
    settings: &Settings,
    mut identify: impl FnMut() -> rattanmast_model::request::Id,
    ready: impl Fn() -> Result<(), Outcome>,
) -> Outcome {
    let Some(service) = service(config, &order.collection, &order.record) else {
        return refusal::not_run(
            Reason::Invalid,
            "the collection does not exist; see rattanmast-ctl status for their names",
        );
    };
    let mut remedy = SmolStr::new_static(
        "no dispatcher of the collection is reachable; send it again with the same key",
    );
    for host in roster::dispatchers(&config.hosts, &service) {
        let target = peers.incarnation(&host.name);
        let Some(target) = target.filter(|_| peers.usable(&host.name)) else {
            continue;
        };
        if let Err(refusal) = ready() {
            return claimed(refusal);
        }
        let timeout = right.time_left();
        let Some(not_after_ms) = right.not_after(settings).filter(|_| !timeout.is_zero()) else {
            return refusal::late();
        };
        let message = peer::Order {
            id: identify(),
            target,
            step: peer::Step::Dispatch,
            budget_ms: budget_ms(timeout),
            not_after_ms,
            ..order.clone()
        };
        match peers.order(&host.name, message, timeout).await {
            // The dispatcher did nothing and cannot, as one that has just started or is
            // stopping; the message is not accepted later.
            Ok(Outcome::NotRun {
                reason: Reason::Stopping | Reason::Stale | Reason::Unreachable,
                remedy: why,
            }) => remedy = why,
            Ok(outcome) => return outcome,
            Err(peer::Error::Connect { .. }) => {}
            Err(error @ peer::Error::Broken { .. }) => {
                ::log::warn!("order sent to a dispatcher: {error}");
                return refusal::unknown(
                    "the connection to the dispatcher broke after the order was sent; ask GET \
                     /v1/orders/<key>, and look at the record if that is unknown too",
                );
            }
        }
    }
    refusal::not_run(Reason::Refused, &remedy)
}

/// Returns the refusal of an order whose key is claimed.
///
/// The reasons by which a root tells that a claimer did nothing must not be used: the root
/// would go on to the next claimer, which finds the key held and calls the order unknown.
fn claimed(refusal: Outcome) -> Outcome {
    match refusal {
        Outcome::NotRun { remedy, .. } => refusal::not_run(Reason::Refused, &remedy),
        other => other,
    }
}
