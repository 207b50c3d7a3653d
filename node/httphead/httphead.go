// Package httphead checks the heads of HTTP responses. net/http accepts more than the
// protocol allows, and what it accepts would reach callers or change the meaning of the
// body.
package httphead

import (
	"net/http"

	"github.com/pkg/errors"
)

// Check returns an error if the head of a response, interim or final, is not valid.
func Check(r *http.Response) error {
	if r.ProtoMajor != 1 {
		return errors.Errorf("protocol version %s is not HTTP/1", r.Proto)
	}
	return CheckStatus(r.StatusCode)
}

// maxStatus is the largest status code. Source: RFC 9110, section 15.
const maxStatus = 599

// CheckStatus returns an error if a response to a request without an upgrade can't have a
// status code.
func CheckStatus(status int) error {
	if status < http.StatusContinue || status > maxStatus {
		return errors.Errorf("status %03d is not between %d and %d", status, http.StatusContinue, maxStatus)
	}
	if status == http.StatusSwitchingProtocols {
		return errors.Errorf("status %d answers a request without an upgrade", status)
	}
	return nil
}
