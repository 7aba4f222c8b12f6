//! Conversions between the model's types and the tonic messages for queries and orders that
//! hosts send to each other.

use rattanmast_model::{
    catalog::{Service, Snapshot},
    config, host, leaf, outcome,
    peer::{self, Cause, Step},
    range,
    rank::Rank,
    request, trace,
};
use smol_str::SmolStr;
use snafu::{OptionExt, ResultExt, Snafu};

#[expect(
    missing_docs,
    clippy::all,
    clippy::allow_attributes,
    reason = "generated from proto/hop.proto, which has the comments"
)]
#[rustfmt::skip]
#[path = "gen/hop.rs"]
pub mod proto;

/// A result of this module.
pub type Result<T> = std::result::Result<T, Error>;

/// Why a message of another host could not be decoded.
#[derive(Debug, Snafu)]
pub enum Error {
    /// A required field is missing or out of range.
    #[snafu(display("field {field} is missing or out of range; run one release on all hosts"))]
    Field {
        /// The name of the field.
        field: &'static str,
    },
    /// The outcome is not valid JSON of the expected form.
    #[snafu(display("outcome is not readable ({source}); run one release on all hosts"))]
    Outcome {
        /// What the parser returned.
        source: serde_json::Error,
    },
}

/// Converts a failed call: `Connect` if it was never sent, `Broken` if the host may have
/// received it.
pub fn call_error(host: &host::Name, status: &tonic::Status) -> peer::Error {
    let mut source = std::error::Error::source(status);
    while let Some(error) = source {
        if error.is::<tonic::ConnectError>() {
            return peer::Error::Connect { host: host.clone() };
        }
        source = error.source();
    }
    peer::Error::Broken {
        host: host.clone(),
        why: SmolStr::new(status.message()),
    }
}

fn encode_id(id: request::Id) -> proto::Id {
    proto::Id {
        host: id.host,
        incarnation: id.incarnation.0,
        sequence: id.sequence,
    }
}

fn decode_id(id: Option<proto::Id>) -> Result<request::Id> {
    let id = id.context(FieldSnafu { field: "id" })?;
    Ok(request::Id {
        host: id.host,
        incarnation: host::Incarnation(id.incarnation),
        sequence: id.sequence,
    })
}

fn encode_trace(trace: trace::Context) -> proto::Trace {
    proto::Trace {
        trace: trace.trace.to_be_bytes().to_vec(),
        span: trace.span,
        sampled: trace.sampled,
    }
}

/// Decodes a trace context; ignores a malformed one, since a trace is no reason to reject a call.
fn decode_trace(trace: Option<proto::Trace>) -> Option<trace::Context> {
    let trace = trace?;
    let bytes = trace.trace.try_into().ok()?;
    let context = trace::Context {
        trace: u128::from_be_bytes(bytes),
        span: trace.span,
        sampled: trace.sampled,
    };
    (context.trace != 0 && context.span != 0).then_some(context)
}

fn encode_range(range: range::Range) -> proto::Range {
    proto::Range {
        start: range.start,
        end: range.end,
    }
}

fn decode_range(range: proto::Range) -> range::Range {
    range::Range::new(range.start, range.end)
}

fn encode_rank(rank: Rank) -> u32 {
    rank.index() as u32
}

fn decode_rank(rank: u32) -> Result<Rank> {
    let index = usize::try_from(rank).ok();
    index
        .and_then(|index| Rank::ALL.get(index).copied())
        .context(FieldSnafu { field: "rank" })
}

fn decode_service(service: u32) -> Result<u16> {
    let service = u16::try_from(service).ok();
    service.context(FieldSnafu { field: "service" })
}

fn encode_strings(strings: Vec<SmolStr>) -> Vec<String> {
    strings.into_iter().map(String::from).collect()
}

fn decode_strings(strings: Vec<String>) -> Vec<SmolStr> {
    strings.into_iter().map(SmolStr::from).collect()
}

