//! Authentication and authorization of callers.

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

/// The callers of one configuration version, indexed by the SHA-256 hash of their API key.
#[derive(Clone, Debug, Default)]
pub struct Callers {
    by_key_hash: Map<SmolStr, Caller>,
}

impl Callers {
    /// Indexes the callers of `config`.
    pub fn new(config: &Config) -> Self {
        let entry = |caller: &Caller| (caller.key_sha256.clone(), caller.clone());
        Self {
            by_key_hash: config.callers.iter().map(entry).collect(),
        }
    }

    /// Returns the caller whose API key is in the `Authorization` header.
    ///
    /// The lookup uses the hash of the key, so its timing reveals nothing about other keys.
    ///
    /// # Errors
    ///
    /// Responds with status 401 if the key is missing or unknown.
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

/// Checks that `caller` may send requests of `rank`.
///
/// # Errors
///
/// Responds with status 403 if `rank` is more urgent than the caller's own.
pub fn check_rank(caller: &Caller, rank: Rank) -> Result<()> {
    if rank >= caller.rank {
        return Ok(());
    }
    Err(denied(
        format_smolstr!("{} may not ask with rank {}", caller.name, rank.name()),
        format_smolstr!("ask with rank {} or a less urgent one", caller.rank.name()),
    ))
}

/// Returns a refusal with status 403.
pub fn denied(detail: SmolStr, remedy: SmolStr) -> Refusal {
    Refusal::not_run(StatusCode::FORBIDDEN, Reason::Denied, detail, remedy)
}
