package chart

import (
	"testing"

	"github.com/matryer/is"
)

func TestEmbeddedChartsAreValid(t *testing.T) {
	is := is.New(t)
	is.Equal(Names(), []string{"daemon-life", "owned-request"})
	for _, name := range Names() {
		is.Equal(Load(name).Name, name)
	}
}

func TestFindingsAreReportedTogether(t *testing.T) {
	is := is.New(t)
	_, err := Parse([]byte(`{"name": "x", "initial": "none", "states": {"a": {"on": {"go": "b"}}, "c": {}}}`))
	is.Equal(err.(Findings), Findings{
		`x: initial state "none" is not defined`,
		`x: state "a" is not reachable from the initial state`,
		`x: state "a", event "go": target state "b" is not defined`,
		`x: state "c" is not reachable from the initial state`,
		`x: state "c": a state must be final if, and only if, it accepts no event`,
	})
	_, err = Parse([]byte(`{"nme": "x"}`))
	is.True(err != nil)
}

// TestNoWayBackToRunning checks that a request that may have run never runs again,
// whatever events follow.
func TestNoWayBackToRunning(t *testing.T) {
	is := is.New(t)
	c := Load("owned-request")
	for _, from := range []State{"finished", "unknown"} {
		copied := *c
		copied.Initial = from
		is.True(!copied.reachable()["running"])
	}
	to, ok := c.Next("unknown", "run")
	is.Equal(to, State("unknown"))
	is.True(!ok)
}
