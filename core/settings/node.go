package settings

import (
	"bytes"
	"encoding/json"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// kind is the JSON type of a node.
type kind string

const (
	kindObject  kind = "object"
	kindArray   kind = "array"
	kindString  kind = "string"
	kindNumber  kind = "number"
	kindBoolean kind = "boolean"
	kindNull    kind = "null"
)

// maxDepth bounds the nesting of a document.
const maxDepth = 32

// node is a JSON value with its place in the document.
type node struct {
	kind    kind
	pointer string
	line    int
	text    string
	number  float64
	boolean bool
	members []member
	items   []*node
}

// member is one entry of an object.
type member struct {
	name  string
	value *node
}

// reader builds nodes from JSON tokens.
type reader struct {
	data    []byte
	decoder *json.Decoder
	// offset and line remember the last place counted, so that counting lines
	// is linear in the document.
	offset int
	line   int
}

// parseNode parses one JSON document. The error gives the line of a syntax
// error.
func parseNode(data []byte) (*node, error) {
	r := &reader{data: data, decoder: json.NewDecoder(bytes.NewReader(data)), line: 1}
	r.decoder.UseNumber()
	n, err := r.value("", 0)
	if err != nil {
		return nil, err
	}
	if _, err := r.decoder.Token(); err == nil {
		return nil, errors.New("there is more than one JSON value")
	}
	return n, nil
}

// currentLine returns the line of the last token read.
func (r *reader) currentLine() int {
	end := min(int(r.decoder.InputOffset()), len(r.data))
	r.line += bytes.Count(r.data[r.offset:end], []byte{'\n'})
	r.offset = end
	return r.line
}

func (r *reader) value(pointer string, depth int) (*node, error) {
	if depth > maxDepth {
		return nil, errors.Errorf("nested deeper than %d levels", maxDepth)
	}
	token, err := r.decoder.Token()
	if err != nil {
		return nil, err
	}
	n := &node{pointer: pointer, line: r.currentLine()}
	switch t := token.(type) {
	case json.Delim:
		return n, r.container(n, t, depth)
	case string:
		n.kind, n.text = kindString, t
	case json.Number:
		n.kind, n.text = kindNumber, t.String()
		n.number, err = t.Float64()
		return n, errors.WithStack(err)
	case bool:
		n.kind, n.boolean = kindBoolean, t
	case nil:
		n.kind = kindNull
	}
	return n, nil
}

func (r *reader) container(n *node, open json.Delim, depth int) error {
	n.kind = kindObject
	if open == '[' {
		n.kind = kindArray
	}
	for r.decoder.More() {
		if err := r.element(n, depth); err != nil {
			return err
		}
	}
	_, err := r.decoder.Token()
	return err
}

func (r *reader) element(n *node, depth int) error {
	if n.kind == kindArray {
		item, err := r.value(n.pointer+"/"+strconv.Itoa(len(n.items)), depth+1)
		n.items = append(n.items, item)
		return err
	}
	token, err := r.decoder.Token()
	if err != nil {
		return err
	}
	name, ok := token.(string)
	if !ok {
		return errors.New("an object's key is not a string")
	}
	value, err := r.value(n.pointer+"/"+escapePointer(name), depth+1)
	n.members = append(n.members, member{name, value})
	return err
}

// escapePointer escapes one reference token. Source: RFC 6901, section 3.
func escapePointer(s string) string {
	return strings.NewReplacer("~", "~0", "/", "~1").Replace(s)
}
