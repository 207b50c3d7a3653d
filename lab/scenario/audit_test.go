package scenario

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"

	"github.com/rogpeppe/go-internal/testscript"

	"fuchsiavane.org/lab/upstreamsim"
)

// sentRequest is a request of a flood and what its caller was told.
type sentRequest struct {
	method string
	// result is the status and outcome, or "error" or "cut".
	result string
}

func (w *world) note(request *http.Request, result string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sent[request.Header.Get("Idempotency-Key")] = sentRequest{request.Method, result}
}

// runsOf reads an upstream's record of runs.
func runsOf(ts *testscript.TestScript, name string) []upstreamsim.Record {
	var records []upstreamsim.Record
	ts.Check(json.Unmarshal([]byte(get(ts.Getenv(name+"_upstream")+"/runs")), &records))
	return records
}

// audit holds what the callers of all floods were told against the records of
// the upstreams that were called: what was told "not-run" did not run, what was
// told "ran" did, and no POST ran twice.
func audit(ts *testscript.TestScript, _ bool, args []string) {
	runs := map[string]int{}
	for _, name := range args {
		for _, record := range runsOf(ts, name) {
			runs[record.Key]++
		}
	}
	w := worldOf(ts)
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.sent) == 0 {
		ts.Fatalf("no flood was sent")
	}
	for key, sent := range w.sent {
		switch n := runs[key]; {
		case strings.HasSuffix(sent.result, " not-run") && n > 0:
			ts.Fatalf("%s %s was told %q and ran %d times", sent.method, key, sent.result, n)
		case strings.HasSuffix(sent.result, " ran") && n == 0:
			ts.Fatalf("%s %s was told %q and did not run", sent.method, key, sent.result)
		case sent.method == http.MethodPost && n > 1:
			ts.Fatalf("%s %s ran %d times (told %q)", sent.method, key, n, sent.result)
		}
	}
}

// countRuns checks how often an upstream has run requests of a path.
func countRuns(ts *testscript.TestScript, _ bool, args []string) {
	if len(args) != 4 {
		ts.Fatalf("usage: runs NAME PATH LEAST MOST")
	}
	least, err := strconv.Atoi(args[2])
	ts.Check(err)
	most, err := strconv.Atoi(args[3])
	ts.Check(err)
	n := 0
	for _, record := range runsOf(ts, args[0]) {
		if record.Path == args[1] {
			n++
		}
	}
	if n < least || n > most {
		ts.Fatalf("%s ran %s %d times, want %d to %d", args[0], args[1], n, least, most)
	}
}
