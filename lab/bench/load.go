package bench

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"fuchsiavane.org/node/call"
)

// Latencies holds the times of calls.
type Latencies []time.Duration

// Quantile returns the nearest-rank quantile; q is from 0 to 1.
func (l Latencies) Quantile(q float64) time.Duration {
	if len(l) == 0 {
		return 0
	}
	sorted := slices.Clone(l)
	slices.Sort(sorted)
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}

// load makes the calls.
type load struct {
	config  Config
	client  *http.Client
	direct  string
	through string
	archive string
	body    []byte
}

func newLoad(c Config, s *system) *load {
	transport := &http.Transport{MaxIdleConnsPerHost: 256, DisableCompression: true}
	path := fmt.Sprintf("/results?bytes=%d", c.AnswerBytes)
	return &load{
		config:  c,
		client:  &http.Client{Transport: transport},
		direct:  s.upstream + path,
		through: s.entry + path,
		archive: s.entry + fmt.Sprintf("/archive?bytes=%d", c.BulkBytes),
		body:    bytes.Repeat([]byte("x"), c.RequestBytes),
	}
}

// samples are the latencies of one steady load.
type samples struct {
	direct, through Latencies
	errors          int
}

// steady makes one call for each caller and interval. Two calls in a row of a
// caller are a pair, one direct and one through the daemons, in an order that
// the seed gives.
func (l *load) steady(ctx context.Context, length time.Duration) samples {
	results := make([]samples, l.config.Callers)
	var group sync.WaitGroup
	for i := range results {
		group.Go(func() { results[i] = l.caller(ctx, uint64(i), length) })
	}
	group.Wait()
	var all samples
	for _, r := range results {
		all.direct = append(all.direct, r.direct...)
		all.through = append(all.through, r.through...)
		all.errors += r.errors
	}
	return all
}

func (l *load) caller(ctx context.Context, number uint64, length time.Duration) samples {
	random := rand.New(rand.NewPCG(l.config.Seed, number))
	time.Sleep(time.Duration(random.Int64N(int64(l.config.Interval))))
	ticker := time.NewTicker(l.config.Interval)
	defer ticker.Stop()
	var s samples
	end := time.Now().Add(length)
	for time.Now().Before(end) && ctx.Err() == nil {
		directFirst := random.IntN(2) == 0
		<-ticker.C
		l.sample(ctx, directFirst, &s)
		<-ticker.C
		l.sample(ctx, !directFirst, &s)
	}
	return s
}

func (l *load) sample(ctx context.Context, direct bool, s *samples) {
	url, into := l.through, &s.through
	if direct {
		url, into = l.direct, &s.direct
	}
	began := time.Now()
	if err := l.call(ctx, url); err != nil {
		s.errors++
		return
	}
	*into = append(*into, time.Since(began))
}

// saturate calls through the daemons without pause and returns the calls made.
func (l *load) saturate(ctx context.Context, length time.Duration) (calls, failures int) {
	var made, failed atomic.Int64
	var group sync.WaitGroup
	end := time.Now().Add(length)
	for range l.config.SaturationCallers {
		group.Go(func() {
			for time.Now().Before(end) && ctx.Err() == nil {
				if err := l.call(ctx, l.through); err != nil {
					failed.Add(1)
					continue
				}
				made.Add(1)
			}
		})
	}
	group.Wait()
	return int(made.Load()), int(failed.Load())
}

// bulk pulls archives until the context ends, and returns a function that waits
// for the end and gives the bytes pulled.
func (l *load) bulk(ctx context.Context) (pulled func() int64) {
	var total atomic.Int64
	var group sync.WaitGroup
	for range l.config.BulkCallers {
		group.Go(func() {
			for ctx.Err() == nil {
				n, _ := l.pull(ctx) // what a broken pull got counts too
				total.Add(n)
			}
		})
	}
	return func() int64 {
		group.Wait()
		return total.Load()
	}
}

func (l *load) pull(ctx context.Context) (int64, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, l.archive, http.NoBody)
	if err != nil {
		return 0, err
	}
	request.Host = upstreamService
	request.Header.Set(call.HeaderRank, bulkRank)
	response, err := l.client.Do(request)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	return io.Copy(io.Discard, response.Body)
}

func (l *load) call(ctx context.Context, url string) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, url, bytes.NewReader(l.body))
	if err != nil {
		return err
	}
	request.Host = upstreamService
	response, err := l.client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	n, err := io.Copy(io.Discard, response.Body)
	if err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK || n != int64(l.config.AnswerBytes) {
		return fmt.Errorf("status %d with %d bytes", response.StatusCode, n)
	}
	return nil
}
