package edit

import (
	"encoding/json"

	"github.com/pkg/errors"
)

// Decode decodes a value of HeadKey.
func Decode(value []byte) (Head, error) {
	var head Head
	if err := json.Unmarshal(value, &head); err != nil {
		return Head{}, errors.Wrapf(err, "value of %s", HeadKey)
	}
	return head, nil
}
