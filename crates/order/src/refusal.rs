//! Outcomes that refuse an order or leave it unknown, with the remedy for the caller.

use rattanmast_model::outcome::{Outcome, Reason};

/// Returns the outcome of an order that was not run.
pub fn not_run(reason: Reason, remedy: &str) -> Outcome {
    Outcome::NotRun {
        reason,
        remedy: remedy.into(),
    }
}

/// Returns the outcome of an order that may have run.
pub fn unknown(remedy: &str) -> Outcome {
    Outcome::Unknown {
        remedy: remedy.into(),
    }
}

/// Converts `outcome` of an order into that of a duplicate request for it.
pub fn as_duplicate(outcome: Outcome) -> Outcome {
    match outcome {
        Outcome::Done { result } => Outcome::AlreadyDone {
            result: Some(result),
        },
        other => other,
    }
}

/// The platform store does not respond.
pub fn store_unavailable() -> Outcome {
    not_run(
        Reason::Store,
        "the order was not run because the platform's store does not answer; send it again with \
         the same key, or get a ticket from POST /v1/tickets, which needs no store",
    )
}

/// The remaining time is too short.
pub fn late() -> Outcome {
    not_run(
        Reason::Late,
        "the time left was too short; send it again with the same key and a longer timeout_ms",
    )
}

/// The process is stopping.
pub fn stopping() -> Outcome {
    not_run(
        Reason::Stopping,
        "the host is stopping; send it again with the same key to another host",
    )
}

/// The process has no proof that its configuration is in force.
pub fn stale_config() -> Outcome {
    not_run(
        Reason::Stale,
        "the host cannot prove that its configuration is in force; send it again with the same \
         key to another host",
    )
}

/// The process that issued the ticket has stopped.
pub fn ticket_issuer_gone() -> Outcome {
    unknown(
        "the process that issued the ticket is gone, and only it knew whether the order ran; \
         look at the record at the leaf before the order is sent again",
    )
}

/// An earlier request with the key had other content.
pub fn key_reused() -> Outcome {
    not_run(
        Reason::Key,
        "another order was sent with this key; use a new key for each order",
    )
}

/// No more keys can be kept in memory.
pub fn too_many_keys() -> Outcome {
    not_run(
        Reason::Overload,
        "too many orders in the last minutes; send it again later with a new key",
    )
}

/// The order is in flight and may run.
pub fn in_progress() -> Outcome {
    unknown("the order is in progress; ask GET /v1/orders/<key> for its outcome")
}

/// The process that claimed the key is gone and left no outcome.
pub fn holder_gone() -> Outcome {
    unknown(
        "the process that claimed the order stopped before it recorded an outcome; look at the \
         record at the leaf before the order is sent again with a new key",
    )
}

/// The ticket was not issued by this process to the caller, or has expired.
pub fn invalid_ticket() -> Outcome {
    not_run(
        Reason::Key,
        "the ticket has expired or was not issued to this caller; get a new one from POST \
         /v1/tickets",
    )
}

/// No attempt has run, but one that is in flight may still run.
pub fn not_run_so_far() -> Outcome {
    unknown(
        "no attempt has run so far; send the order again with the same key, which runs it at most \
         once and returns its outcome",
    )
}
