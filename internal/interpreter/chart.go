// Package interpreter loads state charts from YAML files, checks them, and
// gives the next state for an event.
package interpreter

import (
	"fmt"
	"slices"

	"github.com/goccy/go-yaml"
	"github.com/pkg/errors"
)

// State is the name of a state of a chart.
type State string

// Event is the name of an event that may move a chart to another state.
type Event string

// Transition is a transition of a chart.
type Transition struct {
	From  State `yaml:"from"`
	Event Event `yaml:"event"`
	To    State `yaml:"to"`
}

// Chart is a validated state chart. It is immutable, so it may be shared.
type Chart struct {
	name        string
	start       State
	final       []State
	transitions []Transition
	next        map[key]State
}

type key struct {
	from  State
	event Event
}

type file struct {
	Start       State        `yaml:"start"`
	Final       []State      `yaml:"final"`
	Transitions []Transition `yaml:"transitions"`
}

// ChartError reports why a chart file is invalid.
type ChartError struct {
	Chart   string
	Problem string
}

func (e *ChartError) Error() string { return fmt.Sprintf("chart %s: %s", e.Chart, e.Problem) }

// TransitionError reports an event that a state does not accept.
type TransitionError struct {
	Chart string
	From  State
	Event Event
}

func (e *TransitionError) Error() string {
	return fmt.Sprintf("chart %s: no transition from %s on %s", e.Chart, e.From, e.Event)
}

// Load parses and validates a chart: no transition is defined twice, every
// state can be reached from the start, a final state has no transitions, and
// every other state has a path to a final state if the chart has any.
func Load(name string, data []byte) (*Chart, error) {
	var f file
	if err := yaml.UnmarshalWithOptions(data, &f, yaml.DisallowUnknownField()); err != nil {
		return nil, errors.Wrapf(err, "chart %s", name)
	}
	c := &Chart{name: name, start: f.Start, final: f.Final, transitions: f.Transitions, next: map[key]State{}}
	for _, t := range f.Transitions {
		k := key{t.From, t.Event}
		if _, ok := c.next[k]; ok {
			return nil, &ChartError{name, fmt.Sprintf("two transitions from %s on %s", t.From, t.Event)}
		}
		if slices.Contains(f.Final, t.From) {
			return nil, &ChartError{name, fmt.Sprintf("final state %s has a transition", t.From)}
		}
		c.next[k] = t.To
	}
	if err := c.checkReachability(); err != nil {
		return nil, err
	}
	return c, nil
}

// checkReachability checks that every state can be reached from the start state
// and, if the chart has final states, has a path to one.
func (c *Chart) checkReachability() error {
	reached := c.closure([]State{c.start}, func(t Transition) (State, State) { return t.From, t.To })
	for _, s := range c.States() {
		if !slices.Contains(reached, s) {
			return &ChartError{c.name, fmt.Sprintf("state %s can't be reached from %s", s, c.start)}
		}
	}
	if len(c.final) == 0 {
		return nil
	}
	ending := c.closure(c.final, func(t Transition) (State, State) { return t.To, t.From })
	for _, s := range c.States() {
		if !slices.Contains(ending, s) {
			return &ChartError{c.name, fmt.Sprintf("state %s has no path to a final state", s)}
		}
	}
	return nil
}

// closure returns the states that can be reached from the given ones. endpoints
// returns the two states of a transition in the direction to follow.
func (c *Chart) closure(from []State, endpoints func(Transition) (State, State)) []State {
	reached := slices.Clone(from)
	for i := 0; i < len(reached); i++ {
		for _, t := range c.transitions {
			a, b := endpoints(t)
			if a == reached[i] && !slices.Contains(reached, b) {
				reached = append(reached, b)
			}
		}
	}
	return reached
}

// Start returns the chart's start state.
func (c *Chart) Start() State { return c.start }

// IsFinal reports whether s is a final state.
func (c *Chart) IsFinal(s State) bool { return slices.Contains(c.final, s) }

// Transitions returns every transition, in the order of the file.
func (c *Chart) Transitions() []Transition { return slices.Clone(c.transitions) }

// States returns every state once, in the order in which the file names them.
func (c *Chart) States() []State {
	states := []State{c.start}
	for _, t := range c.transitions {
		for _, s := range [...]State{t.From, t.To} {
			if !slices.Contains(states, s) {
				states = append(states, s)
			}
		}
	}
	return states
}

// Next returns the state after event e in state s, or a TransitionError.
func (c *Chart) Next(s State, e Event) (State, error) {
	to, ok := c.next[key{s, e}]
	if !ok {
		return s, &TransitionError{c.name, s, e}
	}
	return to, nil
}

// Accepts reports whether s has a transition on event.
func (c *Chart) Accepts(s State, event string) bool {
	_, ok := c.next[key{s, Event(event)}]
	return ok
}
