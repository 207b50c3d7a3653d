package chart

import (
	"testing"

	"github.com/matryer/is"
)

func TestEmbeddedChartsAreSound(t *testing.T) {
	is := is.New(t)
	is.Equal(Names(), []string{"daemon-life", "owned-request"})
	for _, name := range Names() {
		is.Equal(Load(name).Name, name)
	}
}

func TestFindingsComeTogether(t *testing.T) {
	is := is.New(t)
	_, err := Parse([]byte(`{"name": "x", "initial": "none", "states": {"a": {"on": {"go": "b"}}, "c": {}}}`))
	is.Equal(err.(Findings), Findings{
		`x: initial state "none" is not among the states`,
		`x: state "a" is never reached`,
		`x: state "a", event "go": no state "b"`,
		`x: state "c" is never reached`,
		`x: state "c": a state is final if, and only if, it takes no event`,
	})
	_, err = Parse([]byte(`{"nme": "x"}`))
	is.True(err != nil)
}

// A request that may have run never runs again, whatever happens.
func TestNoWayBackToRunning(t *testing.T) {
	is := is.New(t)
	c := Load("owned-request")
	for _, from := range []State{"finished", "unknown"} {
		part := *c
		part.Initial = from
		is.True(!part.reached()["running"])
	}
	to, ok := c.Next("unknown", "run")
	is.Equal(to, State("unknown"))
	is.True(!ok)
}
