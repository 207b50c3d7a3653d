package wire

import (
	"bytes"

	"github.com/pkg/errors"
)

// Append encodes a frame to the end of a buffer.
func Append(b *bytes.Buffer, f *Frame) error {
	return errors.Wrap(encMode.MarshalToBuffer(f, b), "frame")
}
