package gateway

import (
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"fuchsiavane.org/node/bodies"
	"fuchsiavane.org/node/call"
)

// Errors of a request whose body is not taken. Nothing of it has been sent on.
var (
	// errBodyTooLarge is returned for a body that this daemon can never hold.
	errBodyTooLarge = errors.New("the body is larger than the daemon can hold")
	// errNoBodyMemory is returned for a body that does not fit beside those held now.
	errNoBodyMemory = errors.New("the memory for request bodies is in use")
)

const (
	// bodyRetryAfter is the Retry-After time of a request whose body did not fit.
	bodyRetryAfter = time.Second
	// drainTime and drainBytes bound the rest of a refused body that is read and
	// dropped after the refusal.
	drainTime  = 2 * time.Second
	drainBytes = call.MaxRequestBody
	// bodyStep is the number of bytes by which a body of unknown length is read.
	bodyStep = 64 << 10
)

// refuseBody writes the refusal of a request whose body was not read. A caller that goes
// on sending may not see a response before its connection is reset, so the rest of the
// body is read and dropped for a while.
func refuseBody(w http.ResponseWriter, r *http.Request, write func()) {
	connection := http.NewResponseController(w)
	_ = connection.EnableFullDuplex() // without it, the response is sent all the same
	w.Header().Set("Connection", "close")
	write()
	if connection.Flush() != nil || connection.SetReadDeadline(time.Now().Add(drainTime)) != nil {
		return
	}
	_, _ = io.CopyN(io.Discard, r.Body, drainBytes) // the caller may have stopped
}

// isBodyRefusal reports whether a request was refused with its body unread.
func isBodyRefusal(a *call.Answer) bool {
	return a.Refusal == call.RefusedBodyTooLarge || a.Refusal == call.RefusedOverload
}

// readBody reads the body of a request into reserved memory. A body that does not fit
// is not read if its length is known.
func (g *Gateway) readBody(r *http.Request) ([]byte, *bodies.Reservation, error) {
	switch {
	case r.ContentLength == 0:
		return nil, nil, nil
	case r.ContentLength < 0:
		return g.readChunkedBody(r)
	case r.ContentLength > call.MaxRequestBody || !g.Bodies.Fits(int(r.ContentLength)):
		return nil, nil, errBodyTooLarge
	}
	held, ok := g.Bodies.Reserve(int(r.ContentLength))
	if !ok {
		return nil, nil, errNoBodyMemory
	}
	body := make([]byte, r.ContentLength)
	if _, err := io.ReadFull(r.Body, body); err != nil {
		held.Release()
		return nil, nil, errors.Wrap(err, "request body")
	}
	return body, held, nil
}

// readChunkedBody reads a body of unknown length and reserves memory as it grows.
func (g *Gateway) readChunkedBody(r *http.Request) ([]byte, *bodies.Reservation, error) {
	held, _ := g.Bodies.Reserve(0)
	// One byte more shows whether a body of the maximum size has ended.
	maxBody := min(call.MaxRequestBody, g.Bodies.MaxBody()-1) + 1
	var body []byte
	for {
		if len(body) == cap(body) {
			step := min(max(bodyStep, cap(body)), maxBody-len(body)) // doubles the buffer
			if step <= 0 {
				held.Release()
				return nil, nil, errBodyTooLarge
			}
			if !held.Grow(step) {
				held.Release()
				return nil, nil, errNoBodyMemory
			}
			body = append(make([]byte, 0, len(body)+step), body...)
		}
		n, err := r.Body.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if errors.Is(err, io.EOF) {
			return body, held, nil
		}
		if err != nil {
			held.Release()
			return nil, nil, errors.Wrap(err, "request body")
		}
	}
}
