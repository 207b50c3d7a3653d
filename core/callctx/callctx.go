// Package callctx encodes what a request hands to the calls that it causes.
//
// An upstream copies the Fuchsiavane-Context header from the request that it
// serves to the calls that it makes, as it would a trace header. The header is
// read only by the daemon that wrote it, which stands on the same instance, so
// the deadline is in that instance's clock and the retry budget stays in the
// daemon: the header carries only the token by which the daemon finds it.
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
	// MaxNameBytes bounds the names of ranks and callers.
	MaxNameBytes = 128
	// MaxBytes bounds an encoded context. One whose names are within their
	// bound fits, be every byte of them escaped.
	MaxBytes = 1 << 10
)

const version = "1"

// Context is what a parent request hands down.
type Context struct {
	// RequestID names the root request; the same at every hop.
	RequestID string
	// Run names the run of the parent at this daemon's upstream, by which its
	// retry budget is found.
	Run string
	// Rank is the parent's rank.
	Rank string
	// Caller is the root caller's name.
	Caller string
	// Deadline is the time by which the whole request must end.
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

// Decode parses a header value.
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

// escape replaces bytes that may not stand in a field by %XX.
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
