package planner

import (
	"testing"

	"github.com/frankban/quicktest"
)

// TestHungTail guards against learning from stalled long-running tasks: they
// report a tail latency a hundred times the target regardless of the other
// tasks, and a few such reports made every image look harmful.
func TestHungTail(t *testing.T) {
	c := quicktest.New(t)
	m := newTailModels().modelFor("serving")
	neighbours := map[string]float64{"batch": 20}
	for range 30 {
		m.observe(neighbours, -0.7)
	}
	before := m.coefficients[0] + m.slope("batch")*2
	for range 5 {
		m.observe(neighbours, 6.5)
	}
	after := m.coefficients[0] + m.slope("batch")*2
	c.Assert(after-before < 0.2, quicktest.IsTrue, quicktest.Commentf("%.2f before, %.2f after", before, after))
}

// TestDisturbanceWidensDeviation guards against too many best-effort tasks
// beside one long-running task: their combined effect varies within seconds,
// which raises the probability of exceeding the target.
func TestDisturbanceWidensDeviation(t *testing.T) {
	c := quicktest.New(t)
	quiet := victim{level: -0.4}
	disturbed := victim{level: -0.4, disturbance: 0.8}
	c.Assert(disturbed.overTargetProbability(0) > 1.5*quiet.overTargetProbability(0), quicktest.IsTrue,
		quicktest.Commentf("%.2f and %.2f", disturbed.overTargetProbability(0), quiet.overTargetProbability(0)))
}
