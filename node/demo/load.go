package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"text/tabwriter"
	"time"

	"fuchsiavane.org/node/admin"
	"fuchsiavane.org/node/call"
)

// requestKind is a kind of request that the demo's callers send.
type requestKind struct {
	rank, method, path string
	callers            int
	// interval is the wait between two requests of one caller.
	interval time.Duration
}

var (
	normalKinds = []requestKind{
		{"ruling", http.MethodPost, "/rulings", 2, 50 * time.Millisecond},
		{"lookup", http.MethodGet, "/results", 6, 40 * time.Millisecond},
		{"bulk", http.MethodGet, "/archives", 2, 50 * time.Millisecond},
	}
	floodKind = requestKind{"bulk", http.MethodGet, "/archives", 150, 5 * time.Millisecond}
)

// rankStats counts the requests of one rank by result.
type rankStats struct {
	// complete responses ("whole" in the report), requests refused before they ran,
	// requests that ran at bench and were refused at registry ("refused deep"), and all
	// others.
	sent, complete, notRun, refusedNested, other int
	latencies                                    []time.Duration
}

// results holds the statistics of all ranks.
type results struct {
	mu    sync.Mutex
	ranks map[string]*rankStats
}

// runLoad runs the callers for a duration, with the flood's callers if flood is set.
func runLoad(ctx context.Context, entries []string, duration time.Duration, flood bool) *results {
	ctx, cancel := context.WithTimeout(ctx, duration)
	defer cancel()
	kinds := normalKinds
	if flood {
		kinds = append(slices.Clone(normalKinds), floodKind)
	}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}
	r := &results{ranks: map[string]*rankStats{}}
	var group sync.WaitGroup
	for _, k := range kinds {
		for i := range k.callers {
			group.Go(func() { r.runCaller(ctx, client, entries[i%len(entries)], k, i) })
		}
	}
	group.Wait()
	return r
}

// runCaller sends requests of one kind to entry, one after another, until the context
// ends.
func (r *results) runCaller(ctx context.Context, client *http.Client, entry string, k requestKind, i int) {
	for ctx.Err() == nil {
		start := time.Now()
		status, outcome := send(client, entry, k, i)
		r.record(k.rank, status, outcome, time.Since(start))
		select {
		case <-ctx.Done():
		case <-time.After(k.interval):
		}
	}
}

// send sends a request as caller i and returns the status and outcome; the status is 0
// if there is no complete response.
func send(client *http.Client, entry string, k requestKind, i int) (int, call.Outcome) {
	request, err := http.NewRequest(k.method, "http://"+entry+k.path, http.NoBody)
	if err != nil {
		return 0, call.NotRun
	}
	request.Host = "bench"
	request.Header.Set(call.HeaderCaller, fmt.Sprintf("%s-%d", k.rank, i))
	response, err := client.Do(request)
	if err != nil {
		return 0, call.Unknown
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0, call.Unknown
	}
	return response.StatusCode, call.Outcome(response.Header.Get(call.HeaderOutcome))
}

// record counts a request.
func (r *results) record(rank string, status int, outcome call.Outcome, latency time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.ranks[rank]
	if t == nil {
		t = &rankStats{}
		r.ranks[rank] = t
	}
	t.sent++
	switch {
	case status == http.StatusOK:
		t.complete++
		t.latencies = append(t.latencies, latency)
	case outcome == call.NotRun:
		t.notRun++
	case status == http.StatusServiceUnavailable:
		t.refusedNested++
	default:
		t.other++
	}
}

// report prints a table of results by rank.
func report(out io.Writer, title string, r *results, duration time.Duration) {
	fmt.Fprintf(out, "\n%s, %v:\n", title, duration)
	table := tabwriter.NewWriter(out, 0, 8, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "rank\tsent\twhole\tnot run\trefused deep\tother\twhole/s\tp50 ms\tp99 ms\t")
	for _, k := range normalKinds {
		t := r.ranks[k.rank]
		if t == nil {
			continue
		}
		slices.Sort(t.latencies)
		fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\t%d\t%.0f\t%.1f\t%.1f\t\n", k.rank, t.sent, t.complete, t.notRun, t.refusedNested, t.other,
			float64(t.complete)/duration.Seconds(), t.quantile(0.5), t.quantile(0.99))
	}
	_ = table.Flush()
}

// quantile returns a quantile of the latencies, which are sorted, in milliseconds.
func (t *rankStats) quantile(q float64) float64 {
	if len(t.latencies) == 0 {
		return 0
	}
	return float64(t.latencies[int(q*float64(len(t.latencies)-1))]) / float64(time.Millisecond)
}

// knowsAllPeers reports whether the daemon with the admin address addr knows all
// daemons and has settings.
func (s *system) knowsAllPeers(addr string) bool {
	response, err := http.Get("http://" + addr + "/status")
	if err != nil {
		return false
	}
	defer response.Body.Close()
	var status admin.Status
	if json.NewDecoder(response.Body).Decode(&status) != nil {
		return false
	}
	return len(status.Peers) == len(s.adminAddrs) && status.SettingsRevision > 0
}
