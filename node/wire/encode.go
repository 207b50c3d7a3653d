package wire

import (
	"bytes"

	"github.com/pkg/errors"
)

// Append appends an encoded frame to a buffer.
func Append(b *bytes.Buffer, f *Frame) error {
	return errors.Wrap(encMode.MarshalToBuffer(f, b), "frame")
}
