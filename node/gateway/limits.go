package gateway

import (
	"net/http"

	"github.com/pkg/errors"

	"fuchsiavane.org/node/call"
)

// errHeaderTooLarge is returned for a header that exceeds the limits.
var errHeaderTooLarge = errors.Errorf("the header is larger than %d bytes or has more than %d fields", call.MaxHeaderBytes, call.MaxHeaderFields)

// checkSize returns errHeaderTooLarge if the header of a request exceeds the limits.
func checkSize(r *http.Request) error {
	bytes := len(r.Method) + len(r.RequestURI) + len(r.Host)
	if bytes+call.HeaderBytes(r.Header) > call.MaxHeaderBytes || call.HeaderFields(r.Header) > call.MaxHeaderFields {
		return errHeaderTooLarge
	}
	return nil
}
