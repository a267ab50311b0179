package apportioner_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"tarragonhead.example/tarragonhead/internal/apportioner"
)

// TestSplit guards against parts that exceed the capacity or a demand, leave capacity
// unused, or don't follow the weights.
func TestSplit(t *testing.T) {
	for name, tt := range map[string]struct {
		capacity float64
		claims   []apportioner.Claim
		want     map[string]float64
		level    float64
	}{
		"enough":            {10, []apportioner.Claim{{"a", 1, 2, 3}, {"b", 9, 1, 0}}, map[string]float64{"a": 5, "b": 1}, math.Inf(1)},
		"by weight":         {12, []apportioner.Claim{{"a", 1, 9, 9}, {"b", 3, 0, 20}}, map[string]float64{"a": 3, "b": 9}, 3},
		"rest is shared":    {12, []apportioner.Claim{{"a", 1, 0, 90}, {"b", 1, 2, 0}, {"c", 1, 90, 0}}, map[string]float64{"a": 5, "b": 2, "c": 5}, 5},
		"no weight":         {12, []apportioner.Claim{{"a", 0, 0, 90}, {"b", 0, 0, 1}, {"c", 1, 4, 4}}, map[string]float64{"a": 3, "b": 1, "c": 8}, math.Inf(1)},
		"weights far apart": {1, []apportioner.Claim{{"a", 1e16, 0, 0.5}, {"b", 1, 0, 9}}, map[string]float64{"a": 0.5, "b": 0.5}, 0.5},
		"nothing to divide": {-1, []apportioner.Claim{{"a", 1, -1, 2}}, map[string]float64{"a": 0}, 0},
	} {
		quicktest.Assert(t, apportioner.Split(tt.capacity, tt.claims), quicktest.DeepEquals, tt.want, quicktest.Commentf(name))
		quicktest.Assert(t, apportioner.Level(tt.capacity, tt.claims), quicktest.Equals, tt.level, quicktest.Commentf(name))
	}
}

// TestMeter guards against jobs that count as beyond although their organisation submits
// at its weight, and against a flood that counts as within. It replays five minutes of
// independent submissions, of which each shard sees a random part.
func TestMeter(t *testing.T) {
	for name, tt := range map[string]struct{ weight, submitted, least, most float64 }{
		"usual, small":     {1, 1, 0.95, 1},
		"usual, large":     {50, 50, 0.97, 1},
		"ten times, small": {1, 10, 0.1, 0.14},
		"ten times, large": {50, 500, 0.1, 0.11},
		"no weight":        {0, 1, 0, 0},
	} {
		random, within, all := rand.New(rand.NewPCG(1, 2)), 0.0, 0.0
		for range 20 {
			m := apportioner.NewMeter(tt.weight, 7)
			for at := 0.0; at < 300; at += random.ExpFloat64() * 7 / tt.submitted {
				within += map[bool]float64{true: 1}[m.Admit(time.UnixMilli(int64(at*1000)))]
				all++
			}
		}
		t.Logf("%s: %.3f of %.0f jobs are within", name, within/all, all)
		quicktest.Assert(t, within >= tt.least*all && within <= tt.most*all, quicktest.IsTrue, quicktest.Commentf("%s: %.3f of %.0f jobs are within", name, within/all, all))
	}
}
