package loader

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"tarragonhead.example/tarragonhead/internal/router"
	"tarragonhead.example/tarragonhead/standins/runner"
)

// Verdict counts the faults found by a comparison of the callers' outcomes with
// the runners' records.
type Verdict struct {
	Requests int
	// Results counts all requests by result, KeyedResults those with an
	// idempotency key.
	Results      map[string]int
	KeyedResults map[string]int
	// RunTwice counts the non-idempotent requests without a key, and the keys,
	// with more than one run. FalseNotRun counts the requests that ran although
	// their result says that they did not. Wrong counts the responses that are
	// not the complete response to their request.
	RunTwice, FalseNotRun, Wrong int
	// Findings describes the first 20 faults. Reasons counts the results other
	// than OK by result and reason.
	Findings []string
	Reasons  map[string]int
}

// CheckOutcomes compares the outcomes of requests with the recorded runs and
// counts the faults.
func CheckOutcomes(outcomes []Outcome, runs []runner.Run) Verdict {
	v := Verdict{Results: map[string]int{}, KeyedResults: map[string]int{}, Reasons: map[string]int{}}
	byID, byKey := map[string]int{}, map[string]int{}
	for _, run := range runs {
		byID[run.ID]++
		if run.Method == "POST" && run.Key != "" {
			byKey[run.Key]++
		}
	}
	addFinding := func(count *int, format string, args ...any) {
		*count++
		if len(v.Findings) < 20 {
			v.Findings = append(v.Findings, fmt.Sprintf(format, args...))
		}
	}
	for key, n := range byKey {
		if n > 1 {
			addFinding(&v.RunTwice, "key %s ran %d times", key, n)
		}
	}
	for _, o := range outcomes {
		v.Requests++
		v.Results[o.Result]++
		if o.Key != "" {
			v.KeyedResults[o.Result]++
		}
		if o.Result != OK {
			v.Reasons[o.Result+": "+o.Reason]++
		}
		ran := byID[o.ID]
		switch {
		case o.Wrong != "":
			addFinding(&v.Wrong, "%s %s: %s", o.Method, o.ID, o.Wrong)
		case o.Method == "POST" && o.Key == "" && ran > 1:
			addFinding(&v.RunTwice, "%s ran %d times", o.ID, ran)
		case (o.Result == router.NotRun || o.Result == Unsent || o.Result == router.BadRequest) && ran > 0:
			addFinding(&v.FalseNotRun, "%s %s: %s, but ran: %s", o.Method, o.ID, o.Result, o.Reason)
		case o.Result == OK && ran == 0 && o.Key == "":
			addFinding(&v.Wrong, "%s: answered, but never ran", o.ID)
		}
	}
	return v
}

// IsClean reports whether no fault was found.
func (v Verdict) IsClean() bool { return v.RunTwice == 0 && v.FalseNotRun == 0 && v.Wrong == 0 }

func (v Verdict) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%d requests: %v; keyed: %v\nrun twice %d, false not_run %d, wrong or truncated %d\n", v.Requests, v.Results, v.KeyedResults, v.RunTwice, v.FalseNotRun, v.Wrong)
	for _, f := range v.Findings {
		fmt.Fprintf(&b, "  %s\n", f)
	}
	reasons := slices.SortedFunc(maps.Keys(v.Reasons), func(a, b string) int { return v.Reasons[b] - v.Reasons[a] })
	for i, r := range reasons {
		if i == 10 {
			break
		}
		fmt.Fprintf(&b, "  %6d  %s\n", v.Reasons[r], r)
	}
	return b.String()
}
