//! Tickets: keys that one process run issues and only it redeems.

use std::time::Duration;

use rattanmast_model::host;
use sha2::{Digest as _, Sha256};
use smol_str::{SmolStr, format_smolstr};
use tokio::time::Instant;

use crate::settings::millis;

/// What every ticket starts with; no UUID does.
const PREFIX: &str = "ticket.";

/// What a ticket says of its origin; the issuer alone can tell whether it is genuine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ticket {
    /// The host that issued it.
    pub host: host::Name,
    /// The process run that issued it.
    pub incarnation: host::Incarnation,
    issued_ms: u64,
}

impl Ticket {
    /// Returns what `text` says, if it has the form of a ticket.
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

/// Tells whether `text` claims to be a ticket.
pub fn looks_like(text: &str) -> bool {
    text.starts_with(PREFIX)
}

/// Issues and recognises the tickets of one process run.
///
/// Tickets are not stored: 128 bits of a keyed hash over the caller and the
/// ticket show that it is genuine, so unused tickets take no memory.
#[derive(Debug)]
pub struct Issuer {
    host: host::Name,
    incarnation: host::Incarnation,
    secret: [u8; 32],
    start: Instant,
    serial: u64,
}

impl Issuer {
    /// Returns the issuer of a process run.
    ///
    /// `seed` must not be known to callers; it comes from the system's random source.
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
            start: Instant::now(),
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
            millis(self.start.elapsed()),
            self.serial
        );
        format_smolstr!("{body}.{:032x}", self.tag(caller, &body))
    }

    /// Tells whether this process run issued the ticket `text` to `caller` within `window`.
    pub fn genuine(&self, caller: &str, text: &str, window: Duration) -> bool {
        let Some((ticket, (body, tag))) = Ticket::parse(text).zip(text.rsplit_once('.')) else {
            return false;
        };
        let age = millis(self.start.elapsed()).saturating_sub(ticket.issued_ms);
        let expected = format!("{:032x}", self.tag(caller, body));
        // Compares all bytes, so that the time taken does not tell how many match.
        let differing = expected
            .bytes()
            .zip(tag.bytes())
            .fold(0, |sum, (a, b)| sum | (a ^ b));
        tag.len() == expected.len() && differing == 0 && age <= millis(window)
    }

    /// Returns a keyed hash; hashed twice, because a single SHA-256 can be extended.
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
