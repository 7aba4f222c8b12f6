//! Sends a claimed order to a dispatcher, at most once.

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
    claim_log::Timestamp,
    refusal,
    settings::{CLAIM_TTL, Mutation, Settings, millis},
};

/// Permission to send an order, granted by its claim for a limited time.
#[derive(Clone, Copy, Debug)]
pub struct Permit {
    /// Start of the claim's validity.
    pub claimed_at: Timestamp,
    /// When the caller stops waiting.
    pub deadline: Instant,
}

impl Permit {
    /// Returns the time after which the leaf must not begin, in milliseconds since the Unix epoch.
    ///
    /// Returns `None` if the permit has expired. Expiry is decided by the monotonic
    /// clock. The returned time is the earlier of the limits computed from the wall
    /// clock at the claim and now, so a wall clock that jumps in between does not
    /// extend the permit.
    pub fn not_after_ms(&self, settings: &Settings) -> Option<u64> {
        let ttl = CLAIM_TTL;
        let now_ms = settings.wall.now_ms();
        if settings.mutation == Mutation::ClaimAge {
            return Some(now_ms + millis(ttl));
        }
        let remaining = ttl.checked_sub(self.claimed_at.instant.elapsed())?;
        let claim_expiry_ms = self.claimed_at.wall_ms + millis(ttl);
        (now_ms < claim_expiry_ms).then(|| claim_expiry_ms.min(now_ms + millis(remaining)))
    }

    fn remaining_time(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }
}

/// Upper bound of the time withheld from a receiver's budget for the reply's network time.
const MAX_REPLY_NETWORK_ALLOWANCE: Duration = Duration::from_millis(20);

/// Returns the budget that the receiver of a message gets of `remaining`, in milliseconds.
pub fn budget_ms(remaining: Duration) -> u32 {
    let budget = remaining - MAX_REPLY_NETWORK_ALLOWANCE.min(remaining / 10);
    u32::try_from(budget.as_millis()).unwrap_or(u32::MAX)
}

/// Returns the service that takes orders for `record`.
pub fn service(config: &Config, collection: &str, record: &str) -> Option<Service> {
    let services = config.collection(collection)?.services.max(1);
    let record_hash = hash::stable([record.as_bytes()]);
    Some(Service {
        collection: collection.into(),
        index: u16::try_from(record_hash % u64::from(services)).ok()?,
    })
}

/// Sends `order` to the first usable dispatcher. Goes on to the next one only if nothing was
/// sent or the dispatcher replied that it does not serve.
///
/// `check_ready` is called immediately before each attempt and returns a refusal if the
/// process may no longer send.
pub async fn send<P: Peers>(
    peers: &P,
    config: &Config,
    order: &peer::Order,
    permit: Permit,
    settings: &Settings,
    mut next_id: impl FnMut() -> rattanmast_model::request::Id,
    check_ready: impl Fn() -> Result<(), Outcome>,
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
        let Some(target) = target.filter(|_| peers.is_usable(&host.name)) else {
            continue;
        };
        if let Err(refusal) = check_ready() {
            return refuse_claimed(refusal);
        }
        let timeout = permit.remaining_time();
        let Some(not_after_ms) = permit.not_after_ms(settings).filter(|_| !timeout.is_zero())
        else {
            return refusal::late();
        };
        let message = peer::Order {
            id: next_id(),
            target,
            step: peer::Step::Dispatch,
            budget_ms: budget_ms(timeout),
            not_after_ms,
            ..order.clone()
        };
        match peers.order(&host.name, message, timeout).await {
            // The dispatcher has just started or is stopping. It did nothing and will
            // not accept a copy of this message later, so the next one may be tried.
            Ok(Outcome::NotRun {
                reason: Reason::Stopping | Reason::Stale | Reason::Unreachable,
                remedy: reported,
            }) => remedy = reported,
            Ok(outcome) => return outcome,
            Err(peer::Error::Connect { .. }) => {}
            Err(error @ peer::Error::Broken { .. }) => {
                ::log::warn!(
                    "the outcome of an order is unknown, as the connection to its dispatcher \
                     broke: {error}"
                );
                return refusal::unknown(
                    "the connection to the dispatcher broke after the order was sent; ask GET \
                     /v1/orders/<key>, and look at the record if that is unknown too",
                );
            }
        }
    }
    refusal::not_run(Reason::Refused, &remedy)
}

/// Converts `refusal` for an order whose key is already claimed.
///
/// A root takes `Stopping`, `Stale` and `Unreachable` to mean that the claimer did nothing,
/// and tries the next claimer, which would find the key held and report the order as unknown.
/// `Refused` makes it stop here.
fn refuse_claimed(refusal: Outcome) -> Outcome {
    match refusal {
        Outcome::NotRun { remedy, .. } => refusal::not_run(Reason::Refused, &remedy),
        other => other,
    }
}
