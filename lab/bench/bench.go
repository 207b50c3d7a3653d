// Package bench measures what the request path through two daemons adds to a
// call, against the same call made directly to the upstream.
//
// The store stand-in, the upstream stand-in and both daemons are processes of
// their own, built from this tree; the callers are goroutines of this process.
package bench

import (
	"context"
	"fmt"
	"io"
	"time"
)

// Config is the load of a measurement.
type Config struct {
	// Callers is the number of callers; each makes one call every Interval.
	Callers  int
	Interval time.Duration
	// Length is the time of the steady load.
	Duration time.Duration
	// Saturation is the time of the saturating load; SaturationCallers call in
	// a loop without pause.
	SaturationDuration time.Duration
	SaturationCallers  int
	// RequestBytes and AnswerBytes are the sizes of the bodies.
	RequestBytes, AnswerBytes int
	// BulkCallers pull archives of BulkBytes in the least rank, one after
	// another, in a steady load of its own.
	BulkCallers, BulkBytes int
	// Seed orders direct calls and calls through the daemons.
	Seed uint64
	// DaemonEnv is added to the environment of the daemons, as in "GOGC=100".
	DaemonEnv []string
}

// DefaultConfig is the steady moderate load of the target.
func DefaultConfig() Config {
	return Config{
		Callers:            8,
		Interval:           3 * time.Millisecond,
		Duration:           12 * time.Second,
		SaturationDuration: 4 * time.Second,
		SaturationCallers:  64,
		RequestBytes:       512,
		AnswerBytes:        1024,
		BulkCallers:        4,
		BulkBytes:          8 << 20,
		Seed:               1,
	}
}

// Result is one measurement.
type Result struct {
	Direct, Through Latencies
	// BulkDirect and BulkThrough are the same calls while archives are pulled.
	BulkDirect, BulkThrough Latencies
	// BulkRate is bytes per second of the archives.
	BulkRate float64
	Errors   int
	// AllocationsPerCall is heap allocations of both daemons per call.
	AllocationsPerCall float64
	// CPUPerCall is the processor time of both daemons per call.
	CPUPerCall time.Duration
	// SaturatedRate is calls per second at saturation.
	SaturatedRate float64
	// SaturatedCallsPerCore is calls per second of daemon processor time at
	// saturation, for both daemons together.
	SaturatedCallsPerCore float64
	// RestBytes and LoadedBytes are the larger resident size of the two
	// daemons, before any call and after the saturating load.
	IdleBytes, LoadedBytes float64
}

// warmTime is the length of the load before the measurement.
const warmTime = time.Second

// Run starts the processes, measures and stops them.
func Run(ctx context.Context, c Config, log io.Writer) (*Result, error) {
	s, err := start(ctx, c.DaemonEnv, log)
	if err != nil {
		return nil, err
	}
	defer s.stop()
	result := &Result{}
	rest, err := s.usage()
	if err != nil {
		return nil, err
	}
	result.IdleBytes = rest.resident
	l := newLoad(c, s)
	l.steady(ctx, warmTime)
	if err := result.measureSteady(ctx, c, s, l); err != nil {
		return nil, err
	}
	result.measureBulk(ctx, c, l)
	return result, result.measureSaturated(ctx, c, s, l)
}

func (r *Result) measureBulk(ctx context.Context, c Config, l *load) {
	bulkCtx, stop := context.WithCancel(ctx)
	began := time.Now()
	pulled := l.bulk(bulkCtx)
	samples := l.steady(ctx, c.Duration)
	stop()
	r.BulkRate = float64(pulled()) / time.Since(began).Seconds()
	r.BulkDirect, r.BulkThrough = samples.direct, samples.through
	r.Errors += samples.errors
}

func (r *Result) measureSteady(ctx context.Context, c Config, s *system, l *load) error {
	before, err := s.usage()
	if err != nil {
		return err
	}
	samples := l.steady(ctx, c.Duration)
	after, err := s.usage()
	if err != nil {
		return err
	}
	r.Direct, r.Through, r.Errors = samples.direct, samples.through, samples.errors
	calls := float64(max(len(r.Through), 1))
	r.AllocationsPerCall = (after.mallocs - before.mallocs) / calls
	r.CPUPerCall = time.Duration((after.cpu - before.cpu) / calls * float64(time.Second))
	return nil
}

func (r *Result) measureSaturated(ctx context.Context, c Config, s *system, l *load) error {
	before, err := s.usage()
	if err != nil {
		return err
	}
	calls, failures := l.saturate(ctx, c.SaturationDuration)
	after, err := s.usage()
	if err != nil {
		return err
	}
	r.Errors += failures
	r.SaturatedRate = float64(calls) / c.SaturationDuration.Seconds()
	r.SaturatedCallsPerCore = float64(calls) / (after.cpu - before.cpu)
	r.LoadedBytes = after.resident
	return nil
}

// Print writes the figures as a table.
func (r *Result) Print(w io.Writer) {
	const mega = 1 << 20
	table(w, r.Direct, r.Through)
	fmt.Fprintf(w, "\nwhile archives are pulled through the same daemons at %.1f MB/s:\n\n", r.BulkRate/mega)
	table(w, r.BulkDirect, r.BulkThrough)
	fmt.Fprintf(w, "\ncalls: %d direct, %d through, %d errors\n", len(r.Direct), len(r.Through), r.Errors)
	fmt.Fprintf(w, "both daemons per call at the steady load: %.0f allocations, %d µs of processor time\n",
		r.AllocationsPerCall, r.CPUPerCall.Microseconds())
	fmt.Fprintf(w, "at saturation: %.0f calls/s, %.0f calls/s per core of the two daemons\n",
		r.SaturatedRate, r.SaturatedCallsPerCore)
	fmt.Fprintf(w, "resident memory of the larger daemon: %.1f MB at rest, %.1f MB after saturation\n",
		r.IdleBytes/mega, r.LoadedBytes/mega)
}

// table writes quantiles and their differences.
func table(w io.Writer, direct, through Latencies) {
	fmt.Fprintln(w, "| | direct, ms | through two daemons, ms | added, ms |")
	fmt.Fprintln(w, "|---|---|---|---|")
	for _, row := range []struct {
		name string
		q    float64
	}{{"p50", 0.50}, {"p90", 0.90}, {"p99", 0.99}, {"p99.9", 0.999}} {
		d, t := direct.Quantile(row.q), through.Quantile(row.q)
		fmt.Fprintf(w, "| %s | %.3f | %.3f | %.3f |\n", row.name, milliseconds(d), milliseconds(t), milliseconds(t-d))
	}
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
