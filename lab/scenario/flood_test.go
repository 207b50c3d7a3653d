package scenario

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/google/uuid"
	"github.com/rogpeppe/go-internal/testscript"
)

// loadGenerator runs callers that send requests in a loop, and counts the results.
type loadGenerator struct {
	callers sync.WaitGroup

	mu     sync.Mutex
	counts map[string]int
}

// startLoad starts the callers of a flood or begin command and returns their
// loadGenerator.
func startLoad(ts *testscript.TestScript, args []string) *loadGenerator {
	if len(args) < 3 {
		ts.Fatalf("usage: flood NAME SERVICE PATH -for T -callers N [flags] [HEADER=VALUE ...]")
	}
	flags, headers := parseFlags(ts, args[3:])
	duration, err := time.ParseDuration(flags["for"])
	ts.Check(err)
	callers, err := strconv.Atoi(flags["callers"])
	ts.Check(err)
	l := &loadGenerator{counts: map[string]int{}}
	end := time.Now().Add(duration)
	for range callers {
		request := newRequest(ts, args, flags, headers)
		l.callers.Go(func() { l.runCaller(stateOf(ts), request, end, flags["until"] == "told") })
	}
	return l
}

// runCaller sends requests until end, at least one. With untilClosed it returns
// when a response closes the connection, as a leaving daemon's responses do.
func (l *loadGenerator) runCaller(state *scriptState, request *http.Request, end time.Time, untilClosed bool) {
	for first := true; first || time.Now().Before(end); first = false {
		attempt := request.Clone(request.Context())
		attempt.Header.Set("Idempotency-Key", uuid.Must(uuid.NewV7()).String())
		result, closed := sendRequest(attempt)
		state.recordSent(attempt, result)
		l.mu.Lock()
		l.counts[result]++
		l.mu.Unlock()
		if closed && untilClosed {
			return
		}
	}
}

// finish waits for the callers and prints the number of requests for each result.
func (l *loadGenerator) finish(ts *testscript.TestScript) {
	l.callers.Wait()
	lines := make([]string, 0, len(l.counts))
	for result, n := range l.counts {
		lines = append(lines, fmt.Sprintf("%s %d", result, n))
	}
	slices.Sort(lines)
	fmt.Fprintln(ts.Stdout(), strings.Join(lines, "\n"))
}

func flood(ts *testscript.TestScript, _ bool, args []string) { startLoad(ts, args).finish(ts) }

// beginFlood starts a flood in the background; endFlood waits for its end.
func beginFlood(ts *testscript.TestScript, _ bool, args []string) {
	state := stateOf(ts)
	if state.flood != nil {
		ts.Fatalf("a flood is already running")
	}
	state.flood = startLoad(ts, args)
}

func endFlood(ts *testscript.TestScript, _ bool, _ []string) {
	state := stateOf(ts)
	if state.flood == nil {
		ts.Fatalf("no flood is running")
	}
	state.flood.finish(ts)
	state.flood = nil
}

// sendRequest sends a request and returns its result, and whether the response
// closed the connection.
func sendRequest(request *http.Request) (result string, closed bool) {
	response, err := http.DefaultClient.Do(request)
	if errors.Is(err, syscall.ECONNREFUSED) {
		return "refused", false
	}
	if err != nil {
		return "error", false
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return "cut", false
	}
	return fmt.Sprintf("%d %s", response.StatusCode, response.Header.Get("Fuchsiavane-Outcome")), response.Close
}
