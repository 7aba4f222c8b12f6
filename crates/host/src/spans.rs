//! Trace spans of each hop, linked by W3C trace context.

use std::time::Duration;

use opentelemetry::{
    Context, KeyValue,
    trace::{
        Span as _, SpanContext, SpanId, SpanKind, Status, TraceContextExt as _, TraceFlags,
        TraceId, TraceState, Tracer as _, TracerProvider as _,
    },
};
use opentelemetry_otlp::WithExportConfig as _;
use opentelemetry_sdk::{
    Resource,
    error::OTelSdkResult,
    trace::{SdkTracer, SdkTracerProvider, SpanData, SpanExporter},
};
use rattanmast_model::{
    leaf::{self, Leaf, Order, OrderReply, Search, SearchReply},
    request, trace,
};
use snafu::{ResultExt, Snafu};

use crate::config::Traces;

/// The result of setting up a tracer.
pub type Result<T> = std::result::Result<T, Error>;

/// The exporter of spans cannot be set up.
#[derive(Debug, Snafu)]
#[snafu(display("--traces: cannot set up the exporter ({source}); check the address"))]
pub struct Error {
    source: opentelemetry_otlp::ExporterBuildError,
}

/// Starts trace spans.
#[derive(Clone, Debug)]
pub struct Tracer {
    provider: Option<SdkTracerProvider>,
    tracer: Option<SdkTracer>,
}

/// A span that ends when dropped.
#[derive(Debug)]
pub struct Span {
    recorded: Option<opentelemetry_sdk::trace::Span>,
    context: trace::Context,
}

/// Exports each span as a log line.
#[derive(Debug)]
struct LogExporter;

impl SpanExporter for LogExporter {
    async fn export(&self, batch: Vec<SpanData>) -> OTelSdkResult {
        for span in batch {
            let elapsed = span.end_time.duration_since(span.start_time);
            log::info!(
                target: "trace",
                "trace={} span={} parent={} name={} took_us={}",
                span.span_context.trace_id(),
                span.span_context.span_id(),
                span.parent_span_id,
                span.name,
                elapsed.unwrap_or(Duration::ZERO).as_micros(),
            );
        }
        Ok(())
    }
}

impl Tracer {
    /// Creates a tracer for the host `name` that exports spans to `traces`.
    ///
    /// # Errors
    ///
    /// Returns an error if the OTLP exporter cannot be set up.
    pub fn new(name: &str, traces: &Traces) -> Result<Self> {
        let builder = SdkTracerProvider::builder().with_resource(
            Resource::builder()
                .with_service_name("rattanmast-host")
                .with_attribute(KeyValue::new("host.name", name.to_owned()))
                .build(),
        );
        let provider = match traces {
            Traces::Off => None,
            Traces::Log => Some(builder.with_simple_exporter(LogExporter).build()),
            Traces::Otlp(addr) => {
                let exporter = opentelemetry_otlp::SpanExporter::builder()
                    .with_tonic()
                    .with_endpoint(format!("http://{addr}"))
                    .build()
                    .context(Snafu)?;
                Some(builder.with_batch_exporter(exporter).build())
            }
        };
        Ok(Self::from_provider(provider))
    }

    /// Creates a tracer that records through `provider`; public for tests with their own exporter.
    pub fn from_provider(provider: Option<SdkTracerProvider>) -> Self {
        let tracer = provider.as_ref().map(|p| p.tracer("rattanmast"));
        Self { provider, tracer }
    }

    /// Starts the span `name` as a child of `parent`.
    pub fn start(
        &self,
        name: &'static str,
        kind: SpanKind,
        parent: Option<trace::Context>,
    ) -> Span {
        let Some(tracer) = &self.tracer else {
            return Span::unrecorded(parent);
        };
        let parent_context = parent.map_or_else(Context::new, |parent| {
            Context::new().with_remote_span_context(remote_span_context(parent))
        });
        let builder = tracer.span_builder(name).with_kind(kind);
        let recorded = builder.start_with_context(tracer, &parent_context);
        let span_context = recorded.span_context();
        let context = trace::Context {
            trace: u128::from_be_bytes(span_context.trace_id().to_bytes()),
            span: u64::from_be_bytes(span_context.span_id().to_bytes()),
            sampled: span_context.is_sampled(),
        };
        Span {
            recorded: Some(recorded),
            context,
        }
    }

