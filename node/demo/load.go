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

// kind is a kind of request that the demo's callers send.
type kind struct {
	rank, method, path string
	callers            int
	// pause is the time between two requests of one caller.
	pause time.Duration
}

var (
	calmKinds = []kind{
		{"ruling", http.MethodPost, "/rulings", 2, 50 * time.Millisecond},
		{"lookup", http.MethodGet, "/results", 6, 40 * time.Millisecond},
		{"bulk", http.MethodGet, "/archives", 2, 50 * time.Millisecond},
	}
	floodKind = kind{"bulk", http.MethodGet, "/archives", 150, 5 * time.Millisecond}
)

// tally is what became of the requests of one rank.
type tally struct {
	// whole answers, requests refused before anything ran, requests that ran at
	// bench and were refused at registry, and all others.
	sent, whole, notRun, refusedDeep, other int
	latencies                               []time.Duration
}

// results collects tallies by rank.
type results struct {
	mu    sync.Mutex
	ranks map[string]*tally
}

// load runs the callers for a time.
func load(ctx context.Context, entries []string, length time.Duration, flood bool) *results {
	ctx, cancel := context.WithTimeout(ctx, length)
	defer cancel()
	kinds := calmKinds
	if flood {
		kinds = append(slices.Clone(calmKinds), floodKind)
	}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}
	r := &results{ranks: map[string]*tally{}}
	var group sync.WaitGroup
	for _, k := range kinds {
		for i := range k.callers {
			group.Go(func() { r.caller(ctx, client, entries[i%len(entries)], k, i) })
		}
	}
	group.Wait()
	return r
}

func (r *results) caller(ctx context.Context, client *http.Client, entry string, k kind, i int) {
	for ctx.Err() == nil {
		began := time.Now()
		status, outcome := send(client, entry, k, i)
		r.add(k.rank, status, outcome, time.Since(began))
		select {
		case <-ctx.Done():
		case <-time.After(k.pause):
		}
	}
}

func send(client *http.Client, entry string, k kind, i int) (int, call.Outcome) {
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

func (r *results) add(rank string, status int, outcome call.Outcome, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.ranks[rank]
	if t == nil {
		t = &tally{}
		r.ranks[rank] = t
	}
	t.sent++
	switch {
	case status == http.StatusOK:
		t.whole++
		t.latencies = append(t.latencies, took)
	case outcome == call.NotRun:
		t.notRun++
	case status == http.StatusServiceUnavailable:
		t.refusedDeep++
	default:
		t.other++
	}
}

func report(out io.Writer, title string, r *results, length time.Duration) {
	fmt.Fprintf(out, "\n%s, %v:\n", title, length)
	table := tabwriter.NewWriter(out, 0, 8, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "rank\tsent\twhole\tnot run\trefused deep\tother\twhole/s\tp50 ms\tp99 ms\t")
	for _, k := range calmKinds {
		t := r.ranks[k.rank]
		if t == nil {
			continue
		}
		slices.Sort(t.latencies)
		fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\t%d\t%.0f\t%.1f\t%.1f\t\n", k.rank, t.sent, t.whole, t.notRun, t.refusedDeep, t.other,
			float64(t.whole)/length.Seconds(), t.quantile(0.5), t.quantile(0.99))
	}
	_ = table.Flush()
}

// quantile returns a latency in milliseconds.
func (t *tally) quantile(q float64) float64 {
	if len(t.latencies) == 0 {
		return 0
	}
	return float64(t.latencies[int(q*float64(len(t.latencies)-1))]) / float64(time.Millisecond)
}

func (s *system) knowsAll(addr string) bool {
	response, err := http.Get("http://" + addr + "/status")
	if err != nil {
		return false
	}
	defer response.Body.Close()
	var status admin.Status
	if json.NewDecoder(response.Body).Decode(&status) != nil {
		return false
	}
	return len(status.Peers) == len(s.admins) && status.SettingsRevision > 0
}
