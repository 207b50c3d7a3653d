// Package callctx encodes the context that a request passes on to its nested calls.
//
// An upstream copies the Fuchsiavane-Context header from the request that it serves to
// the calls that it makes, like a trace header. Only the daemon that wrote the header
// reads it, on the same instance. The deadline is therefore by the clock of that
// instance, and the retry budget stays in the daemon: the header carries only the ID of
// the run by which the daemon finds it.
package callctx

import (
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Header is the name of the HTTP header.
const Header = "Fuchsiavane-Context"

const (
	// MaxNameBytes bounds the length of rank and caller names.
	MaxNameBytes = 128
	// MaxBytes bounds the length of an encoded context. A context whose names are
	// within MaxNameBytes fits even if every byte of them is escaped.
	MaxBytes = 1 << 10
)

const version = "1"

// Context is what a request passes on to its nested calls.
type Context struct {
	// RequestID is the ID of the root request, the same at every hop.
	RequestID string
	// Run is the ID of the run of the parent request at this daemon's upstream, by which
	// the daemon finds its retry budget.
	Run string
	// Rank is the name of the parent request's rank.
	Rank string
	// Caller is the name of the root request's caller.
	Caller string
	// Deadline is the time by which the root request must end.
	Deadline time.Time
}

// Encode returns the header value.
func (c Context) Encode() string {
	fields := []string{
		version, escape(c.RequestID), escape(c.Run), escape(c.Rank), escape(c.Caller),
		strconv.FormatInt(c.Deadline.UnixMicro(), 10),
	}
	return strings.Join(fields, ";")
}

// Decode parses a header value. It returns an error if the value is too long, of
// another version or malformed.
func Decode(s string) (Context, error) {
	if len(s) > MaxBytes {
		return Context{}, errors.Errorf("context has %d bytes, more than %d", len(s), MaxBytes)
	}
	fields := strings.Split(s, ";")
	if len(fields) != 6 || fields[0] != version {
		return Context{}, errors.Errorf("context is not of version %s with 6 fields", version)
	}
	texts := make([]string, 4)
	for i := range texts {
		text, err := unescape(fields[i+1])
		if err != nil {
			return Context{}, err
		}
		texts[i] = text
	}
	micros, err := strconv.ParseInt(fields[5], 10, 64)
	if err != nil {
		return Context{}, errors.Wrap(err, "context deadline")
	}
	return Context{texts[0], texts[1], texts[2], texts[3], time.UnixMicro(micros)}, nil
}

// escape replaces bytes that are not allowed in a field by %XX.
func escape(s string) string {
	var b strings.Builder
	for i := range len(s) {
		if c := s[i]; c <= ' ' || c == ';' || c == '%' || c >= 0x7f {
			b.WriteByte('%')
			b.WriteByte(hex[c>>4])
			b.WriteByte(hex[c&15])
			continue
		}
		b.WriteByte(s[i])
	}
	return b.String()
}

const hex = "0123456789ABCDEF"

func unescape(s string) (string, error) {
	if !strings.Contains(s, "%") {
		return s, nil
	}
	var b strings.Builder
	for i := 0; i < len(s); i++ {
		if s[i] != '%' {
			b.WriteByte(s[i])
			continue
		}
		if i+2 >= len(s) {
			return "", errors.New("context has a cut escape")
		}
		v, err := strconv.ParseUint(s[i+1:i+3], 16, 8)
		if err != nil {
			return "", errors.Wrap(err, "context escape")
		}
		b.WriteByte(byte(v))
		i += 2
	}
	return b.String(), nil
}
