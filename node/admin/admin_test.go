package admin

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"
)

// fakeDaemon records whether it was drained.
type fakeDaemon struct{ drained bool }

func (d *fakeDaemon) Status() Status         { return Status{Instance: "a"} }
func (d *fakeDaemon) Ready() bool            { return !d.drained }
func (d *fakeDaemon) Drain()                 { d.drained = true }
func (d *fakeDaemon) WriteMetrics(io.Writer) {}

func TestDrainOfAnotherInstanceIsRefused(t *testing.T) {
	is := is.New(t)
	d := &fakeDaemon{}
	post := func(target string) int {
		w := httptest.NewRecorder()
		Handler(d).ServeHTTP(w, httptest.NewRequest(http.MethodPost, target, http.NoBody))
		return w.Code
	}
	is.Equal(post("/drain?instance=b"), http.StatusConflict)
	is.True(!d.drained)
	is.Equal(post("/drain?instance=a"), http.StatusAccepted)
	is.True(d.drained)
	is.Equal(post("/drain"), http.StatusAccepted)
}
