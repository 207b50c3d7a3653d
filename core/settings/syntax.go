package settings

import (
	"encoding/json"

	"github.com/pkg/errors"
)

// syntaxOffset returns the byte offset of a JSON syntax error, or 0.
func syntaxOffset(err error) int {
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		return int(syntax.Offset)
	}
	return 0
}
