package settingsync

import (
	"bytes"
	"crypto/sha256"

	"github.com/pkg/errors"
)

// patch is the difference between two documents: it replaces the bytes between
// their common prefix and their common suffix.
type patch struct {
	// Prefix and Suffix are the lengths of the common prefix and suffix, in bytes.
	Prefix int `cbor:"1,keyasint"`
	Suffix int `cbor:"2,keyasint"`
	// Middle replaces the bytes between the prefix and the suffix.
	Middle []byte `cbor:"3,keyasint"`
	// Sum is the SHA-256 hash of the resulting document.
	Sum [sha256.Size]byte `cbor:"4,keyasint"`
}

// errPatchMismatch is returned if a patch does not apply to a document.
var errPatchMismatch = errors.New("settings: the patch does not apply to the document")

func diff(from, to []byte) patch {
	p := patch{Sum: sha256.Sum256(to)}
	maxCommon := min(len(from), len(to))
	for p.Prefix < maxCommon && from[p.Prefix] == to[p.Prefix] {
		p.Prefix++
	}
	for p.Suffix < maxCommon-p.Prefix && from[len(from)-1-p.Suffix] == to[len(to)-1-p.Suffix] {
		p.Suffix++
	}
	p.Middle = to[p.Prefix : len(to)-p.Suffix]
	return p
}

func (p *patch) apply(from []byte) ([]byte, error) {
	if p.Prefix < 0 || p.Suffix < 0 || p.Prefix > len(from)-p.Suffix || p.Suffix > len(from) {
		return nil, errPatchMismatch
	}
	to := bytes.Join([][]byte{from[:p.Prefix], p.Middle, from[len(from)-p.Suffix:]}, nil)
	if sha256.Sum256(to) != p.Sum {
		return nil, errPatchMismatch
	}
	return to, nil
}
