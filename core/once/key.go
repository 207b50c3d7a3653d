package once

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

// Shards is the number of shards of each service. It is part of the tables in
// the platform's store and never changes.
const Shards = 128

// Key is an idempotency key that carries its creation time: a UUIDv7.
type Key [16]byte

// uuidTextBytes is the length of a UUID in its text form. Source: RFC 9562,
// section 4.
const uuidTextBytes = 36

// ErrNotUUIDv7 means that a key is not a UUIDv7, so it has no timestamp.
var ErrNotUUIDv7 = errors.New("once: the key is not a UUIDv7")

// ParseKey parses the text form of a UUIDv7, in either letter case. It returns
// ErrNotUUIDv7 for any other text. Source: RFC 9562, sections 4 and 5.7.
func ParseKey(text string) (Key, error) {
	var k Key
	if len(text) != uuidTextBytes {
		return k, ErrNotUUIDv7
	}
	digits := 0
	for i := range len(text) {
		if i == 8 || i == 13 || i == 18 || i == 23 {
			if text[i] != '-' {
				return k, ErrNotUUIDv7
			}
			continue
		}
		nibble, ok := hexDigit(text[i])
		if !ok {
			return k, ErrNotUUIDv7
		}
		k[digits/2] = k[digits/2]<<4 | nibble
		digits++
	}
	if k[6]>>4 != 7 || k[8]>>6 != 2 {
		return Key{}, ErrNotUUIDv7
	}
	return k, nil
}

func hexDigit(c byte) (byte, bool) {
	switch {
	case c >= '0' && c <= '9':
		return c - '0', true
	case c >= 'a' && c <= 'f':
		return c - 'a' + 10, true
	case c >= 'A' && c <= 'F':
		return c - 'A' + 10, true
	}
	return 0, false
}

// Timestamp returns the creation time that the key carries.
func (k Key) Timestamp() Millis {
	return Millis(binary.BigEndian.Uint64(k[:8]) >> 16)
}

// Shard returns the key's shard.
func (k Key) Shard() int { return int(xxhash.Sum64(k[:]) % Shards) }

// Millis is the timestamp of a key in milliseconds since the Unix epoch.
type Millis int64

// MillisOf returns the timestamp of a key that is created at t.
func MillisOf(t time.Time) Millis { return Millis(t.UnixMilli()) }

// Add returns m plus d.
func (m Millis) Add(d time.Duration) Millis { return m + Millis(d.Milliseconds()) }

// Sub returns the duration from o to m.
func (m Millis) Sub(o Millis) time.Duration { return time.Duration(m-o) * time.Millisecond }

// PreferredInstance returns the instance that a shard should belong to, by
// rendezvous hash, or "" if there are no instances. It is a hint: the Table in
// the store decides.
func PreferredInstance(shard int, instances []string) string {
	var best string
	var highest uint64
	for _, id := range instances {
		if score := rendezvousScore(shard, id); best == "" || score > highest || (score == highest && id < best) {
			best, highest = id, score
		}
	}
	return best
}

func rendezvousScore(shard int, id string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(id)
	_, _ = d.Write([]byte{0, byte(shard >> 8), byte(shard)})
	return d.Sum64()
}
