//! Callers and their rights.

use hyper::{HeaderMap, StatusCode, header};
use rattanmast_model::{
    config::{Caller, Config},
    hash::Map,
    outcome::Reason,
    rank::Rank,
};
use rattanmast_state::record;
use smol_str::{SmolStr, format_smolstr};

use crate::problem::{Refusal, Result};

/// The callers of one configuration version, by the hash of their key.
#[derive(Clone, Debug, Default)]
pub struct Callers {
    by_key_hash: Map<SmolStr, Caller>,
}

impl Callers {
    /// Returns the callers of `config`.
    pub fn new(config: &Config) -> Self {
        let entry = |caller: &Caller| (caller.key_sha256.clone(), caller.clone());
        Self {
            by_key_hash: config.callers.iter().map(entry).collect(),
        }
    }

    /// Returns the caller whose key the headers carry.
    ///
    /// The lookup is by the key's hash, so its time says nothing about other keys.
    ///
    /// # Errors
    ///
    /// Refuses a request without a known key with 401.
    pub fn authenticate(&self, headers: &HeaderMap) -> Result<&Caller> {
        let key = headers
            .get(header::AUTHORIZATION)
            .and_then(|value| value.to_str().ok())
            .and_then(|value| value.strip_prefix("Bearer "));
        let caller = key.and_then(|key| {
            self.by_key_hash
                .get(record::sha256(key.as_bytes()).as_str())
        });
        caller.ok_or_else(|| {
            Refusal::not_run(
                StatusCode::UNAUTHORIZED,
                Reason::Denied,
                "the caller is unknown",
                "send `Authorization: Bearer <key>` with a key that the operators have declared",
            )
        })
    }
}

/// Checks that `caller` may ask with `rank`.
///
/// # Errors
///
/// Refuses a rank above the caller's with 403.
pub fn check_rank(caller: &Caller, rank: Rank) -> Result<()> {
    if rank >= caller.rank {
        return Ok(());
    }
    Err(denied(
        format_smolstr!("{} may not ask with rank {}", caller.name, rank.name()),
        format_smolstr!("ask with rank {} or a less urgent one", caller.rank.name()),
    ))
}

/// Returns the refusal of something that the caller has no right to.
pub fn denied(detail: SmolStr, remedy: SmolStr) -> Refusal {
    Refusal::not_run(StatusCode::FORBIDDEN, Reason::Denied, detail, remedy)
}
