// Package seal authenticates the messages that daemons send each other outside
// links, by HMAC-SHA256 with the link key.
//
// A seal proves that a holder of the key made the message for this purpose. It
// hides nothing and does not stop repeats: a receiver must take a repeated
// message without harm.
package seal

import (
	"crypto/hmac"
	"crypto/sha256"
	"net/netip"

	"github.com/pkg/errors"
)

// Overhead is the bytes that a seal adds.
const Overhead = 16

// ErrRefused means that a message is not sealed by the key, or came from outside
// loopback while there is no key.
var ErrRefused = errors.New("seal: the message does not prove the link key")

// Sealer seals and opens messages. It is safe for concurrent use.
type Sealer struct {
	key []byte
}

// New returns a Sealer. Without a key it opens messages from loopback only.
func New(key []byte) *Sealer { return &Sealer{key} }

// Seal returns the message with its seal. The purpose keeps a message of one
// kind from being taken for another.
func (s *Sealer) Seal(purpose string, message []byte) []byte {
	return append(s.mac(purpose, message), message...)
}

// Open returns the message of sealed bytes that came from an address.
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

// mac returns the first half of the HMAC. Source: RFC 2104, section 5, on
// truncation.
func (s *Sealer) mac(purpose string, message []byte) []byte {
	mac := hmac.New(sha256.New, s.key)
	mac.Write([]byte(purpose))
	mac.Write([]byte{0})
	mac.Write(message)
	return mac.Sum(make([]byte, 0, sha256.Size+len(message)))[:Overhead]
}
