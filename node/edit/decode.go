package edit

import (
	"encoding/json"

	"github.com/pkg/errors"

	"fuchsiavane.org/node/kv"
)

// Decode decodes a head. Its error is a kv.ErrUnreadable.
func Decode(value []byte) (Head, error) {
	var head Head
	if err := json.Unmarshal(value, &head); err != nil {
		return Head{}, errors.Wrapf(kv.ErrUnreadable, "settings head: %v", err)
	}
	return head, nil
}
