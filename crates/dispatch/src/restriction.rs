//! What a leaf currently takes from this host, by its own word.

use std::time::Duration;

use rattanmast_model::leaf::Terms;
use tokio::time::Instant;

/// Upper bound of a pause, whatever the leaf asks for.
const MAX_PAUSE: Duration = Duration::from_hours(1);

/// The restrictions that the latest answers of one leaf put on this host.
#[derive(Debug, Default)]
pub(crate) struct Restriction {
    /// The time until which the leaf wants no request.
    paused_until: Option<Instant>,
}

impl Restriction {
    /// Records what an answer said.
    pub(crate) fn record(&mut self, terms: Terms, now: Instant) {
        let pause = terms.pause.map(|pause| now + pause.min(MAX_PAUSE));
        self.paused_until = self.paused_until.max(pause);
    }

    /// Returns whether the leaf takes a request now.
    pub(crate) fn is_open(&self, now: Instant) -> bool {
        self.paused_until.is_none_or(|until| until <= now)
    }
}
