//! What the attempts of one call revealed so far about its effect on leafs.
//!
//! A call that crashes the leafs that run it gets no reply from any. Its other attempts wait until a
//! reply shows that a lost leaf ended for another reason. Before any reply, hedges are few as well: it
//! is the call that is slow then, and not a leaf.

use std::time::Duration;

use tokio::{sync::watch, time::timeout};

/// Number of lost leafs, without a reply from any, from which no other leaf is risked.
const MAX_LOSSES: u32 = 2;

/// Number of hedges of a call to several services before any of these has replied.
const MAX_BLIND_HEDGES: u32 = 2;

/// Time for which a retry after a lost leaf waits for a reply from any other one.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(30);

#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    /// Leafs that crashed while they ran the call.
    lost: u32,
    hedges: u32,
    replied: bool,
}

/// The attempts of a call at all services that this host sends it to.
#[derive(Debug)]
pub(crate) struct Losses {
    counts: watch::Sender<Counts>,
    /// The number of services.
    services: usize,
}

impl Losses {
    pub(crate) fn new(services: usize) -> Self {
        Self {
            counts: watch::Sender::default(),
            services,
        }
    }

    /// Returns whether a leaf has replied.
    pub(crate) fn is_replied(&self) -> bool {
        self.counts.borrow().replied
    }

    /// Records that a leaf crashed before it replied.
    pub(crate) fn record_loss(&self) {
        self.counts.send_modify(|counts| counts.lost += 1);
    }

    /// Records that a leaf replied.
    pub(crate) fn record_reply(&self) {
        self.counts
            .send_if_modified(|counts| !std::mem::replace(&mut counts.replied, true));
    }

    /// Records a hedge.
    pub(crate) fn record_hedge(&self) {
        self.counts.send_if_modified(|counts| {
            counts.hedges += 1;
            false
        });
    }

    /// Returns whether a hedge may be sent.
    pub(crate) fn may_hedge(&self) -> bool {
        let counts = *self.counts.borrow();
        let is_blind = self.services > 1 && counts.hedges >= MAX_BLIND_HEDGES;
        counts.replied || (counts.lost == 0 && !is_blind)
    }

    /// Returns whether leafs were lost and none has replied yet.
    pub(crate) fn is_suspicious(&self) -> bool {
        let counts = *self.counts.borrow();
        counts.lost > 0 && !counts.replied
    }

    /// Waits until it is known whether another leaf may be risked after one was lost.
    pub(crate) async fn may_retry(&self) -> bool {
        if self.services == 1 {
            let counts = *self.counts.borrow();
            return counts.replied || counts.lost < MAX_LOSSES;
        }
        let mut counts = self.counts.subscribe();
        let decided = counts.wait_for(|counts| counts.replied || counts.lost >= MAX_LOSSES);
        match timeout(MAX_RETRY_DELAY, decided).await {
            Ok(Ok(counts)) => counts.replied,
            // A single leaf was lost: it probably ended for another reason.
            _ => true,
        }
    }
}
