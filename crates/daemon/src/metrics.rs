//! Metrics through `opentelemetry`, rendered in the Prometheus text format.

use goldcrestway_core::Code;
use opentelemetry::KeyValue;
use opentelemetry::metrics::Counter;
use opentelemetry::metrics::Histogram;
use opentelemetry::metrics::MeterProvider;
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::Encoder;
use prometheus::Registry;
use prometheus::TextEncoder;

/// The metrics of one process.
pub(crate) struct Metrics {
    registry: Registry,
    _provider: SdkMeterProvider,
    events: Counter<u64>,
    requests: Counter<u64>,
    latency_ms: Histogram<u64>,
}

impl Metrics {
    /// Creates all metrics, at zero.
    pub(crate) fn new() -> Self {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build();
        let mut builder = SdkMeterProvider::builder();
        if let Ok(exporter) = exporter {
            builder = builder.with_reader(exporter);
        }
        let provider = builder.build();
        let meter = provider.meter("goldcrestway");
        Self {
            registry,
            events: meter
                .u64_counter("goldcrestway_events")
                .with_description("Numbered events")
                .build(),
            requests: meter
                .u64_counter("goldcrestway_requests")
                .with_description("Requests by outcome")
                .build(),
            latency_ms: meter
                .u64_histogram("goldcrestway_request_latency_ms")
                .with_description("Time from taking a request to its answer, in milliseconds")
                .build(),
            _provider: provider,
        }
    }

    /// Counts an event.
    pub(crate) fn record_event(&self, code: Code) {
        let number = i64::from(code.number());
        self.events.add(
            1,
            &[
                KeyValue::new("event", number),
                KeyValue::new("name", code.name()),
            ],
        );
    }

    /// Counts a request and records its latency.
    pub(crate) fn record_request(&self, outcome: &'static str, latency_ms: u64) {
        self.requests.add(1, &[KeyValue::new("outcome", outcome)]);
        self.latency_ms.record(latency_ms, &[]);
    }

    /// Renders all metrics.
    pub(crate) fn render(&self) -> Vec<u8> {
        let mut text = Vec::new();
        // Writing to memory can't fail; a metric that can't be encoded is left out.
        let _ = TextEncoder::new().encode(&self.registry.gather(), &mut text);
        text
    }
}
