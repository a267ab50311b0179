package scheduler

import "time"

const (
	// ringSize is the number of explanations that are kept.
	ringSize = 4096
	// refusalInterval is the shortest time between explanations of why one
	// task waits, so that refusals don't push everything else out of the ring.
	refusalInterval = 5 * time.Second
)

// Figure is a number on which a decision was based.
type Figure struct {
	Name  string  `json:"name"`
	Value float64 `json:"value"`
}

// Explanation is the reason of one decision.
type Explanation struct {
	At time.Time `json:"at"`
	// Action names the decision: "place", "refuse", "park", "evict",
	// "checkpoint", "hand_over", "worker_quarantine" and others.
	Action string `json:"action"`
	Task   TaskID `json:"task,omitempty"`
	// Job is the owner of the task: a job, a service or a watcher.
	Job     string   `json:"job,omitempty"`
	Worker  string   `json:"worker,omitempty"`
	Reason  string   `json:"reason"`
	Figures []Figure `json:"figures,omitempty"`
}

// Query selects explanations. Empty fields match everything.
type Query struct {
	Task   TaskID
	Job    string
	Worker string
}

type explainer struct {
	ring []Explanation
	// next is the position in ring of the next explanation once it is full.
	next      int
	refusedAt map[string]time.Time
}

func newExplainer() explainer { return explainer{refusedAt: map[string]time.Time{}} }

func (c *Core) explain(e Explanation) {
	e.At = c.now
	if len(c.ring) < ringSize {
		c.ring = append(c.ring, e)
		return
	}
	c.ring[c.next] = e
	c.next = (c.next + 1) % ringSize
}

// Explain returns the explanations that match q, the latest first. The ring
// has the last 4,096 of this owner; older reasons of tasks are in the ledger.
func (c *Core) Explain(q Query) []Explanation {
	var found []Explanation
	for i := range c.ring {
		e := c.ring[(c.next+len(c.ring)-1-i)%len(c.ring)]
		if (q.Task == "" || q.Task == e.Task) && (q.Job == "" || q.Job == e.Job) && (q.Worker == "" || q.Worker == e.Worker) {
			found = append(found, e)
		}
	}
	return found
}
