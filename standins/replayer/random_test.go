package replayer_test

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"tarragonhead.example/tarragonhead/standins/replayer"
)

const (
	// randomSeeds is the number of random mixes, with the seeds from 1, that are
	// replayed unless randomDurationVar is set.
	randomSeeds = 4
	// randomDurationVar is the environment variable with the duration of a long
	// run, and randomFirstVar the one with its first seed.
	randomDurationVar = "TARRAGON_RANDOM_FOR"
	randomFirstVar    = "TARRAGON_RANDOM_FROM"
	// randomSpan is the time within which faults start. The last faults end before
	// the last jobs arrive.
	randomSpan = 18 * time.Second
)

// randomFaults draws one fault of each kind.
var randomFaults = map[string]func(r *rand.Rand) replayer.Fault{
	"silent": func(r *rand.Rand) replayer.Fault {
		return replayer.Fault{For: drawTime(r, 500, 9000), Share: drawShare(r)}
	},
	"hang": func(r *rand.Rand) replayer.Fault {
		return replayer.Fault{For: drawTime(r, 500, 6000), Share: drawShare(r) / 2}
	},
	"fail": func(r *rand.Rand) replayer.Fault {
		return replayer.Fault{For: drawTime(r, 500, 6000), Share: drawShare(r) / 2}
	},
	"slow": func(r *rand.Rand) replayer.Fault {
		return replayer.Fault{For: drawTime(r, 500, 6000), Share: drawShare(r), Factor: 1 + 6*r.Float64()}
	},
	"drain": func(r *rand.Rand) replayer.Fault {
		return replayer.Fault{For: drawTime(r, 1000, 4000), Share: drawShare(r) / 2}
	},
	"crash": func(r *rand.Rand) replayer.Fault {
		return replayer.Fault{For: drawTime(r, 300, 6000), Share: drawShare(r)}
	},
	"restart":         drawRestart,
	"restart_same_id": drawRestart,
	"late": func(r *rand.Rand) replayer.Fault {
		return replayer.Fault{For: drawTime(r, 1000, 8000), Share: 0.1 * r.Float64()}
	},
	"outage": func(r *rand.Rand) replayer.Fault { return replayer.Fault{For: drawTime(r, 300, 8000)} },
	"burst": func(r *rand.Rand) replayer.Fault {
		return replayer.Fault{For: drawTime(r, 1000, 6000), Factor: 1 + 1.5*r.Float64()}
	},
	"takeover": func(*rand.Rand) replayer.Fault { return replayer.Fault{} },
	"split": func(r *rand.Rand) replayer.Fault {
		return replayer.Fault{For: drawTime(r, 2500, 9000), Share: drawShare(r)}
	},
}

func drawRestart(r *rand.Rand) replayer.Fault {
	return replayer.Fault{For: drawTime(r, 300, 4000), Share: drawShare(r), Factor: float64(1 + r.IntN(4))}
}

// drawTime draws a time between two numbers of milliseconds.
func drawTime(r *rand.Rand, from, to int) time.Duration {
	return time.Duration(from+r.IntN(to-from)) * time.Millisecond
}

func drawShare(r *rand.Rand) float64 { return 0.05 + 0.3*r.Float64() }

// randomPattern draws a load with faults that overlap and come in series.
func randomPattern(seed uint64) replayer.Pattern {
	r := rand.New(rand.NewPCG(seed, 4))
	p := replayer.Cellarlog(scale)
	if r.IntN(2) == 0 {
		p = replayer.Tricahue(scale)
	}
	kinds := make([]string, 0, len(randomFaults))
	for kind := range randomFaults {
		kinds = append(kinds, kind)
	}
	slices.Sort(kinds)
	for range 2 + r.IntN(5) {
		kind := kinds[r.IntN(len(kinds))]
		at := drawTime(r, 2000, int(randomSpan.Milliseconds()))
		for range 1 + r.IntN(3) {
			f := randomFaults[kind](r)
			f.Kind, f.At = kind, at
			p = p.With(f)
			at += drawTime(r, 100, 5000)
		}
	}
	return p
}

// randomRestarts draws a load whose short jobs have steps of any kind, with
// restarts that overlap with other faults.
func randomRestarts(seed uint64) replayer.Pattern {
	r := rand.New(rand.NewPCG(seed, 5))
	p := replayer.Cellarlog(scale)
	if r.IntN(2) == 0 {
		p = replayer.Tricahue(scale)
	}
	variants := [...]func(replayer.Pattern) replayer.Pattern{failing, resumable, gangs, speculative}
	p = variants[r.IntN(len(variants))](p)
	for range 1 + r.IntN(3) {
		f := drawRestart(r)
		f.Kind = [...]string{"restart", "restart_same_id"}[r.IntN(2)]
		f.At = drawTime(r, 2000, int(randomSpan.Milliseconds()))
		p = p.With(f)
		for range r.IntN(3) {
			kind := [...]string{"takeover", "outage", "split", "silent", "crash", "slow", "drain"}[r.IntN(7)]
			o := randomFaults[kind](r)
			o.Kind, o.At = kind, f.At+drawTime(r, -1000, 3000)
			p = p.With(o)
		}
	}
	return p
}

// TestRandomFaults guards against violations of the invariants that need several
// faults. A long run:
//
//	TARRAGON_RANDOM_FOR=10m go test ./standins/replayer -run TestRandomFaults -timeout 0 -v
func TestRandomFaults(t *testing.T) { replayRandomly(t, randomPattern) }

// TestRandomRestarts is like TestRandomFaults, with restarts beside one or two
// other faults, and with gangs, speculative steps and failing tasks.
func TestRandomRestarts(t *testing.T) { replayRandomly(t, randomRestarts) }

// replayRandomly replays random mixes for the duration that is set.
func replayRandomly(t *testing.T, draw func(uint64) replayer.Pattern) {
	length, err := time.ParseDuration(os.Getenv(randomDurationVar))
	if err != nil {
		replayRandom(t, draw, 1, randomSeeds)
		return
	}
	seed := uint64(time.Now().UnixNano())
	if first := os.Getenv(randomFirstVar); first != "" {
		_, err := fmt.Sscan(first, &seed)
		quicktest.Assert(t, err, quicktest.IsNil)
	}
	for begun := time.Now(); time.Since(begun) < length; seed += randomSeeds {
		replayRandom(t, draw, seed, randomSeeds)
	}
	t.Logf("the last seed was %d", seed-1)
}

// replayRandom replays the random mixes with count seeds from first.
func replayRandom(t *testing.T, draw func(uint64) replayer.Pattern, first, count uint64) {
	t.Run(fmt.Sprintf("from %d", first), func(t *testing.T) {
		for seed := first; seed < first+count; seed++ {
			t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
				t.Parallel()
				p := draw(seed)
				r := replayer.New(p, seed, nil).Run()
				quicktest.Check(t, r.Violations, quicktest.HasLen, 0, quicktest.Commentf("%v\n%+v", r.First, p.Faults))
			})
		}
	})
}
