//! Idempotency keys: UUIDv7 text.

use std::time::Duration;

use rattanmast_model::hash;
use sha2::{Digest as _, Sha256};
use smol_str::SmolStr;
use snafu::{OptionExt, Snafu, ensure};

use crate::settings::{PARTITIONS, millis};

/// A result of this module.
pub type Result<T> = std::result::Result<T, Error>;

/// Why a key is not accepted.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum Error {
    /// The text is no UUIDv7.
    #[snafu(display(
        "the key is not a UUIDv7 in the form xxxxxxxx-xxxx-7xxx-xxxx-xxxxxxxxxxxx; make one for \
         each order"
    ))]
    Malformed,
    /// The key is no longer remembered.
    #[snafu(display(
        "the key is too old to be remembered, so this request was not run; ask GET \
         /v1/orders/<key> or look at the record before you send the order with a new key"
    ))]
    Old,
    /// The key will soon be forgotten, so it is not claimed any more.
    #[snafu(display(
        "the key is about to expire, so this request was not run, but an earlier one with the key \
         may still run; ask GET /v1/orders/<key> before you send the order with a new key"
    ))]
    Expiring,
    /// The key was made by a clock that is ahead.
    #[snafu(display("the time in the key is in the future; set the caller's clock"))]
    Ahead,
}

/// A key of a caller: the same text from another caller is another identity.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Identity(pub [u64; 2]);

impl Identity {
    /// Returns the identity of `key` of `caller`.
    pub fn new(caller: &str, key: &str) -> Self {
        let mut sha = Sha256::new();
        sha.update(caller.len().to_le_bytes());
        sha.update(caller);
        // The hexadecimal digits of one key may be of either case.
        sha.update(key.to_ascii_lowercase());
        let bytes = sha.finalize();
        let word = |at: usize| {
            let mut word = [0; 8];
            word.copy_from_slice(&bytes[at..at + 8]);
            u64::from_le_bytes(word)
        };
        Self([word(0), word(8)])
    }

    /// Returns the partition that the key is claimed in.
    pub const fn partition(self) -> u16 {
        (self.0[0] % PARTITIONS as u64) as u16
    }
}

/// Returns a hash of what an order asks for, to notice a key that is used for another order.
pub fn digest(collection: &str, action: &str, record: &str) -> u64 {
    hash::stable([collection.as_bytes(), action.as_bytes(), record.as_bytes()])
}

/// Returns the time in the UUIDv7 `text`, in milliseconds since the Unix epoch.
///
/// # Errors
///
/// [`Error::Malformed`] if it is no UUID of version 7 and variant 2.
pub fn parse(text: &str) -> Result<u64> {
    let bytes = text.as_bytes();
    ensure!(bytes.len() == 36, MalformedSnafu);
    let well_formed = bytes.iter().enumerate().all(|(at, b)| match at {
        8 | 13 | 18 | 23 => *b == b'-',
        14 => *b == b'7',
        19 => matches!(b, b'8' | b'9' | b'a' | b'b' | b'A' | b'B'),
        _ => b.is_ascii_hexdigit(),
    });
    ensure!(well_formed, MalformedSnafu);
    let time: SmolStr = [&text[..8], &text[9..13]].concat().into();
    u64::from_str_radix(&time, 16).ok().context(MalformedSnafu)
}

/// Checks that a key of time `ms` is remembered at `now` and is not from the future.
///
/// # Errors
///
/// [`Error::Old`] or [`Error::Ahead`].
pub fn check(ms: u64, now: u64, window: Duration, ahead: Duration) -> Result<()> {
    ensure!(ms >= now.saturating_sub(millis(window)), OldSnafu);
    ensure!(ms <= now.saturating_add(millis(ahead)), AheadSnafu);
    Ok(())
}
