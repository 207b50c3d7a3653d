package jsontree

import (
	"encoding/json"
	"reflect"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"pgregory.net/rapid"
)

func TestPointersAndLines(t *testing.T) {
	is := is.New(t)
	root, err := Parse([]byte("{\"a/b\": [1,\n{\"c~d\": true}],\n\n\"e\": null}"))
	is.NoErr(err)
	list := root.Children[0]
	nested := list.Children[1].Children[0]
	is.Equal(root.Pointer(), "")
	is.Equal(nested.Pointer(), "/a~1b/1/c~0d")
	is.Equal(nested.Line, int32(2))
	is.Equal(root.Children[1].Line, int32(4))
	is.Equal(root.Children[1].Kind, Null)
}

func TestSyntaxErrorsNameTheLine(t *testing.T) {
	is := is.New(t)
	for text, line := range map[string]int{
		"":                       1,
		"\n\n{":                  3,
		"{\n\"a\": 1,\n}":        3,
		"{\n\"a\" 1}":            2,
		"[1,\n2\n":               3,
		"{}\n\n{}":               3,
		"{\n\"a\": \"\xff\"}":    2,
		strings.Repeat("[", 100): 1,
	} {
		_, err := Parse([]byte(text))
		var syntax *SyntaxError
		is.True(errors.As(err, &syntax)) // Parse returns a *SyntaxError
		if syntax.Line != line {
			t.Errorf("%q: line %d, want %d (%v)", text, syntax.Line, line, err)
		}
	}
}

// drawJSON draws a random JSON value.
func drawJSON(t *rapid.T, depth int) any {
	maxKind := 5
	if depth == 0 {
		maxKind = 3
	}
	switch rapid.IntRange(0, maxKind).Draw(t, "kind") {
	case 0:
		return rapid.String().Draw(t, "string")
	case 1:
		return rapid.Float64Range(-1e9, 1e9).Draw(t, "number")
	case 2:
		return rapid.Bool().Draw(t, "boolean")
	case 3:
		return nil
	case 4:
		list := make([]any, rapid.IntRange(0, 3).Draw(t, "length"))
		for i := range list {
			list[i] = drawJSON(t, depth-1)
		}
		return list
	}
	object := map[string]any{}
	for _, key := range rapid.SliceOfN(rapid.String(), 0, 3).Draw(t, "keys") {
		object[key] = drawJSON(t, depth-1)
	}
	return object
}

// TestCompactKeepsTheValue checks that Parse and Compact preserve the value.
func TestCompactKeepsTheValue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := drawJSON(t, 3)
		text, err := json.MarshalIndent(want, "", "  ")
		if err != nil {
			t.Fatal(err)
		}
		root, err := Parse(text)
		if err != nil {
			t.Fatal(err)
		}
		var got any
		if err := json.Unmarshal([]byte(root.Compact()), &got); err != nil {
			t.Fatal(err)
		}
		if !reflect.DeepEqual(want, got) {
			t.Fatalf("want %v, got %v", want, got)
		}
	})
}