    /// Returns whether spans are recorded; if not, leafs receive the dispatcher's trace context.
    pub fn is_recording(&self) -> bool {
        self.tracer.is_some()
    }

    /// Exports all pending spans.
    pub fn flush(&self) {
        if let Some(Err(error)) = self.provider.as_ref().map(SdkTracerProvider::force_flush) {
            log::warn!("failed to export the last spans ({error}); check the collector");
        }
    }
}

fn remote_span_context(context: trace::Context) -> SpanContext {
    let flags = match context.sampled {
        true => TraceFlags::SAMPLED,
        false => TraceFlags::default(),
    };
    SpanContext::new(
        TraceId::from(context.trace),
        SpanId::from(context.span),
        flags,
        true,
        TraceState::default(),
    )
}

impl Span {
    fn unrecorded(parent: Option<trace::Context>) -> Self {
        let context = parent.map_or_else(
            || trace::Context {
                trace: rand::random::<u128>().max(1),
                span: rand::random::<u64>().max(1),
                sampled: false,
            },
            |parent| parent.child(rand::random::<u64>().max(1)),
        );
        Self {
            recorded: None,
            context,
        }
    }

    /// Returns the context for the next hop.
    pub fn context(&self) -> trace::Context {
        self.context
    }

    /// Sets an attribute of the span.
    pub fn set_attribute(&mut self, key: &'static str, value: impl Into<opentelemetry::Value>) {
        if let Some(span) = &mut self.recorded {
            span.set_attribute(KeyValue::new(key, value));
        }
    }

    /// Marks the span as failed.
    pub fn set_error(&mut self, why: String) {
        if let Some(span) = &mut self.recorded {
            span.set_status(Status::error(why));
        }
    }
}

/// A connector to leafs that records a span for each request.
#[derive(Clone, Debug)]
pub struct Connector<C> {
    inner: C,
    tracer: Tracer,
}

impl<C> Connector<C> {
    /// Wraps `inner` to record spans with `tracer`.
    pub fn new(inner: C, tracer: Tracer) -> Self {
        Self { inner, tracer }
    }
}

/// A connection to a leaf that records a span for each request.
#[derive(Debug)]
pub struct Connection<L> {
    inner: L,
    tracer: Tracer,
    leaf: leaf::Name,
}

impl<C: leaf::Connector> leaf::Connector for Connector<C> {
    type Connection = Connection<C::Connection>;

    async fn open(&self, leaf: &Leaf) -> leaf::Result<Self::Connection> {
        Ok(Connection {
            inner: self.inner.open(leaf).await?,
            tracer: self.tracer.clone(),
            leaf: leaf.name.clone(),
        })
    }
}

impl<L> Connection<L> {
    fn start_span(&self, name: &'static str, parent: Option<trace::Context>) -> Span {
        let mut span = self.tracer.start(name, SpanKind::Client, parent);
        span.set_attribute("leaf", self.leaf.to_string());
        span
    }
}

fn finish<T>(mut span: Span, result: &leaf::Result<T>) {
    if let Err(error) = result {
        span.set_error(error.to_string());
    }
}

impl<L: leaf::Connection> leaf::Connection for Connection<L> {
    const SUPPORTS_CANCEL: bool = L::SUPPORTS_CANCEL;

    fn is_open(&self) -> bool {
        self.inner.is_open()
    }

    async fn cancel(&mut self, id: request::Id) -> leaf::Result<()> {
        self.inner.cancel(id).await
    }

    async fn close(self, wait: Duration) -> bool {
        self.inner.close(wait).await
    }
}

impl<L: leaf::Searcher> leaf::Searcher for Connection<L> {
    async fn search(&mut self, search: &Search) -> leaf::Result<SearchReply> {
        if !self.tracer.is_recording() {
            return self.inner.search(search).await;
        }
        let span = self.start_span("leaf search", search.trace);
        let traced = Search {
            trace: Some(span.context()),
            ..search.clone()
        };
        let result = self.inner.search(&traced).await;
        finish(span, &result);
        result
    }

    async fn order(&mut self, order: &Order) -> leaf::Result<OrderReply> {
        if !self.tracer.is_recording() {
            return self.inner.order(order).await;
        }
        let span = self.start_span("leaf order", order.trace);
        let traced = Order {
            trace: Some(span.context()),
            ..order.clone()
        };
        let result = self.inner.order(&traced).await;
        finish(span, &result);
        result
    }
}
