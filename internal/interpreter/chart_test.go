package interpreter

import (
	"testing"

	"github.com/frankban/quicktest"
	"github.com/pkg/errors"
)

// TestLoadRefuses guards against chart files with states that can't be
// reached or left.
func TestLoadRefuses(t *testing.T) {
	for name, data := range map[string]string{
		"two transitions":             "start: a\ntransitions: [{from: a, event: e, to: b}, {from: a, event: e, to: c}]",
		"unreachable state":           "start: a\ntransitions: [{from: b, event: e, to: a}]",
		"no path to final state":      "start: a\nfinal: [c]\ntransitions: [{from: a, event: e, to: b}, {from: a, event: f, to: c}]",
		"final state with transition": "start: a\nfinal: [b]\ntransitions: [{from: a, event: e, to: b}, {from: b, event: e, to: a}]",
	} {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			_, err := Load(name, []byte(data))
			var e *ChartError
			c.Assert(errors.As(err, &e), quicktest.IsTrue)
		})
	}
}

// TestNextRefuses guards against a transition on an event that the state does
// not accept.
func TestNextRefuses(t *testing.T) {
	c := quicktest.New(t)
	chart, err := Load("door", []byte("start: shut\ntransitions: [{from: shut, event: open, to: ajar}, {from: ajar, event: close, to: shut}]"))
	c.Assert(err, quicktest.IsNil)
	s, err := chart.Next("shut", "open")
	c.Assert(err, quicktest.IsNil)
	c.Assert(s, quicktest.Equals, State("ajar"))
	c.Assert(chart.Accepts("shut", "open"), quicktest.IsTrue)
	c.Assert(chart.Accepts("shut", "close"), quicktest.IsFalse)
	_, err = chart.Next("shut", "close")
	var e *TransitionError
	c.Assert(errors.As(err, &e), quicktest.IsTrue)
}
