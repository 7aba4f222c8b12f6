//! Refused requests as problem documents (RFC 9457).

use hyper::{Response, StatusCode, header};
use rattanmast_model::outcome::{Outcome, Reason};
use rattanmast_wire::{
    api::{self, Problem},
    http::{self, FullBody},
};
use smol_str::SmolStr;

/// The result of a request handler or filter.
pub type Result<T> = std::result::Result<T, Refusal>;

/// Value of the `Retry-After` header.
const RETRY_AFTER_SECS: &str = "1";

/// A request that was not answered as asked, with its outcome.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// The HTTP status.
    pub status: StatusCode,
    /// The cause of the refusal.
    pub detail: SmolStr,
    /// Whether the request ran, and what the caller can do.
    pub outcome: Outcome,
}

impl Refusal {
    /// Refuses a request that was not sent to any leaf.
    pub fn not_run(
        status: StatusCode,
        reason: Reason,
        detail: impl Into<SmolStr>,
        remedy: impl Into<SmolStr>,
    ) -> Self {
        Self {
            status,
            detail: detail.into(),
            outcome: Outcome::NotRun {
                reason,
                remedy: remedy.into(),
            },
        }
    }

    /// Converts an unsuccessful outcome into a refusal.
    pub fn from_outcome(outcome: Outcome) -> Self {
        let (status, detail) = match &outcome {
            Outcome::NotRun { reason, .. } => (status_of(*reason), detail_of(*reason)),
            Outcome::Unknown { .. } => (StatusCode::GATEWAY_TIMEOUT, "it may have run"),
            Outcome::Done { .. } | Outcome::AlreadyDone { .. } => (StatusCode::OK, "it ran"),
        };
        Self {
            status,
            detail: SmolStr::new_static(detail),
            outcome,
        }
    }

    /// Converts the refusal into an HTTP response.
    pub fn response(self) -> Response<FullBody> {
        let problem = Problem {
            title: self.status.canonical_reason().unwrap_or("refused").into(),
            status: self.status.as_u16(),
            detail: self.detail,
            outcome: self.outcome,
        };
        let body = http::encode(&problem);
        let mut response = http::with_content_type(self.status, "application/problem+json", body);
        set_outcome_header(&mut response, problem.outcome.name());
        if self.status == StatusCode::SERVICE_UNAVAILABLE {
            let value = header::HeaderValue::from_static(RETRY_AFTER_SECS);
            response.headers_mut().insert(header::RETRY_AFTER, value);
        }
        response
    }
}

/// Sets the response header that names the outcome.
pub fn set_outcome_header(response: &mut Response<FullBody>, outcome: &'static str) {
    let value = header::HeaderValue::from_static(outcome);
    response.headers_mut().insert(api::OUTCOME_HEADER, value);
}

const fn status_of(reason: Reason) -> StatusCode {
    match reason {
        Reason::Overload
        | Reason::Unreachable
        | Reason::Store
        | Reason::Stopping
        | Reason::Stale
        | Reason::Refused => StatusCode::SERVICE_UNAVAILABLE,
        Reason::Late => StatusCode::GATEWAY_TIMEOUT,
        Reason::Key => StatusCode::UNPROCESSABLE_ENTITY,
        Reason::Denied => StatusCode::FORBIDDEN,
        Reason::Invalid => StatusCode::BAD_REQUEST,
    }
}

const fn detail_of(reason: Reason) -> &'static str {
    match reason {
        Reason::Overload => "there is no room for work of this rank now",
        Reason::Late => "the time left was too short",
        Reason::Unreachable => "no leaf that could serve it is reachable",
        Reason::Store => "the platform's store does not answer",
        Reason::Stopping => "this host is stopping",
        Reason::Stale => "this host cannot prove that its configuration is in force",
        Reason::Key => "the idempotency key cannot be used",
        Reason::Denied => "the caller has no right to it",
        Reason::Invalid => "the request is malformed",
        Reason::Refused => "it was refused before any leaf began it",
    }
}
