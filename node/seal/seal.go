// Package seal authenticates the messages that daemons send each other outside
// links, with HMAC-SHA256 and the link key.
//
// A seal proves that a holder of the key created the message for one purpose. It
// provides neither confidentiality nor replay protection: receivers must tolerate
// replayed messages.
package seal

import (
	"crypto/hmac"
	"crypto/sha256"
	"net/netip"

	"github.com/pkg/errors"
)

// Overhead is the number of bytes that a seal adds to a message.
const Overhead = 16

// ErrRefused means that a message is not sealed with the key, or that no key is
// set and the message is not from loopback.
var ErrRefused = errors.New("seal: the message does not prove the link key")

// Sealer seals and opens messages. It is safe for concurrent use.
type Sealer struct {
	key []byte
}

// New returns a Sealer. With an empty key it opens messages from loopback only.
func New(key []byte) *Sealer { return &Sealer{key} }

// Seal returns the message with its seal in front. The purpose prevents a message
// of one kind from being accepted as another kind.
func (s *Sealer) Seal(purpose string, message []byte) []byte {
	return append(s.mac(purpose, message), message...)
}

// Open verifies sealed bytes received from an address and returns their message,
// or ErrRefused.
func (s *Sealer) Open(purpose string, sealed []byte, from netip.Addr) ([]byte, error) {
	if len(s.key) == 0 && !from.Unmap().IsLoopback() {
		return nil, ErrRefused
	}
	if len(sealed) < Overhead {
		return nil, ErrRefused
	}
	message := sealed[Overhead:]
	if !hmac.Equal(sealed[:Overhead], s.mac(purpose, message)) {
		return nil, ErrRefused
	}
	return message, nil
}

// mac returns the first half of the HMAC, truncated as RFC 2104, section 5, allows.
// The result has spare capacity for the message that Seal appends.
func (s *Sealer) mac(purpose string, message []byte) []byte {
	mac := hmac.New(sha256.New, s.key)
	mac.Write([]byte(purpose))
	mac.Write([]byte{0})
	mac.Write(message)
	return mac.Sum(make([]byte, 0, sha256.Size+len(message)))[:Overhead]
}