impl From<peer::Subquery> for proto::Subquery {
    fn from(message: peer::Subquery) -> Self {
        Self {
            id: Some(encode_id(message.id)),
            config: message.config.0,
            collection: message.collection.into(),
            snapshot: message.snapshot.0,
            asks: message.asks.into_iter().map(proto::Ask::from).collect(),
            text: message.text.into(),
            rank: encode_rank(message.rank),
            coverage_first: message.priority == config::Priority::Coverage,
            budget_ms: message.budget_ms,
            open: message.open,
            trace: message.trace.map(encode_trace),
        }
    }
}

impl From<peer::Ask> for proto::Ask {
    fn from(ask: peer::Ask) -> Self {
        Self {
            service: ask.service.into(),
            ranges: ask.ranges.into_iter().map(encode_range).collect(),
            leafs: encode_strings(ask.leafs),
        }
    }
}

impl TryFrom<proto::Subquery> for peer::Subquery {
    type Error = Error;

    fn try_from(message: proto::Subquery) -> Result<Self> {
        let ask = |ask: proto::Ask| {
            Ok(peer::Ask {
                service: decode_service(ask.service)?,
                ranges: ask.ranges.into_iter().map(decode_range).collect(),
                leafs: decode_strings(ask.leafs),
            })
        };
        Ok(Self {
            id: decode_id(message.id)?,
            config: config::Version(message.config),
            collection: message.collection.into(),
            snapshot: Snapshot(message.snapshot),
            asks: message.asks.into_iter().map(ask).collect::<Result<_>>()?,
            text: message.text.into(),
            rank: decode_rank(message.rank)?,
            priority: match message.coverage_first {
                true => config::Priority::Coverage,
                false => config::Priority::Time,
            },
            budget_ms: message.budget_ms,
            open: message.open,
            trace: decode_trace(message.trace),
        })
    }
}

impl From<leaf::Part> for proto::Part {
    fn from(part: leaf::Part) -> Self {
        let row = |row: leaf::Row| proto::Row {
            key: row.key,
            record: row.record.into(),
            text: row.text.into(),
        };
        Self {
            range: Some(encode_range(part.range)),
            records: part.records,
            rows: part.rows.into_iter().map(row).collect(),
        }
    }
}

impl TryFrom<proto::Part> for leaf::Part {
    type Error = Error;

    fn try_from(part: proto::Part) -> Result<Self> {
        let row = |row: proto::Row| leaf::Row {
            key: row.key,
            record: row.record.into(),
            text: row.text.into(),
        };
        Ok(Self {
            range: part
                .range
                .map(decode_range)
                .context(FieldSnafu { field: "range" })?,
            records: part.records,
            rows: part.rows.into_iter().map(row).collect(),
        })
    }
}

impl From<peer::Miss> for proto::Miss {
    fn from(miss: peer::Miss) -> Self {
        let (cause, held) = match miss.cause {
            Cause::Unreachable => (proto::Cause::Unreachable, Vec::new()),
            Cause::Overload => (proto::Cause::Overload, Vec::new()),
            Cause::Late => (proto::Cause::Late, Vec::new()),
            Cause::Gone(held) => (proto::Cause::Gone, held),
            Cause::Moved => (proto::Cause::Moved, Vec::new()),
            Cause::Elsewhere => (proto::Cause::Elsewhere, Vec::new()),
        };
        Self {
            service: miss.service.into(),
            cause: cause.into(),
            held: held.into_iter().map(|snapshot| snapshot.0).collect(),
        }
    }
}

impl TryFrom<proto::Miss> for peer::Miss {
    type Error = Error;

    fn try_from(miss: proto::Miss) -> Result<Self> {
        let cause = match miss.cause() {
            proto::Cause::Unreachable => Cause::Unreachable,
            proto::Cause::Overload => Cause::Overload,
            proto::Cause::Late => Cause::Late,
            proto::Cause::Gone => Cause::Gone(miss.held.into_iter().map(Snapshot).collect()),
            proto::Cause::Moved => Cause::Moved,
            proto::Cause::Elsewhere => Cause::Elsewhere,
        };
        Ok(Self {
            service: decode_service(miss.service)?,
            cause,
        })
    }
}

