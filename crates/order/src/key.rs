//! Idempotency keys in the form of UUIDv7 text.

use std::time::Duration;

use rattanmast_model::hash;
use sha2::{Digest as _, Sha256};
use smol_str::SmolStr;
use snafu::{OptionExt, Snafu, ensure};

use crate::settings::{PARTITION_COUNT, millis};

/// A result of this module.
pub type Result<T> = std::result::Result<T, Error>;

/// Why a key is refused.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum Error {
    /// The text is not a UUIDv7.
    #[snafu(display(
        "the key is not a UUIDv7 in the form xxxxxxxx-xxxx-7xxx-xxxx-xxxxxxxxxxxx; make one for \
         each order"
    ))]
    Malformed,
    /// The key is older than the idempotency window.
    #[snafu(display(
        "the key is too old to be remembered, so this request was not run; ask GET \
         /v1/orders/<key> or look at the record before you send the order with a new key"
    ))]
    Expired,
    /// The key expires too soon to be claimed: a claim could outlive it.
    #[snafu(display(
        "the key is about to expire, so this request was not run, but an earlier one with the key \
         may still run; ask GET /v1/orders/<key> before you send the order with a new key"
    ))]
    Expiring,
    /// The time in the key is too far in the future.
    #[snafu(display("the time in the key is in the future; set the caller's clock"))]
    InFuture,
}

/// The hash of a caller's name and key; equal keys of different callers have different identities.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Identity(pub [u64; 2]);

impl Identity {
    /// Returns the identity of `key` of `caller`.
    pub fn new(caller: &str, key: &str) -> Self {
        let mut sha = Sha256::new();
        sha.update(caller.len().to_le_bytes());
        sha.update(caller);
        // Hexadecimal digits are equal in either case.
        sha.update(key.to_ascii_lowercase());
        let bytes = sha.finalize();
        let word = |index: usize| {
            let mut word = [0; 8];
            word.copy_from_slice(&bytes[index..index + 8]);
            u64::from_le_bytes(word)
        };
        Self([word(0), word(8)])
    }

    /// Returns the partition in which the key is claimed.
    pub const fn partition(self) -> u16 {
        (self.0[0] % PARTITION_COUNT as u64) as u16
    }
}

/// Returns a hash of an order's content, to detect a key that is reused for another order.
pub fn digest(collection: &str, action: &str, record: &str) -> u64 {
    hash::stable([collection.as_bytes(), action.as_bytes(), record.as_bytes()])
}

/// Returns the time in the UUIDv7 `text`, in milliseconds since the Unix epoch.
///
/// # Errors
///
/// [`Error::Malformed`] if `text` is not a UUID of version 7 and variant 2.
pub fn parse(text: &str) -> Result<u64> {
    let bytes = text.as_bytes();
    ensure!(bytes.len() == 36, MalformedSnafu);
    let well_formed = bytes.iter().enumerate().all(|(index, b)| match index {
        8 | 13 | 18 | 23 => *b == b'-',
        14 => *b == b'7',
        19 => matches!(b, b'8' | b'9' | b'a' | b'b' | b'A' | b'B'),
        _ => b.is_ascii_hexdigit(),
    });
    ensure!(well_formed, MalformedSnafu);
    let time_hex: SmolStr = [&text[..8], &text[9..13]].concat().into();
    u64::from_str_radix(&time_hex, 16)
        .ok()
        .context(MalformedSnafu)
}

/// Checks that a key with the time `time_ms` is within `window` at `now_ms` and is ahead of it
/// by at most `max_skew`.
///
/// # Errors
///
/// [`Error::Expired`] or [`Error::InFuture`].
pub fn check(time_ms: u64, now_ms: u64, window: Duration, max_skew: Duration) -> Result<()> {
    ensure!(
        time_ms >= now_ms.saturating_sub(millis(window)),
        ExpiredSnafu
    );
    ensure!(
        time_ms <= now_ms.saturating_add(millis(max_skew)),
        InFutureSnafu
    );
    Ok(())
}
