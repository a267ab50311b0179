package tracer

import (
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

const (
	sampled   = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"
	unsampled = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-00"
)

// TestSampling guards against spans that don't continue the caller's trace, are
// not sampled as the parent is, or are not written to the file as JSON lines.
func TestSampling(t *testing.T) {
	tests := map[string]struct {
		ratio       float64
		traceparent string
		want        bool
	}{
		"sampled parent":            {0, sampled, true},
		"unsampled parent":          {1, unsampled, false},
		"no parent, ratio 0":        {0, "", false},
		"no parent, ratio 1":        {1, "", true},
		"malformed parent":          {0, "00-xyz", false},
		"malformed parent, ratio 1": {1, "00-xyz", true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			file := filepath.Join(t.TempDir(), "spans.jsonl")
			tr, err := New(Options{File: file, Ratio: test.ratio, Service: "test"})
			c.Assert(err, qt.IsNil)
			span := tr.Start([]byte(test.traceparent), "request")
			c.Check(span != nil, qt.Equals, test.want)
			child := span.Child("attempt")
			propagated := child.Traceparent()
			child.End("answered")
			span.End("ok")
			c.Assert(tr.Close(context.Background()), qt.IsNil)
			data, err := os.ReadFile(file)
			c.Assert(err, qt.IsNil)
			lines := strings.Split(strings.TrimSpace(string(data)), "\n")
			if !test.want {
				c.Check(string(data), qt.Equals, "")
				c.Check(propagated, qt.Equals, "")
				return
			}
			c.Assert(lines, qt.HasLen, 2)
			for _, line := range lines {
				c.Check(json.Valid([]byte(line)), qt.IsTrue)
			}
			if test.traceparent == sampled {
				c.Check(propagated, qt.Matches, "00-0af7651916cd43dd8448eb211c80319c-[0-9a-f]{16}-01")
				c.Check(propagated, qt.Not(qt.Equals), sampled)
			}
		})
	}
}

// TestUnsampledCostsNoAllocation guards against memory allocations for a
// request that is not sampled and while tracing is off.
func TestUnsampledCostsNoAllocation(t *testing.T) {
	c := qt.New(t)
	on, err := New(Options{File: filepath.Join(t.TempDir(), "spans.jsonl")})
	c.Assert(err, qt.IsNil)
	for _, tr := range []*Tracer{nil, on} {
		c.Check(testing.AllocsPerRun(100, func() {
			span := tr.Start([]byte(unsampled), "request")
			child := span.Child("attempt")
			_ = child.Traceparent()
			child.End("answered")
			span.End("ok")
		}), qt.Equals, 0.0)
	}
}

// TestUnwritableFile guards against a trace file that can't be opened but is
// not reported when the daemon starts.
func TestUnwritableFile(t *testing.T) {
	_, err := New(Options{File: filepath.Join(t.TempDir(), "missing", "spans.jsonl")})
	qt.Check(t, err, qt.ErrorMatches, "trace file: .*")
}
