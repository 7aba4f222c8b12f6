//! Conversions between the model's types and the relay messages.

use std::{str::FromStr as _, time::Duration};

use hyper::{
    HeaderMap, Method, StatusCode, Uri,
    header::{HeaderName, HeaderValue},
};
use rattanmast_model::{
    catalog::Service,
    feed::{Object, Revision, Update},
    forward::{self, Batch, Call, Completion, Merge, Options, Reply},
    host::Incarnation,
    leaf::{Notice, Terms},
    peer::Cause,
    rank::Rank,
};
use smol_str::SmolStr;
use tokio::time::Instant;

use super::proto;

fn encode_headers(map: &HeaderMap) -> Vec<proto::Header> {
    let header = |(name, value): (&HeaderName, &HeaderValue)| proto::Header {
        name: name.as_str().to_owned(),
        value: value.as_bytes().to_vec(),
    };
    map.iter().map(header).collect()
}

fn decode_headers(headers: Vec<proto::Header>) -> HeaderMap {
    let header = |header: proto::Header| {
        let name = HeaderName::from_str(&header.name).ok()?;
        Some((name, HeaderValue::from_bytes(&header.value).ok()?))
    };
    let mut map = HeaderMap::new();
    for (name, value) in headers.into_iter().filter_map(header) {
        map.append(name, value);
    }
    map
}

fn micros_until(instant: Instant) -> u64 {
    let remaining = instant.saturating_duration_since(Instant::now());
    u64::try_from(remaining.as_micros()).unwrap_or(u64::MAX)
}

pub(super) fn encode_call(services: Vec<Service>, call: &Call, options: Options) -> proto::Call {
    let service = |service: Service| proto::Service {
        collection: service.collection.into(),
        index: service.index.into(),
    };
    proto::Call {
        id: call.id.to_string(),
        method: call.method.to_string(),
        target: call.target.to_string(),
        headers: encode_headers(&call.headers),
        body: call.body.to_vec(),
        services: services.into_iter().map(service).collect(),
        rank: options.rank.index() as u32,
        repeatable: options.idempotent,
        attempts: options.max_attempts,
        goal_us: micros_until(options.goal),
        deadline_us: micros_until(options.deadline),
        merge: options.merge.map(encode_merge),
    }
}

/// Decodes a call; `None` if another release sent a form that this one does not support.
pub(super) fn decode_call(message: proto::Call) -> Option<(Vec<Service>, Call, Options)> {
    let service = |service: proto::Service| {
        Some(Service {
            collection: service.collection.into(),
            index: u16::try_from(service.index).ok()?,
        })
    };
    let services = message.services.into_iter().map(service);
    let services: Vec<Service> = services.collect::<Option<_>>()?;
    let call = Call {
        id: message.id.into(),
        method: Method::from_str(&message.method).ok()?,
        target: Uri::from_str(&message.target).ok()?,
        headers: decode_headers(message.headers),
        body: message.body.into(),
    };
    let now = Instant::now();
    let options = Options {
        rank: *Rank::ALL.get(usize::try_from(message.rank).ok()?)?,
        idempotent: message.repeatable,
        max_attempts: message.attempts,
        goal: now.checked_add(Duration::from_micros(message.goal_us))?,
        deadline: now.checked_add(Duration::from_micros(message.deadline_us))?,
        merge: match message.merge {
            Some(merge) => Some(decode_merge(merge)?),
            None => None,
        },
    };
    Some((services, call, options))
}

fn encode_merge(merge: Merge) -> proto::Merge {
    proto::Merge {
        // A record is far smaller than 4 GB.
        record_bytes: u32::try_from(merge.record_bytes).unwrap_or(u32::MAX),
        top_k: merge.top_k as u64,
    }
}

fn decode_merge(merge: proto::Merge) -> Option<Merge> {
    Some(Merge {
        record_bytes: usize::try_from(merge.record_bytes)
            .ok()
            .filter(|b| *b > 0)?,
        top_k: usize::try_from(merge.top_k).ok()?,
    })
}

fn encode_reply(reply: Reply) -> proto::Reply {
    proto::Reply {
        status: reply.status.as_u16().into(),
        headers: encode_headers(&reply.headers),
        body: reply.body.to_vec(),
        digest: reply.digest.map(String::from),
    }
}

fn decode_reply(reply: proto::Reply) -> Option<Reply> {
    let status = u16::try_from(reply.status).ok()?;
    Some(Reply {
        status: StatusCode::from_u16(status).ok()?,
        headers: decode_headers(reply.headers),
        body: reply.body.into(),
        digest: reply.digest.map(SmolStr::from),
    })
}

fn encode_notice(notice: Notice) -> proto::Notice {
    proto::Notice {
        leaf: notice.leaf.into(),
        lifetime: notice.lifetime.0,
        leaving: notice.terms.leaving,
        rate: notice.terms.rate,
    }
}

fn decode_notice(notice: proto::Notice) -> Notice {
    Notice {
        leaf: notice.leaf.into(),
        lifetime: Incarnation(notice.lifetime),
        terms: Terms {
            leaving: notice.leaving,
            pause: None,
            rate: notice.rate.filter(|rate| rate.is_finite() && *rate >= 0.0),
        },
    }
}

