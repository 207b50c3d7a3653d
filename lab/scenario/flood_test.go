package scenario

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/rogpeppe/go-internal/testscript"
)

// load is a number of callers that call in a loop.
type load struct {
	group sync.WaitGroup

	mu     sync.Mutex
	counts map[string]int
}

// startLoad starts the callers of a flood or begin command.
func startLoad(ts *testscript.TestScript, args []string) *load {
	if len(args) < 3 {
		ts.Fatalf("usage: flood NAME SERVICE PATH -for T -callers N [flags] [HEADER=VALUE ...]")
	}
	flags, headers := flagsOf(ts, args[3:])
	length, err := time.ParseDuration(flags["for"])
	ts.Check(err)
	callers, err := strconv.Atoi(flags["callers"])
	ts.Check(err)
	l := &load{counts: map[string]int{}}
	end := time.Now().Add(length)
	for range callers {
		request := newRequest(ts, args, flags, headers)
		l.group.Go(func() { l.caller(worldOf(ts), request, end) })
	}
	return l
}

// caller calls until the end, at least once.
func (l *load) caller(w *world, request *http.Request, end time.Time) {
	for first := true; first || time.Now().Before(end); first = false {
		one := request.Clone(request.Context())
		one.Header.Set("Idempotency-Key", uuid.Must(uuid.NewV7()).String())
		result := sendOne(one)
		w.note(one, result)
		l.mu.Lock()
		l.counts[result]++
		l.mu.Unlock()
	}
}

// finish waits for the callers and prints a count for each status and outcome.
func (l *load) finish(ts *testscript.TestScript) {
	l.group.Wait()
	lines := make([]string, 0, len(l.counts))
	for result, n := range l.counts {
		lines = append(lines, fmt.Sprintf("%s %d", result, n))
	}
	slices.Sort(lines)
	fmt.Fprintln(ts.Stdout(), strings.Join(lines, "\n"))
}

func flood(ts *testscript.TestScript, _ bool, args []string) { startLoad(ts, args).finish(ts) }

// beginFlood starts a flood that goes on while the script does; endFlood waits
// for it.
func beginFlood(ts *testscript.TestScript, _ bool, args []string) {
	w := worldOf(ts)
	if w.load != nil {
		ts.Fatalf("a flood has begun already")
	}
	w.load = startLoad(ts, args)
}

func endFlood(ts *testscript.TestScript, _ bool, _ []string) {
	w := worldOf(ts)
	if w.load == nil {
		ts.Fatalf("no flood has begun")
	}
	w.load.finish(ts)
	w.load = nil
}

// sendOne makes one call and returns its status and outcome.
func sendOne(request *http.Request) string {
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return "error"
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return "cut"
	}
	return fmt.Sprintf("%d %s", response.StatusCode, response.Header.Get("Fuchsiavane-Outcome"))
}
