package scheduler

import "time"

const (
	// ringSize is the number of explanations kept.
	ringSize = 4096
	// refusalInterval is the shortest time between two explanations of why the
	// same task waits. It keeps refusals from displacing all other
	// explanations.
	refusalInterval = 5 * time.Second
)

// Figure is a number on which a decision was based.
type Figure struct {
	Name  string  `json:"name"`
	Value float64 `json:"value"`
}

// Explanation records the reason for one decision.
type Explanation struct {
	At time.Time `json:"at"`
	// Action names the decision: "place", "refuse", "park", "evict",
	// "checkpoint", "hand_over", "worker_quarantine" and others.
	Action string `json:"action"`
	Task   TaskID `json:"task,omitempty"`
	// Job is the owner of the task: the id of a job or the name of a service or
	// watcher.
	Job     string   `json:"job,omitempty"`
	Worker  string   `json:"worker,omitempty"`
	Reason  string   `json:"reason"`
	Figures []Figure `json:"figures,omitempty"`
}

// Query selects explanations. An empty field matches everything.
type Query struct {
	Task   TaskID
	Job    string
	Worker string
}

// explanationLog has the last ringSize explanations.
type explanationLog struct {
	ring []Explanation
	// next is the index in ring of the oldest explanation once the ring is
	// full.
	next int
	// refusedAt has the time of the last explanation of why a task waits, by
	// the id of the task.
	refusedAt map[string]time.Time
}

func newExplanationLog() explanationLog { return explanationLog{refusedAt: map[string]time.Time{}} }

func (c *Core) explain(e Explanation) {
	e.At = c.now
	if len(c.ring) < ringSize {
		c.ring = append(c.ring, e)
		return
	}
	c.ring[c.next] = e
	c.next = (c.next + 1) % ringSize
}

// Explain returns the explanations that match q, the latest first. The ring has
// the last 4,096 explanations of this owner. Earlier reasons for the state of
// tasks are in the ledger.
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
