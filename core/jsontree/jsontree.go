// Package jsontree reads JSON into a tree whose values know their place, so
// that findings can name it.
package jsontree

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"strconv"
	"strings"
	"unicode/utf8"

	"github.com/pkg/errors"
)

// Kind is the JSON type of a Node.
type Kind uint8

// The JSON types.
const (
	Null Kind = iota
	Object
	Array
	String
	Number
	Boolean
)

var kindNames = [...]string{"null", "object", "array", "string", "number", "boolean"}

// String returns the name of the type.
func (k Kind) String() string { return kindNames[k] }

// maxDepth bounds the nesting of a document.
const maxDepth = 32

// Node is a JSON value with its place in the document.
type Node struct {
	// Key is the name of an object's member; names may repeat.
	Key string
	// Text is the value of a string, and a number as it was written.
	Text string
	// Number is the value of a number; infinite beyond the range of float64.
	Number float64
	// Children are the members of an object or the items of an array, in the
	// order of the document.
	Children []*Node
	// Line is the line of the value, from 1.
	Line    int32
	Kind    Kind
	Boolean bool

	// index is the place among the parent's children.
	index  int32
	parent *Node
}

// Pointer returns the place as a JSON pointer (RFC 6901); empty is the root.
func (n *Node) Pointer() string {
	if n.parent == nil {
		return ""
	}
	token := EscapePointer(n.Key)
	if n.parent.Kind == Array {
		token = strconv.Itoa(int(n.index))
	}
	return n.parent.Pointer() + "/" + token
}

// SyntaxError says where a document is not JSON.
type SyntaxError struct {
	// Line is the line of the fault, from 1.
	Line int
	Err  error
}

// Error implements error.
func (e *SyntaxError) Error() string { return fmt.Sprintf("line %d: %v", e.Line, e.Err) }

// Unwrap returns the cause.
func (e *SyntaxError) Unwrap() error { return e.Err }

// reader builds nodes from JSON tokens.
type reader struct {
	data    []byte
	decoder *json.Decoder
	// offset and line remember the last place counted, so that counting lines
	// is linear in the document.
	offset int
	line   int
}

// Parse reads one JSON document. The error is a *SyntaxError.
func Parse(data []byte) (*Node, error) {
	r := &reader{data: data, decoder: json.NewDecoder(bytes.NewReader(data)), line: 1}
	r.decoder.UseNumber()
	if n := validPrefix(data); n < len(data) {
		return nil, &SyntaxError{1 + bytes.Count(data[:n], []byte{'\n'}), errors.New("a byte is not UTF-8")}
	}
	n := &Node{}
	err := r.value(n, 0)
	if err == nil {
		err = r.end()
	}
	if err != nil {
		return nil, &SyntaxError{r.faultLine(), err}
	}
	return n, nil
}

// validPrefix returns the length of the longest prefix that is UTF-8.
func validPrefix(data []byte) int {
	if utf8.Valid(data) {
		return len(data)
	}
	at := 0
	for at < len(data) {
		r, size := utf8.DecodeRune(data[at:])
		if r == utf8.RuneError && size <= 1 {
			break
		}
		at += size
	}
	return at
}

func (r *reader) end() error {
	_, err := r.decoder.Token()
	if errors.Is(err, io.EOF) {
		return nil
	}
	if err == nil {
		err = errors.New("there is more than one JSON value")
	}
	return err
}

// currentLine returns the line of the last token read.
func (r *reader) currentLine() int {
	end := min(int(r.decoder.InputOffset()), len(r.data))
	r.line += bytes.Count(r.data[r.offset:end], []byte{'\n'})
	r.offset = end
	return r.line
}

// faultLine returns the line of the first token that could not be read.
func (r *reader) faultLine() int {
	line := r.currentLine()
	rest := r.data[r.offset:]
	next := bytes.TrimLeft(rest, " \t\r\n,:")
	return line + bytes.Count(rest[:len(rest)-len(next)], []byte{'\n'})
}

// value reads a value into n, of which only the place is known.
func (r *reader) value(n *Node, depth int) error {
	if depth > maxDepth {
		return errors.Errorf("nested deeper than %d levels", maxDepth)
	}
	token, err := r.token()
	if err != nil {
		return err
	}
	n.Line = int32(r.currentLine())
	switch t := token.(type) {
	case json.Delim:
		return r.container(n, t, depth)
	case string:
		n.Kind, n.Text = String, t
	case json.Number:
		n.Kind, n.Text = Number, t.String()
		n.Number, _ = t.Float64() // infinite when out of range
	case bool:
		n.Kind, n.Boolean = Boolean, t
	}
	return nil
}

// token reads a token that must be there.
func (r *reader) token() (json.Token, error) {
	token, err := r.decoder.Token()
	if errors.Is(err, io.EOF) {
		return nil, io.ErrUnexpectedEOF
	}
	return token, err
}

func (r *reader) container(n *Node, open json.Delim, depth int) error {
	n.Kind = Object
	if open == '[' {
		n.Kind = Array
	}
	for r.decoder.More() {
		if err := r.element(n, depth); err != nil {
			return err
		}
	}
	_, err := r.token()
	return err
}

func (r *reader) element(n *Node, depth int) error {
	child := &Node{parent: n, index: int32(len(n.Children))}
	if n.Kind == Object {
		token, err := r.token()
		if err != nil {
			return err
		}
		name, ok := token.(string)
		if !ok {
			return errors.New("an object's key is not a string")
		}
		child.Key = name
	}
	n.Children = append(n.Children, child)
	return r.value(child, depth+1)
}

var pointerEscapes = strings.NewReplacer("~", "~0", "/", "~1")

// EscapePointer escapes one reference token. Source: RFC 6901, section 3.
func EscapePointer(s string) string { return pointerEscapes.Replace(s) }

// Compact returns the value as JSON on one line, object keys as they stand.
func (n *Node) Compact() string {
	var b strings.Builder
	n.compact(&b)
	return b.String()
}

func (n *Node) compact(b *strings.Builder) {
	switch n.Kind {
	case Object:
		n.compactChildren(b, '{', '}')
	case Array:
		n.compactChildren(b, '[', ']')
	case String:
		b.WriteString(quote(n.Text))
	case Number:
		b.WriteString(n.Text)
	case Boolean:
		b.WriteString(strconv.FormatBool(n.Boolean))
	case Null:
		b.WriteString("null")
	}
}

func (n *Node) compactChildren(b *strings.Builder, open, end byte) {
	b.WriteByte(open)
	for i, child := range n.Children {
		if i > 0 {
			b.WriteByte(',')
		}
		if n.Kind == Object {
			b.WriteString(quote(child.Key) + ":")
		}
		child.compact(b)
	}
	b.WriteByte(end)
}

func quote(s string) string {
	var b strings.Builder
	encoder := json.NewEncoder(&b)
	encoder.SetEscapeHTML(false)
	_ = encoder.Encode(s) // a string always encodes
	return strings.TrimSuffix(b.String(), "\n")
}