fn encode_part(position: usize, forwarded: Completion) -> proto::Part {
    let (cause, reply) = match forwarded.result {
        Ok(reply) => (proto::Cause::None, Some(reply)),
        Err(forward::Error { cause, reply }) => {
            let cause = match cause {
                Cause::Overload => proto::Cause::Overload,
                Cause::Late => proto::Cause::Late,
                // The message has no value for `Elsewhere`; `Gone` and `Moved` concern snapshots and
                // ranges, which forwarded calls do not have.
                _ => proto::Cause::Unreachable,
            };
            (cause, reply)
        }
    };
    proto::Part {
        // The number of services in a call is far below `u32::MAX`.
        service: u32::try_from(position).unwrap_or(u32::MAX),
        begun: forwarded.begun,
        sent: forwarded.sent,
        lost: forwarded.lost,
        notices: forwarded.notices.into_iter().map(encode_notice).collect(),
        reply: reply.map(encode_reply),
        cause: cause.into(),
    }
}

fn decode_part(part: proto::Part) -> Option<(usize, Completion)> {
    let cause = part.cause();
    let reply = part.reply.map(decode_reply);
    let missed = |cause| forward::Error {
        cause,
        reply: reply.clone().flatten(),
    };
    let result = match cause {
        proto::Cause::None => Ok(reply??),
        proto::Cause::Overload => Err(missed(Cause::Overload)),
        proto::Cause::Late => Err(missed(Cause::Late)),
        proto::Cause::Unreachable => Err(missed(Cause::Unreachable)),
    };
    let forwarded = Completion {
        result,
        begun: part.begun,
        sent: part.sent,
        lost: part.lost,
        notices: part.notices.into_iter().map(decode_notice).collect(),
    };
    Some((usize::try_from(part.service).ok()?, forwarded))
}

pub(super) fn encode_batch(batch: Batch) -> proto::Parts {
    let parts = batch.outcomes.into_iter();
    proto::Parts {
        parts: parts
            .map(|(position, part)| encode_part(position, part))
            .collect(),
        records: batch.records.map(Vec::from),
    }
}

/// Decodes outcomes; `None` if another release sent a form that this one does not support.
pub(super) fn decode_batch(message: proto::Parts) -> Option<Batch> {
    let outcomes = message.parts.into_iter().map(decode_part);
    Some(Batch {
        outcomes: outcomes.collect::<Option<_>>()?,
        records: message.records.map(Into::into),
    })
}

/// Encodes an update for a follower whose subscription was received at `subscribed`.
pub(super) fn encode_update(update: Update, subscribed: Instant) -> proto::Update {
    let objects = |objects: Vec<Object>| {
        let object = |object: Object| proto::Object {
            name: object.name.into(),
            content: object.content.to_vec(),
        };
        objects.into_iter().map(object).collect()
    };
    match update {
        Update::All {
            kind,
            objects: all,
            revision,
            watched,
        } => proto::Update {
            kind: kind.into(),
            whole: true,
            objects: objects(all),
            revision: revision.number,
            epoch: revision.epoch,
            watched,
            ..proto::Update::default()
        },
        Update::Changes {
            kind,
            put,
            deleted,
            revision,
        } => proto::Update {
            kind: kind.into(),
            objects: objects(put),
            revision: revision.number,
            epoch: revision.epoch,
            gone: deleted.into_iter().map(String::from).collect(),
            ..proto::Update::default()
        },
        Update::PlatformReachable(current) => proto::Update {
            current,
            ..proto::Update::default()
        },
        Update::Current(at) => proto::Update {
            current: true,
            current_us: Some(signed_us(at, subscribed)),
            ..proto::Update::default()
        },
    }
}

/// Returns the time from `start` to `at` in microseconds.
fn signed_us(at: Instant, start: Instant) -> i64 {
    let us = |time: Duration| i64::try_from(time.as_micros()).unwrap_or(i64::MAX);
    us(at.saturating_duration_since(start)) - us(start.saturating_duration_since(at))
}

/// Returns the time `us` microseconds after `start`; `None` if the clock has no such time.
fn time_after(start: Instant, us: i64) -> Option<Instant> {
    let distance = Duration::from_micros(us.unsigned_abs());
    match us < 0 {
        true => start.checked_sub(distance),
        false => start.checked_add(distance),
    }
}

/// Decodes an update for a subscription that was sent at `subscribed`; `None` if it makes no sense.
pub(super) fn decode_update(update: proto::Update, subscribed: Instant) -> Option<Update> {
    if let Some(us) = update.current_us {
        // Counted from before the subscription was sent, so delays make the state older. A time in the
        // future means that this host's clock stood still for a while.
        let at = time_after(subscribed, us).filter(|at| *at <= Instant::now());
        return at.map(Update::Current);
    }
    let object = |object: proto::Object| Object {
        name: object.name.into(),
        content: object.content.into(),
    };
    let objects = update.objects.into_iter().map(object).collect();
    let revision = Revision {
        epoch: update.epoch,
        number: update.revision,
    };
    Some(match (update.kind.is_empty(), update.whole) {
        (true, _) => Update::PlatformReachable(update.current),
        (false, true) => Update::All {
            kind: update.kind.into(),
            objects,
            revision,
            watched: update.watched,
        },
        (false, false) => Update::Changes {
            kind: update.kind.into(),
            put: objects,
            deleted: update.gone.into_iter().map(SmolStr::from).collect(),
            revision,
        },
    })
}
