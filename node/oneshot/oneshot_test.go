package oneshot

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
)

// TestBodyBeyondItsBoundIsAnError guards against the first part of a body being taken for
// the whole.
func TestBodyBeyondItsBoundIsAnError(t *testing.T) {
	const bound = 1000
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		size := bound
		if r.URL.Path == "/larger" {
			size++
		}
		_, _ = w.Write(make([]byte, size))
	}))
	t.Cleanup(server.Close)
	client := NewClient(10*time.Second, Limits{HeaderBytes: 1000, BodyBytes: bound})
	for path, want := range map[string]error{"/": nil, "/larger": errBodyTooLarge} {
		is := is.New(t)
		response, err := client.Get(server.URL + path)
		is.NoErr(err)
		body, err := io.ReadAll(response.Body)
		is.NoErr(response.Body.Close())
		is.True(errors.Is(err, want))
		is.Equal(len(body), bound)
	}
}
