// Package tracer makes OpenTelemetry spans and passes trace contexts on.
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

// Tracer is safe for concurrent use. A nil Tracer makes no spans.
type Tracer struct {
	provider   *sdk.TracerProvider
	tracer     trace.Tracer
	propagator propagation.TraceContext
	ratio      float64
	file       io.Closer
}

// New opens the file and returns a tracer, nil when tracing is off.
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
		return nil, errors.Wrap(err, "trace exporter")
	}
	provider := sdk.NewTracerProvider(
		sdk.WithBatcher(exporter),
		// maySample has decided about the requests without a parent.
		sdk.WithSampler(sdk.ParentBased(sdk.AlwaysSample())),
		sdk.WithResource(resource.NewSchemaless(attribute.String("service.name", o.Service))),
	)
	return &Tracer{provider: provider, tracer: provider.Tracer("tarragonhead"), ratio: o.Ratio, file: file}, nil
}

// Close writes the remaining spans.
func (t *Tracer) Close(ctx context.Context) error {
	if t == nil {
		return nil
	}
	if err := t.provider.Shutdown(ctx); err != nil {
		return errors.Wrap(err, "trace")
	}
	return t.file.Close()
}

// Span is a sampled span; a nil Span stands for one that isn't sampled.
type Span struct {
	tracer *Tracer
	ctx    context.Context
	span   trace.Span
}

const traceparentKey = "traceparent"

// Length of a traceparent of version 00 and the place of its flags.
const (
	traceparentBytes = 55
	flagsAt          = 53
)

// Start starts the span of a request that came with traceparent. The result is
// nil when the request isn't sampled; the caller's context is then passed on as
// it came.
func (t *Tracer) Start(traceparent []byte, name string) *Span {
	if t == nil || !t.maySample(traceparent) {
		return nil
	}
	ctx := t.propagator.Extract(context.Background(), propagation.MapCarrier{traceparentKey: string(traceparent)})
	ctx, span := t.tracer.Start(ctx, name, trace.WithSpanKind(trace.SpanKindServer))
	if !span.IsRecording() {
		return nil
	}
	return &Span{t, ctx, span}
}

// maySample decides without an allocation: a request with a parent is sampled
// if the parent is, another one by the ratio.
func (t *Tracer) maySample(traceparent []byte) bool {
	if len(traceparent) != traceparentBytes {
		return rand.Float64() < t.ratio
	}
	return strings.IndexByte("13579bdf", traceparent[flagsAt+1]) >= 0
}

// Child starts a span of a further hop.
func (s *Span) Child(name string) *Span {
	if s == nil {
		return nil
	}
	ctx, span := s.tracer.tracer.Start(s.ctx, name, trace.WithSpanKind(trace.SpanKindClient))
	return &Span{s.tracer, ctx, span}
}

// Traceparent returns the value that passes the span on, empty for nil.
func (s *Span) Traceparent() string {
	if s == nil {
		return ""
	}
	carrier := propagation.MapCarrier{}
	s.tracer.propagator.Inject(s.ctx, carrier)
	return carrier[traceparentKey]
}

// End ends the span with its outcome.
func (s *Span) End(outcome string) {
	if s == nil {
		return
	}
	s.span.SetAttributes(attribute.String("outcome", outcome))
	s.span.End()
}
