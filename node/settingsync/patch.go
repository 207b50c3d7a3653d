package settingsync

import (
	"bytes"
	"crypto/sha256"

	"github.com/pkg/errors"
)

// patch is the change from one document to another: what lies between the
// common beginning and the common end is replaced.
type patch struct {
	// Prefix and Suffix are the common bytes.
	Prefix int `cbor:"1,keyasint"`
	Suffix int `cbor:"2,keyasint"`
	// Middle replaces what lies between.
	Middle []byte `cbor:"3,keyasint"`
	// Sum is the SHA-256 of the result.
	Sum [sha256.Size]byte `cbor:"4,keyasint"`
}

// errPatch means that a patch does not fit the document.
var errPatch = errors.New("settings: the patch does not fit the document")

func diff(from, to []byte) patch {
	p := patch{Sum: sha256.Sum256(to)}
	most := min(len(from), len(to))
	for p.Prefix < most && from[p.Prefix] == to[p.Prefix] {
		p.Prefix++
	}
	for p.Suffix < most-p.Prefix && from[len(from)-1-p.Suffix] == to[len(to)-1-p.Suffix] {
		p.Suffix++
	}
	p.Middle = to[p.Prefix : len(to)-p.Suffix]
	return p
}

func (p *patch) apply(from []byte) ([]byte, error) {
	if p.Prefix < 0 || p.Suffix < 0 || p.Prefix > len(from)-p.Suffix || p.Suffix > len(from) {
		return nil, errPatch
	}
	to := bytes.Join([][]byte{from[:p.Prefix], p.Middle, from[len(from)-p.Suffix:]}, nil)
	if sha256.Sum256(to) != p.Sum {
		return nil, errPatch
	}
	return to, nil
}
