//! Messages that were accepted, so that none is accepted twice.

use std::{collections::VecDeque, time::Duration};

use rattanmast_model::{hash::Set, request};
use tokio::time::Instant;

/// Time for which a message is remembered after its right to send has expired.
///
/// A repeated message is refused by that time alone; the rest allows for a clock that is set
/// back.
const BEYOND: Duration = Duration::from_mins(2);

/// The accepted messages whose right to send may not have expired.
#[derive(Debug, Default)]
pub(crate) struct Seen {
    ids: Set<request::Id>,
    /// In order of acceptance, with the time until which each is remembered.
    until: VecDeque<(request::Id, Instant)>,
}

impl Seen {
    /// Accepts `id`, whose right to send expires after `left`; tells whether it is new.
    pub(crate) fn accept(&mut self, id: request::Id, left: Duration, now: Instant) -> bool {
        while let Some((old, _)) = self.until.front().filter(|(_, until)| *until < now) {
            self.ids.remove(old);
            self.until.pop_front();
        }
        let new = self.ids.insert(id);
        if new {
            // Rights last seconds; the bound keeps a malformed one from staying for ever.
            let left = left.min(BEYOND);
            self.until.push_back((id, now + left + BEYOND));
        }
        new
    }
}
