package gateway

import (
	"bytes"
	"strings"
	"testing"
	"time"

	plog "github.com/phuslu/log"

	"fuchsiavane.org/core/retry"
	"fuchsiavane.org/core/settings"
	"fuchsiavane.org/node/call"
	"fuchsiavane.org/node/event"
	"fuchsiavane.org/node/settingsync"
)

// TestDeniedRetriesAreLogged checks that the log line of a denied retry has the values
// that caused the denial.
func TestDeniedRetriesAreLogged(t *testing.T) {
	var lines bytes.Buffer
	g := New(Config{Settings: settingsync.NewHolder(), Log: event.New(&lines, plog.InfoLevel, "entry")})
	values := settings.Defaults()
	values.RetryBurst = 0
	r := &call.Request{ID: "root", CallerRequestID: "label", Service: "registry", Nested: true, Deadline: time.Now().Add(time.Second)}
	if g.takeRetry(r, &values, call.Refuse(call.NotRun, call.RefusedUpstreamShed, "shed"), retry.NewBudget(1)) {
		t.Fatal("a retry was allowed with a burst of 0")
	}
	for _, want := range []string{`"retry-denied"`, `"request":"label"`, `"root":"root"`, `"retries":0`, `"allowed":0`, `"refusal":"upstream-shed"`} {
		if !strings.Contains(lines.String(), want) {
			t.Errorf("%s lacks %s", lines.String(), want)
		}
	}
}
