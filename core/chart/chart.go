// Package chart interprets state charts defined in JSON files. The charts of the
// system are embedded, and the packages whose states they describe look up
// every transition in them, so the files always match the running code.
package chart

import (
	"bytes"
	"embed"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
)

//go:embed charts/*.json
var files embed.FS

// State names a state of a chart.
type State string

// Event names a trigger of transitions between states.
type Event string

// Chart is a state chart. It doesn't change after Parse and is safe for concurrent
// use.
type Chart struct {
	Name    string         `json:"name"`
	Doc     string         `json:"doc"`
	Initial State          `json:"initial"`
	States  map[State]Node `json:"states"`
}

// Node describes one state and its transitions.
type Node struct {
	// On maps each event that the state accepts to the next state.
	On map[Event]State `json:"on,omitempty"`
	// Final marks a state that accepts no event.
	Final bool `json:"final,omitempty"`
}

// Findings is the error of Parse: one finding, as a message, for each fault of a chart.
type Findings []string

// Error returns the messages, one a line.
func (f Findings) Error() string { return strings.Join(f, "\n") }

// Parse decodes and checks a chart. The error, if any, is of type Findings.
func Parse(data []byte) (*Chart, error) {
	var c Chart
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(&c); err != nil {
		return nil, Findings{err.Error()}
	}
	if findings := c.check(); len(findings) > 0 {
		return nil, findings
	}
	return &c, nil
}

// check returns the faults of a chart, sorted.
func (c *Chart) check() Findings {
	var f Findings
	add := func(format string, args ...any) { f = append(f, c.Name+": "+fmt.Sprintf(format, args...)) }
	if _, known := c.States[c.Initial]; !known {
		add("initial state %q is not defined", c.Initial)
	}
	for name, node := range c.States {
		if node.Final != (len(node.On) == 0) {
			add("state %q: a state must be final if, and only if, it accepts no event", name)
		}
		for event, to := range node.On {
			if _, known := c.States[to]; !known {
				add("state %q, event %q: target state %q is not defined", name, event, to)
			}
		}
	}
	reachable := c.reachable()
	for name := range c.States {
		if !reachable[name] {
			add("state %q is not reachable from the initial state", name)
		}
	}
	slices.Sort(f)
	return f
}

// reachable returns the states that can be reached from the initial state.
func (c *Chart) reachable() map[State]bool {
	reachable := map[State]bool{c.Initial: true}
	for pending := []State{c.Initial}; len(pending) > 0; pending = pending[1:] {
		for _, to := range c.States[pending[0]].On {
			if !reachable[to] {
				reachable[to] = true
				pending = append(pending, to)
			}
		}
	}
	return reachable
}

// Load returns the embedded chart of the given name. It panics if there is none or
// it has faults; a test of this package checks all embedded charts.
func Load(name string) *Chart {
	data, err := files.ReadFile("charts/" + name + ".json")
	if err != nil {
		panic(err)
	}
	c, err := Parse(data)
	if err != nil {
		panic(err)
	}
	return c
}

// Names returns the names of the embedded charts.
func Names() []string {
	entries, err := files.ReadDir("charts")
	if err != nil {
		panic(err)
	}
	var names []string
	for _, e := range entries {
		names = append(names, strings.TrimSuffix(e.Name(), ".json"))
	}
	return names
}

// Next returns the state to which an event leads. If state doesn't accept
// the event, Next returns state and false.
func (c *Chart) Next(state State, event Event) (State, bool) {
	to, ok := c.States[state].On[event]
	if !ok {
		return state, false
	}
	return to, true
}
