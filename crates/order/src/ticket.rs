//! Tickets: keys that only the process that issued them redeems.

use std::time::Duration;

use rattanmast_model::host;
use sha2::{Digest as _, Sha256};
use smol_str::{SmolStr, format_smolstr};
use tokio::time::Instant;

use crate::settings::millis;

/// Prefix of every ticket; no UUID has it.
const PREFIX: &str = "ticket.";

/// The parsed origin of a ticket; only its issuer can verify it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ticket {
    /// Host that issued the ticket.
    pub host: host::Name,
    /// Incarnation of the process that issued the ticket.
    pub incarnation: host::Incarnation,
    /// Time of issue since the issuer's start, on its monotonic clock.
    issued_ms: u64,
}

impl Ticket {
    /// Parses `text` without verifying it; returns `None` if it does not have the form of a ticket.
    pub fn parse(text: &str) -> Option<Self> {
        let body = text.strip_prefix(PREFIX)?;
        // The host's name may contain dots, so the fields are taken from the end.
        let mut fields = body.rsplitn(5, '.');
        let (_tag, _serial) = (fields.next()?, fields.next()?);
        let issued_ms = u64::from_str_radix(fields.next()?, 16).ok()?;
        let incarnation = u64::from_str_radix(fields.next()?, 16).ok()?;
        let host = fields.next().filter(|h| !h.is_empty())?;
        Some(Self {
            host: host.into(),
            incarnation: host::Incarnation(incarnation),
            issued_ms,
        })
    }
}

/// Returns whether `text` has the prefix of a ticket.
pub fn is_ticket(text: &str) -> bool {
    text.starts_with(PREFIX)
}

/// Issues and verifies the tickets of one process.
///
/// Tickets are not stored but authenticated by 128 bits of a keyed hash over the caller and
/// the ticket, so unused tickets take no memory.
#[derive(Debug)]
pub struct Issuer {
    host: host::Name,
    incarnation: host::Incarnation,
    secret: [u8; 32],
    started_at: Instant,
    serial: u64,
}

impl Issuer {
    /// Returns an issuer for the process of `host` with `incarnation`.
    ///
    /// `seed` must come from the system's random source, so that callers cannot forge tickets.
    pub fn new(host: host::Name, incarnation: host::Incarnation, seed: u64) -> Self {
        let mut sha = Sha256::new();
        sha.update(b"rattanmast ticket");
        sha.update(seed.to_le_bytes());
        sha.update(incarnation.0.to_le_bytes());
        sha.update(host.as_bytes());
        Self {
            host,
            incarnation,
            secret: sha.finalize().into(),
            started_at: Instant::now(),
            serial: 0,
        }
    }

    /// Returns a new ticket for `caller`.
    pub fn issue(&mut self, caller: &str) -> SmolStr {
        self.serial += 1;
        let body = format!(
            "{PREFIX}{}.{:x}.{:x}.{:x}",
            self.host,
            self.incarnation.0,
            millis(self.started_at.elapsed()),
            self.serial
        );
        format_smolstr!("{body}.{:032x}", self.tag(caller, &body))
    }

    /// Returns whether this process issued the ticket `text` to `caller` within `window`.
    pub fn is_genuine(&self, caller: &str, text: &str, window: Duration) -> bool {
        let Some((ticket, (body, tag))) = Ticket::parse(text).zip(text.rsplit_once('.')) else {
            return false;
        };
        let age = millis(self.started_at.elapsed()).saturating_sub(ticket.issued_ms);
        let expected = format!("{:032x}", self.tag(caller, body));
        // Compares in constant time, so that timing does not reveal how many bytes match.
        let differing_bits = expected
            .bytes()
            .zip(tag.bytes())
            .fold(0, |bits, (a, b)| bits | (a ^ b));
        tag.len() == expected.len() && differing_bits == 0 && age <= millis(window)
    }

    /// Returns a keyed hash of `caller` and `body`.
    ///
    /// Hashed twice, because a single SHA-256 is open to length extension.
    fn tag(&self, caller: &str, body: &str) -> u128 {
        let mut inner = Sha256::new();
        inner.update(self.secret);
        inner.update(caller.len().to_le_bytes());
        inner.update(caller);
        inner.update(body);
        let mut outer = Sha256::new();
        outer.update(self.secret);
        outer.update(inner.finalize());
        let mut tag = [0; 16];
        tag.copy_from_slice(&outer.finalize()[..16]);
        u128::from_le_bytes(tag)
    }
}
