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

// Spans must continue the caller's trace, be sampled as the parent is, and end
// up in the file as JSON lines.
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
			passed := child.Traceparent()
			child.End("answered")
			span.End("ok")
			c.Assert(tr.Close(context.Background()), qt.IsNil)
			data, err := os.ReadFile(file)
			c.Assert(err, qt.IsNil)
			lines := strings.Split(strings.TrimSpace(string(data)), "\n")
			if !test.want {
				c.Check(string(data), qt.Equals, "")
				c.Check(passed, qt.Equals, "")
				return
			}
			c.Assert(lines, qt.HasLen, 2)
			for _, line := range lines {
				c.Check(json.Valid([]byte(line)), qt.IsTrue)
			}
			if test.traceparent == sampled {
				c.Check(passed, qt.Matches, "00-0af7651916cd43dd8448eb211c80319c-[0-9a-f]{16}-01")
				c.Check(passed, qt.Not(qt.Equals), sampled)
			}
		})
	}
}

// Tracing that is off, or a request that isn't sampled, must not allocate.
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

// A file that can't be written is an error at the start.
func TestUnwritableFile(t *testing.T) {
	_, err := New(Options{File: filepath.Join(t.TempDir(), "missing", "spans.jsonl")})
	qt.Check(t, err, qt.ErrorMatches, "trace file: .*")
}
