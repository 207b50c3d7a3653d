// Package chart interprets state charts that are kept as JSON files. The charts
// of the system are embedded; the packages whose states they describe move by
// them, so a file can't differ from what runs.
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

// Event names what makes a chart move.
type Event string

// Chart is a state chart. It is immutable after Parse and safe for concurrent
// use.
type Chart struct {
	Name    string         `json:"name"`
	Doc     string         `json:"doc"`
	Initial State          `json:"initial"`
	States  map[State]Node `json:"states"`
}

// Node is one state.
type Node struct {
	// On gives the next state for each event that the state takes.
	On map[Event]State `json:"on,omitempty"`
	// Final states take no event.
	Final bool `json:"final,omitempty"`
}

// Findings lists every fault of a chart.
type Findings []string

// Error implements error.
func (f Findings) Error() string { return strings.Join(f, "\n") }

// Parse reads and checks a chart. The error is Findings.
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

func (c *Chart) check() Findings {
	var f Findings
	add := func(format string, args ...any) { f = append(f, c.Name+": "+fmt.Sprintf(format, args...)) }
	if _, known := c.States[c.Initial]; !known {
		add("initial state %q is not among the states", c.Initial)
	}
	for name, node := range c.States {
		if node.Final != (len(node.On) == 0) {
			add("state %q: a state is final if, and only if, it takes no event", name)
		}
		for event, to := range node.On {
			if _, known := c.States[to]; !known {
				add("state %q, event %q: no state %q", name, event, to)
			}
		}
	}
	reached := c.reached()
	for name := range c.States {
		if !reached[name] {
			add("state %q is never reached", name)
		}
	}
	slices.Sort(f)
	return f
}

// reached returns the states that events lead to.
func (c *Chart) reached() map[State]bool {
	reached := map[State]bool{c.Initial: true}
	for todo := []State{c.Initial}; len(todo) > 0; todo = todo[1:] {
		for _, to := range c.States[todo[0]].On {
			if !reached[to] {
				reached[to] = true
				todo = append(todo, to)
			}
		}
	}
	return reached
}

// Load returns an embedded chart. It panics if there is none or it has faults,
// which a test of this package rules out.
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

// Next returns the state that an event leads to. It reports false, and the same
// state, if the state doesn't take the event.
func (c *Chart) Next(from State, event Event) (State, bool) {
	to, ok := c.States[from].On[event]
	if !ok {
		return from, false
	}
	return to, true
}
