package yuccaflow.router.telemetry

import io.opentelemetry.api.common.AttributeKey
import io.opentelemetry.api.trace.Span
import io.opentelemetry.api.trace.propagation.W3CTraceContextPropagator
import io.opentelemetry.context.Context
import io.opentelemetry.context.propagation.TextMapGetter
import io.opentelemetry.sdk.common.CompletableResultCode
import io.opentelemetry.sdk.trace.ReadWriteSpan
import io.opentelemetry.sdk.trace.ReadableSpan
import io.opentelemetry.sdk.trace.SdkTracerProvider
import io.opentelemetry.sdk.trace.SpanProcessor
import io.opentelemetry.sdk.trace.data.SpanData
import io.opentelemetry.sdk.trace.samplers.Sampler
import yuccaflow.control.SpanReport
import java.util.concurrent.TimeUnit

private const val TRACEPARENT = "traceparent"
private val REQUEST_ID: AttributeKey<String> = AttributeKey.stringKey("request_id")

/** Creates the tracing of the router on [host]. Ended spans are added to [store]. */
fun routerTracing(host: String, store: SpanStore): RouterTracing = OtelTracing(host, store)

internal class OtelTracing(
    host: String,
    store: SpanStore,
) : RouterTracing {
    // All requests are sampled, so that operators can look up any recent one. The store bounds the memory.
    private val provider = SdkTracerProvider
        .builder()
        .setSampler(Sampler.alwaysOn())
        .addSpanProcessor(StoringSpanProcessor(host, store))
        .build()
    private val tracer = provider.get("yuccaflow")
    private val propagator = W3CTraceContextPropagator.getInstance()

    override fun start(name: String, requestId: String, traceparent: String?): RouterSpan {
        val parent = propagator.extract(Context.root(), traceparent, TraceparentGetter)
        val span = tracer
            .spanBuilder(name)
            .setParent(parent)
            .setAttribute(REQUEST_ID, requestId)
            .startSpan()
        val headers = mutableMapOf<String, String>()
        propagator.inject(Context.root().with(span), headers) { carrier, key, value -> carrier?.put(key, value) }
        return OtelSpan(span, headers.getValue(TRACEPARENT))
    }

    private class OtelSpan(
        private val span: Span,
        override val traceparent: String,
    ) : RouterSpan {
        override fun tag(name: String, value: String) {
            span.setAttribute(name, value)
        }

        override fun end() = span.end()
    }

    private object TraceparentGetter : TextMapGetter<String> {
        override fun keys(carrier: String): Iterable<String> = listOf(TRACEPARENT)

        override fun get(carrier: String?, key: String): String? = carrier.takeIf { key == TRACEPARENT }
    }
}

/** Adds ended spans to [store]. */
private class StoringSpanProcessor(
    private val host: String,
    private val store: SpanStore,
) : SpanProcessor {
    override fun onStart(parentContext: Context, span: ReadWriteSpan) = Unit

    override fun isStartRequired(): Boolean = false

    override fun onEnd(span: ReadableSpan) {
        val data = span.toSpanData()
        data.attributes.get(REQUEST_ID)?.let { store.add(it, toReport(data)) }
    }

    override fun isEndRequired(): Boolean = true

    override fun shutdown(): CompletableResultCode = CompletableResultCode.ofSuccess()

    private fun toReport(data: SpanData) = SpanReport(
        name = data.name,
        traceId = data.traceId,
        spanId = data.spanId,
        parentId = data.parentSpanId.takeIf { data.parentSpanContext.isValid },
        host = host,
        startedAtMicros = TimeUnit.NANOSECONDS.toMicros(data.startEpochNanos),
        durationMicros = TimeUnit.NANOSECONDS.toMicros(data.endEpochNanos - data.startEpochNanos),
        tags = data.attributes
            .asMap()
            .entries
            .filter { it.key != REQUEST_ID }
            .associate { it.key.key to it.value.toString() },
    )
}
