// Package httphead checks the heads of HTTP responses. net/http accepts more than the
// protocol allows, and what it accepts would reach callers or change the meaning of the
// body.
package httphead

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"strings"

	"github.com/pkg/errors"
)

// Check returns an error if the head of a response, interim or final, is not valid.
func Check(r *http.Response) error {
	if r.ProtoMajor != 1 {
		return errors.Errorf("protocol version %s is not HTTP/1", r.Proto)
	}
	return CheckAnswer(r.StatusCode, r.Header)
}

// Read reads the head of a response from r and checks it.
func Read(r *bufio.Reader, request *http.Request) (*http.Response, error) {
	if err := checkFraming(r); err != nil {
		return nil, err
	}
	response, err := http.ReadResponse(r, request)
	if err != nil {
		return nil, err
	}
	if err := Check(response); err != nil {
		return nil, err
	}
	return response, nil
}

const version10 = "HTTP/1.0"

// checkFraming returns an error if the response that is next in r is of HTTP/1.0 and names
// a transfer coding, which that version doesn't have. net/http drops the field, so that
// Check can't see it. Only the part of the head that fits into the buffer of r is checked.
// Source: RFC 9112, section 6.1.
func checkFraming(r *bufio.Reader) error {
	version, err := r.Peek(len(version10))
	if err != nil {
		return endError(err)
	}
	if string(version) != version10 {
		return nil
	}
	head, err := peekHead(r)
	if err != nil {
		return endError(err)
	}
	for line := range bytes.Lines(head) {
		if len(bytes.TrimRight(line, "\r\n")) == 0 {
			break
		}
		if name, _, _ := bytes.Cut(line, []byte(":")); strings.EqualFold(string(name), "Transfer-Encoding") {
			return errors.Errorf("%s with the field Transfer-Encoding", version10)
		}
	}
	return nil
}

// peekHead returns bytes that begin with a head, or with as much of it as fits into the
// buffer of r.
func peekHead(r *bufio.Reader) ([]byte, error) {
	for size := r.Buffered(); ; size = max(r.Buffered(), size+1) {
		b, err := r.Peek(size)
		if errors.Is(err, bufio.ErrBufferFull) {
			return b, nil
		}
		if err != nil || bytes.Contains(b, []byte("\n\r\n")) || bytes.Contains(b, []byte("\n\n")) {
			return b, err
		}
	}
}

// endError returns the error for a connection that ends in the middle of a head.
func endError(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// CheckAnswer returns an error if the status or a field name of a response is not valid.
func CheckAnswer(status int, header http.Header) error {
	if err := checkStatus(status); err != nil {
		return err
	}
	return checkNames(header)
}

// maxStatus is the largest status code. Source: RFC 9110, section 15.
const maxStatus = 599

// checkStatus returns an error if a response to a request without an upgrade can't have a
// status code.
func checkStatus(status int) error {
	if status < http.StatusContinue || status > maxStatus {
		return errors.Errorf("status %03d is not between %d and %d", status, http.StatusContinue, maxStatus)
	}
	if status == http.StatusSwitchingProtocols {
		return errors.Errorf("status %d answers a request without an upgrade", status)
	}
	return nil
}

// checkNames returns an error if a field name is not a token. A recipient that takes
// "Content-Length " for another field than "Content-Length" reads another body.
// Source: RFC 9112, section 5.1.
func checkNames(header http.Header) error {
	for name := range header {
		if !isToken(name) {
			return errors.Errorf("field name %q is not a token", name)
		}
	}
	return nil
}

// isToken reports whether a string is a token. Source: RFC 9110, section 5.6.2.
func isToken(s string) bool {
	for i := range len(s) {
		if !isTokenByte(s[i]) {
			return false
		}
	}
	return s != ""
}

func isTokenByte(b byte) bool {
	switch {
	case 'a' <= b && b <= 'z', 'A' <= b && b <= 'Z', '0' <= b && b <= '9':
		return true
	}
	return strings.IndexByte("!#$%&'*+-.^_`|~", b) >= 0
}
