// Package jsontree parses JSON into a tree that records the JSON pointer and the
// line of each value, for use in error messages.
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

// Kind is the JSON type of the value of a Node.
type Kind uint8

// Values of Kind.
const (
	Null Kind = iota
	Object
	Array
	String
	Number
	Boolean
)

var kindNames = [...]string{"null", "object", "array", "string", "number", "boolean"}

// String returns the name of the JSON type.
func (k Kind) String() string { return kindNames[k] }

// maxDepth is the maximum nesting depth of a document.
const maxDepth = 32

// Node is a JSON value and its position in the document.
type Node struct {
	// Key is the name of an object member. An object may hold duplicates.
	Key string
	// Text is the value of a string, or a number as written in the document.
	Text string
	// Number is the value of a number; infinite if out of the range of float64.
	Number float64
	// Children are the members of an object or the items of an array, in
	// document order.
	Children []*Node
	// Line is the line of the value, counted from 1.
	Line    int32
	Kind    Kind
	Boolean bool

	// index is the position among the parent's children.
	index  int32
	parent *Node
}

// Pointer returns the JSON pointer (RFC 6901) of the node; empty for the root.
func (n *Node) Pointer() string {
	if n.parent == nil {
		return ""
	}
	token := EscapeToken(n.Key)
	if n.parent.Kind == Array {
		token = strconv.Itoa(int(n.index))
	}
	return n.parent.Pointer() + "/" + token
}

// SyntaxError is the error of a document that is not JSON, or nested too deeply.
type SyntaxError struct {
	// Line is the line of the error, counted from 1.
	Line int
	Err  error
}

// Error implements error.
func (e *SyntaxError) Error() string { return fmt.Sprintf("line %d: %v", e.Line, e.Err) }

// Unwrap returns the underlying error.
func (e *SyntaxError) Unwrap() error { return e.Err }

// reader builds nodes from JSON tokens.
type reader struct {
	data    []byte
	decoder *json.Decoder
	// offset and line are the position up to which lines were counted, so that
	// counting takes time linear in the size of the document.
	offset int
	line   int
}

// Parse parses one JSON document. Its error is a *SyntaxError.
func Parse(data []byte) (*Node, error) {
	r := &reader{data: data, decoder: json.NewDecoder(bytes.NewReader(data)), line: 1}
	r.decoder.UseNumber()
	if n := validUTF8Len(data); n < len(data) {
		return nil, &SyntaxError{1 + bytes.Count(data[:n], []byte{'\n'}), errors.New("invalid UTF-8")}
	}
	n := &Node{}
	err := r.readValue(n, 0)
	if err == nil {
		err = r.expectEnd()
	}
	if err != nil {
		return nil, &SyntaxError{r.errorLine(), err}
	}
	return n, nil
}

// validUTF8Len returns the length of the longest prefix that is valid UTF-8.
func validUTF8Len(data []byte) int {
	if utf8.Valid(data) {
		return len(data)
	}
	end := 0
	for end < len(data) {
		r, size := utf8.DecodeRune(data[end:])
		if r == utf8.RuneError && size <= 1 {
			break
		}
		end += size
	}
	return end
}

func (r *reader) expectEnd() error {
	_, err := r.decoder.Token()
	if errors.Is(err, io.EOF) {
		return nil
	}
	if err == nil {
		err = errors.New("more than one JSON value")
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

// errorLine returns the line of the first token that can't be read.
func (r *reader) errorLine() int {
	line := r.currentLine()
	rest := r.data[r.offset:]
	next := bytes.TrimLeft(rest, " \t\r\n,:")
	return line + bytes.Count(rest[:len(rest)-len(next)], []byte{'\n'})
}

// readValue reads a value into n, which holds only its key and position so far.
func (r *reader) readValue(n *Node, depth int) error {
	if depth > maxDepth {
		return errors.Errorf("nested deeper than %d levels", maxDepth)
	}
	token, err := r.readToken()
	if err != nil {
		return err
	}
	n.Line = int32(r.currentLine())
	switch t := token.(type) {
	case json.Delim:
		return r.readContainer(n, t, depth)
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

// readToken reads a token, and fails with io.ErrUnexpectedEOF if there is none.
func (r *reader) readToken() (json.Token, error) {
	token, err := r.decoder.Token()
	if errors.Is(err, io.EOF) {
		return nil, io.ErrUnexpectedEOF
	}
	return token, err
}

func (r *reader) readContainer(n *Node, open json.Delim, depth int) error {
	n.Kind = Object
	if open == '[' {
		n.Kind = Array
	}
	for r.decoder.More() {
		if err := r.readElement(n, depth); err != nil {
			return err
		}
	}
	_, err := r.readToken()
	return err
}

func (r *reader) readElement(n *Node, depth int) error {
	child := &Node{parent: n, index: int32(len(n.Children))}
	if n.Kind == Object {
		token, err := r.readToken()
		if err != nil {
			return err
		}
		name, ok := token.(string)
		if !ok {
			return errors.New("object key is not a string")
		}
		child.Key = name
	}
	n.Children = append(n.Children, child)
	return r.readValue(child, depth+1)
}

var pointerEscapes = strings.NewReplacer("~", "~0", "/", "~1")

// EscapeToken escapes one reference token of a JSON pointer. Source: RFC 6901,
// section 3.
func EscapeToken(s string) string { return pointerEscapes.Replace(s) }

// Compact returns the value as JSON on one line, with object keys in document
// order.
func (n *Node) Compact() string {
	var b strings.Builder
	n.writeCompact(&b)
	return b.String()
}

func (n *Node) writeCompact(b *strings.Builder) {
	switch n.Kind {
	case Object:
		n.writeChildren(b, '{', '}')
	case Array:
		n.writeChildren(b, '[', ']')
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

func (n *Node) writeChildren(b *strings.Builder, open, end byte) {
	b.WriteByte(open)
	for i, child := range n.Children {
		if i > 0 {
			b.WriteByte(',')
		}
		if n.Kind == Object {
			b.WriteString(quote(child.Key) + ":")
		}
		child.writeCompact(b)
	}
	b.WriteByte(end)
}

func quote(s string) string {
	var b strings.Builder
	encoder := json.NewEncoder(&b)
	encoder.SetEscapeHTML(false)
	_ = encoder.Encode(s) // encoding a string can't fail
	return strings.TrimSuffix(b.String(), "\n")
}