impl From<peer::Subreply> for proto::Subreply {
    fn from(reply: peer::Subreply) -> Self {
        let wait = |(service, by_rank): (Service, [u32; 3])| proto::Wait {
            collection: service.collection.into(),
            service: service.index.into(),
            by_rank_us: by_rank.to_vec(),
        };
        Self {
            id: Some(encode_id(reply.id)),
            incarnation: reply.incarnation.0,
            snapshot: reply.snapshot.0,
            parts: reply.parts.into_iter().map(proto::Part::from).collect(),
            misses: reply.misses.into_iter().map(proto::Miss::from).collect(),
            begun: reply.begun,
            sent: reply.sent,
            leaf_us: reply.leaf_us,
            waits: reply.report.waits.into_iter().map(wait).collect(),
            leaving: encode_strings(reply.report.leaving),
        }
    }
}

impl TryFrom<proto::Subreply> for peer::Subreply {
    type Error = Error;

    fn try_from(reply: proto::Subreply) -> Result<Self> {
        let wait = |wait: proto::Wait| {
            let service = Service {
                collection: wait.collection.into(),
                index: decode_service(wait.service)?,
            };
            let by_rank = wait.by_rank_us.try_into().ok();
            Ok((
                service,
                by_rank.context(FieldSnafu {
                    field: "by_rank_us",
                })?,
            ))
        };
        let parts = reply.parts.into_iter().map(leaf::Part::try_from);
        let misses = reply.misses.into_iter().map(peer::Miss::try_from);
        Ok(Self {
            id: decode_id(reply.id)?,
            incarnation: host::Incarnation(reply.incarnation),
            snapshot: Snapshot(reply.snapshot),
            parts: parts.collect::<Result<_>>()?,
            misses: misses.collect::<Result<_>>()?,
            begun: reply.begun,
            sent: reply.sent,
            leaf_us: reply.leaf_us,
            report: peer::Report {
                waits: reply.waits.into_iter().map(wait).collect::<Result<_>>()?,
                leaving: decode_strings(reply.leaving),
            },
        })
    }
}

impl From<peer::Order> for proto::Order {
    fn from(order: peer::Order) -> Self {
        Self {
            id: Some(encode_id(order.id)),
            target: order.target.0,
            dispatch: order.step == Step::Dispatch,
            key: order.key.into(),
            caller: order.caller.into(),
            collection: order.collection.into(),
            action: order.action.into(),
            record: order.record.into(),
            rank: encode_rank(order.rank),
            budget_ms: order.budget_ms,
            not_after_ms: order.not_after_ms,
            trace: order.trace.map(encode_trace),
        }
    }
}

impl TryFrom<proto::Order> for peer::Order {
    type Error = Error;

    fn try_from(order: proto::Order) -> Result<Self> {
        Ok(Self {
            id: decode_id(order.id)?,
            target: host::Incarnation(order.target),
            step: match order.dispatch {
                true => Step::Dispatch,
                false => Step::Claim,
            },
            key: order.key.into(),
            caller: order.caller.into(),
            collection: order.collection.into(),
            action: order.action.into(),
            record: order.record.into(),
            rank: decode_rank(order.rank)?,
            budget_ms: order.budget_ms,
            not_after_ms: order.not_after_ms,
            trace: decode_trace(order.trace),
        })
    }
}

impl From<&outcome::Outcome> for proto::Outcome {
    fn from(outcome: &outcome::Outcome) -> Self {
        let json = serde_json::to_string(outcome).expect("outcomes have a JSON form");
        Self { json }
    }
}

impl TryFrom<proto::Outcome> for outcome::Outcome {
    type Error = Error;

    fn try_from(outcome: proto::Outcome) -> Result<Self> {
        serde_json::from_str(&outcome.json).context(OutcomeSnafu)
    }
}
