package planner

import (
	"testing"

	"github.com/frankban/quicktest"
)

// TestHungTail guards against what a lasting task that stands still reports: its
// tail is a hundred times the target whatever runs beside it, and a few such
// reports made every image look harmful.
func TestHungTail(t *testing.T) {
	c := quicktest.New(t)
	m := newSharer().model("serving")
	beside := map[string]float64{"batch": 20}
	for range 30 {
		m.observe(beside, -0.7)
	}
	before := m.coefficients[0] + m.slope("batch")*2
	for range 5 {
		m.observe(beside, 6.5)
	}
	after := m.coefficients[0] + m.slope("batch")*2
	c.Assert(after-before < 0.2, quicktest.IsTrue, quicktest.Commentf("%.2f before, %.2f after", before, after))
}

// TestDisturbedTailSwings guards against filling tasks that pile up beside a
// lasting one: what they do to it together swings within seconds.
func TestDisturbedTailSwings(t *testing.T) {
	c := quicktest.New(t)
	quiet := victim{level: -0.4}
	disturbed := victim{level: -0.4, disturbed: 0.8}
	c.Assert(disturbed.chanceOver(0) > 1.5*quiet.chanceOver(0), quicktest.IsTrue,
		quicktest.Commentf("%.2f and %.2f", disturbed.chanceOver(0), quiet.chanceOver(0)))
}
