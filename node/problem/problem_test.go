package problem

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"fuchsiavane.org/node/call"
)

func TestWriteIsAProblemWithOutcome(t *testing.T) {
	is := is.New(t)
	w := httptest.NewRecorder()
	a := call.Refuse(call.NotRun, call.RefusedOverload, "no slot")
	a.RetryAfter = 1200 * time.Millisecond
	Write(w, a)
	is.Equal(w.Code, http.StatusServiceUnavailable)
	is.Equal(w.Header().Get(call.HeaderOutcome), "not-run")
	is.Equal(w.Header().Get("Content-Type"), ContentType)
	is.Equal(w.Header().Get("Retry-After"), "2")
	var got body
	is.NoErr(json.Unmarshal(w.Body.Bytes(), &got))
	is.Equal(got, body{typePrefix + "overload", titles[call.RefusedOverload], 503, "no slot", call.NotRun})
}

func TestEvery503HasRetryAfter(t *testing.T) {
	is := is.New(t)
	for refusal, title := range titles {
		is.True(title != "")
		w := httptest.NewRecorder()
		Write(w, call.Refuse(call.NotRun, refusal, ""))
		is.Equal(w.Header().Get("Retry-After") != "", w.Code == http.StatusServiceUnavailable)
	}
}
