package scenario

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"

	"github.com/rogpeppe/go-internal/testscript"

	"fuchsiavane.org/lab/upstreamsim"
)

// sentRequest is a request of a flood and its result.
type sentRequest struct {
	method string
	// result is the status and outcome of the response, or "refused", "error" or
	// "cut".
	result string
}

func (s *scriptState) recordSent(request *http.Request, result string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sent[request.Header.Get("Idempotency-Key")] = sentRequest{request.Method, result}
}

// runsOf returns the runs recorded by the upstream of an instance.
func runsOf(ts *testscript.TestScript, name string) []upstreamsim.Record {
	var records []upstreamsim.Record
	ts.Check(json.Unmarshal([]byte(getBody(ts.Getenv(name+"_upstream")+"/runs")), &records))
	return records
}

// audit compares the results of all floods with the runs recorded by the
// upstreams: no request with outcome "not-run" ran, every request with outcome
// "ran" did, and no POST ran twice.
func audit(ts *testscript.TestScript, _ bool, args []string) {
	runs := map[string]int{}
	for _, name := range args {
		for _, record := range runsOf(ts, name) {
			runs[record.Key]++
		}
	}
	state := stateOf(ts)
	state.mu.Lock()
	defer state.mu.Unlock()
	if len(state.sent) == 0 {
		ts.Fatalf("no flood was sent")
	}
	for key, sent := range state.sent {
		switch n := runs[key]; {
		case strings.HasSuffix(sent.result, " not-run") && n > 0:
			ts.Fatalf("%s %s returned %q but ran %d times", sent.method, key, sent.result, n)
		case strings.HasSuffix(sent.result, " ran") && n == 0:
			ts.Fatalf("%s %s returned %q but did not run", sent.method, key, sent.result)
		case sent.method == http.MethodPost && n > 1:
			ts.Fatalf("%s %s ran %d times (returned %q)", sent.method, key, n, sent.result)
		}
	}
}

// checkRunCount checks that the number of runs of a path at an upstream is within
// bounds.
func checkRunCount(ts *testscript.TestScript, _ bool, args []string) {
	if len(args) != 4 {
		ts.Fatalf("usage: runs NAME PATH LEAST MOST")
	}
	minimum, err := strconv.Atoi(args[2])
	ts.Check(err)
	maximum, err := strconv.Atoi(args[3])
	ts.Check(err)
	n := 0
	for _, record := range runsOf(ts, args[0]) {
		if record.Path == args[1] {
			n++
		}
	}
	if n < minimum || n > maximum {
		ts.Fatalf("%s ran %s %d times, want %d to %d", args[0], args[1], n, minimum, maximum)
	}
}
