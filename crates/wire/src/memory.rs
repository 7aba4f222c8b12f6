//! A bound on the memory that the unfinished answers of leafs hold together.

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

use snafu::{OptionExt as _, Snafu};

/// The result of this module.
pub type Result<T> = std::result::Result<T, Error>;

/// Why memory cannot be reserved.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum Error {
    /// The reservation would hold more than is left to all others.
    #[snafu(display(
        "an answer of {bytes} bytes is over its share of the {total} bytes for unfinished answers; raise the \
         memory limit of the host"
    ))]
    Exhausted {
        /// The size that the reservation was to have.
        bytes: usize,
        /// The size of the budget.
        total: usize,
    },
}

/// A number of bytes that is shared by all answers that are being read.
///
/// The threshold is dynamic: an answer may hold as much as is free for all others. A single one may hold half
/// of the budget. However many large answers there are, a part is left for small ones.
#[derive(Clone, Debug)]
pub struct Budget {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    total: usize,
    held: AtomicUsize,
}

impl Budget {
    /// Creates a budget of `total` bytes.
    pub fn new(total: usize) -> Self {
        Self {
            shared: Arc::new(Shared {
                total,
                held: AtomicUsize::new(0),
            }),
        }
    }

    /// Returns how many bytes are reserved.
    pub fn held(&self) -> usize {
        self.shared.held.load(Ordering::Relaxed)
    }

    /// Returns a reservation of no bytes.
    pub fn reserve(&self) -> Reservation {
        Reservation {
            shared: Arc::clone(&self.shared),
            bytes: 0,
        }
    }
}

/// Bytes that are reserved from a [`Budget`]; dropping the reservation returns them.
#[derive(Debug)]
pub struct Reservation {
    shared: Arc<Shared>,
    bytes: usize,
}

impl Reservation {
    /// Grows the reservation to `bytes`; a smaller number changes nothing.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Exhausted`] if less than `bytes` would be left to all others.
    pub fn grow(&mut self, bytes: usize) -> Result<()> {
        let more = bytes.saturating_sub(self.bytes);
        if more == 0 {
            return Ok(());
        }
        let total = self.shared.total;
        let grown = |held: usize| {
            let held = held.checked_add(more)?;
            let free = total.checked_sub(held)?;
            (bytes <= free).then_some(held)
        };
        let counter = &self.shared.held;
        let updated = counter.fetch_update(Ordering::Relaxed, Ordering::Relaxed, grown);
        updated.ok().context(ExhaustedSnafu { bytes, total })?;
        self.bytes = bytes;
        Ok(())
    }

    /// Returns all bytes of the reservation.
    pub fn clear(&mut self) {
        let bytes = std::mem::take(&mut self.bytes);
        self.shared.held.fetch_sub(bytes, Ordering::Relaxed);
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.clear();
    }
}
