// Package tracer creates OpenTelemetry spans and propagates trace contexts.
package tracer

import (
	"context"
	"io"
	"math/rand/v2"
	"os"
	"strings"

	"github.com/pkg/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdk "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
)

// Options are the settings of a tracer.
type Options struct {
	// File receives the spans as JSON lines; empty turns tracing off.
	File string
	// Ratio is the share of the requests without a trace context that is
	// sampled, between 0 and 1.
	Ratio float64
	// Service names the process in its spans.
	Service string
}

// Tracer creates spans. It is safe for concurrent use; a nil Tracer creates
// none.
type Tracer struct {
	provider   *sdk.TracerProvider
	tracer     trace.Tracer
	propagator propagation.TraceContext
	ratio      float64
	file       io.Closer
}

// New opens the trace file and returns a tracer, nil if tracing is off.
func New(o Options) (*Tracer, error) {
	if o.File == "" {
		return nil, nil
	}
	file, err := os.OpenFile(o.File, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, errors.Wrap(err, "trace file")
	}
	exporter, err := stdouttrace.New(stdouttrace.WithWriter(file))
	if err != nil {
		return nil, errors.Wrap(err, "create trace exporter")
	}
	provider := sdk.NewTracerProvider(
		sdk.WithBatcher(exporter),
		// Start has sampled the requests without a parent.
		sdk.WithSampler(sdk.ParentBased(sdk.AlwaysSample())),
		sdk.WithResource(resource.NewSchemaless(attribute.String("service.name", o.Service))),
	)
	return &Tracer{provider: provider, tracer: provider.Tracer("tarragonhead"), ratio: o.Ratio, file: file}, nil
}

// Close writes the remaining spans and closes the trace file.
func (t *Tracer) Close(ctx context.Context) error {
	if t == nil {
		return nil
	}
	if err := t.provider.Shutdown(ctx); err != nil {
		return errors.Wrap(err, "write spans")
	}
	return t.file.Close()
}

// Span is a sampled span; a nil Span stands for one that is not sampled.
type Span struct {
	tracer *Tracer
	ctx    context.Context
	span   trace.Span
}

const traceparentKey = "traceparent"

// traceparentBytes is the length of a traceparent of version 00. flagsIndex is
// the index of its flags, two hexadecimal digits; the last bit is set if the
// parent was sampled.
const (
	traceparentBytes = 55
	flagsIndex       = 53
)

// Start starts the span of a request that arrived with traceparent. It returns
// nil if the request is not sampled; the caller then forwards traceparent
// unchanged.
func (t *Tracer) Start(traceparent []byte, name string) *Span {
	if t == nil || !t.shouldSample(traceparent) {
		return nil
	}
	ctx := t.propagator.Extract(context.Background(), propagation.MapCarrier{traceparentKey: string(traceparent)})
	ctx, span := t.tracer.Start(ctx, name, trace.WithSpanKind(trace.SpanKindServer))
	if !span.IsRecording() {
		return nil
	}
	return &Span{t, ctx, span}
}

// shouldSample decides without allocating memory: a request with a parent is
// sampled if its parent is, any other request by the ratio.
func (t *Tracer) shouldSample(traceparent []byte) bool {
	if len(traceparent) != traceparentBytes {
		return rand.Float64() < t.ratio
	}
	return strings.IndexByte("13579bdf", traceparent[flagsIndex+1]) >= 0
}

// Child starts the span of a request that is sent on.
func (s *Span) Child(name string) *Span {
	if s == nil {
		return nil
	}
	ctx, span := s.tracer.tracer.Start(s.ctx, name, trace.WithSpanKind(trace.SpanKindClient))
	return &Span{s.tracer, ctx, span}
}

// Traceparent returns the traceparent that propagates the span, empty for nil.
func (s *Span) Traceparent() string {
	if s == nil {
		return ""
	}
	carrier := propagation.MapCarrier{}
	s.tracer.propagator.Inject(s.ctx, carrier)
	return carrier[traceparentKey]
}

// End records the outcome and ends the span.
func (s *Span) End(outcome string) {
	if s == nil {
		return
	}
	s.span.SetAttributes(attribute.String("outcome", outcome))
	s.span.End()
}
