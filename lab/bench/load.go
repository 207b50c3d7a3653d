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

// Latencies holds the latencies of calls, in no order.
type Latencies []time.Duration

// Quantile returns the nearest-rank quantile q, from 0 to 1; 0 without calls.
func (l Latencies) Quantile(q float64) time.Duration {
	if len(l) == 0 {
		return 0
	}
	sorted := slices.Clone(l)
	slices.Sort(sorted)
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}

// load generates the calls.
type load struct {
	config  Config
	client  *http.Client
	direct  string // URL of a call to the upstream
	through string // URL of the same call through the daemons
	archive string // URL of an archive through the daemons
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

// steady makes one call per caller and interval. Each two successive calls of a
// caller are a pair, one direct and one through the daemons, in an order drawn from
// the seed.
func (l *load) steady(ctx context.Context, length time.Duration) samples {
	results := make([]samples, l.config.Callers)
	var group sync.WaitGroup
	for i := range results {
		group.Go(func() { results[i] = l.runCaller(ctx, uint64(i), length) })
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

// runCaller makes the calls of one caller.
func (l *load) runCaller(ctx context.Context, number uint64, length time.Duration) samples {
	random := rand.New(rand.NewPCG(l.config.Seed, number))
	time.Sleep(time.Duration(random.Int64N(int64(l.config.Interval))))
	ticker := time.NewTicker(l.config.Interval)
	defer ticker.Stop()
	var s samples
	end := time.Now().Add(length)
	for time.Now().Before(end) && ctx.Err() == nil {
		directFirst := random.IntN(2) == 0
		<-ticker.C
		l.measureCall(ctx, directFirst, &s)
		<-ticker.C
		l.measureCall(ctx, !directFirst, &s)
	}
	return s
}

// measureCall makes one call and adds its latency or error to s.
func (l *load) measureCall(ctx context.Context, direct bool, s *samples) {
	url, latencies := l.through, &s.through
	if direct {
		url, latencies = l.direct, &s.direct
	}
	start := time.Now()
	if err := l.call(ctx, url); err != nil {
		s.errors++
		return
	}
	*latencies = append(*latencies, time.Since(start))
}

// saturate makes one call after the other in each caller, through the daemons, and
// returns the numbers of successful and failed calls.
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

// startDownloads downloads archives until ctx ends. The returned function waits for
// the end and returns the number of bytes downloaded.
func (l *load) startDownloads(ctx context.Context) (downloaded func() int64) {
	var total atomic.Int64
	var group sync.WaitGroup
	for range l.config.BulkCallers {
		group.Go(func() {
			for ctx.Err() == nil {
				n, _ := l.download(ctx) // the bytes of a failed download count too
				total.Add(n)
			}
		})
	}
	return func() int64 {
		group.Wait()
		return total.Load()
	}
}

// download downloads one archive and returns the number of bytes read.
func (l *load) download(ctx context.Context) (int64, error) {
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

// call makes one call. It returns an error unless the response is 200 and complete.
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
