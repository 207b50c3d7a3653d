// Package bench measures the latency that two daemons add to a call, compared with
// the same call made directly to the upstream.
//
// The simulated platform, the simulated upstream and both daemons are separate
// processes, built from this tree; the callers are goroutines of this process.
package bench

import (
	"context"
	"fmt"
	"io"
	"time"
)

// Config configures the load of a measurement.
type Config struct {
	// Callers is the number of callers; each makes one call per Interval.
	Callers  int
	Interval time.Duration
	// Duration is the duration of the steady load.
	Duration time.Duration
	// SaturationDuration is the duration of the saturating load, in which each of
	// SaturationCallers makes one call after the other.
	SaturationDuration time.Duration
	SaturationCallers  int
	// RequestBytes and AnswerBytes are the sizes of request and response bodies.
	RequestBytes, AnswerBytes int
	// BulkCallers is the number of callers that download archives of BulkBytes in the
	// least urgent rank, one after the other, during a second steady load.
	BulkCallers, BulkBytes int
	// Seed seeds the order of direct calls and calls through the daemons.
	Seed uint64
	// DaemonEnv is added to the environment of the daemons, as in "GOGC=100".
	DaemonEnv []string
}

// DefaultConfig returns the moderate load for which the latency target is stated.
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

// Result holds one measurement.
type Result struct {
	// Direct and Through are the latencies without and with the daemons.
	Direct, Through Latencies
	// BulkDirect and BulkThrough are the latencies during archive downloads.
	BulkDirect, BulkThrough Latencies
	// BulkRate is the rate of the archive downloads in bytes per second.
	BulkRate float64
	// Errors is the number of failed calls, without archive downloads.
	Errors int
	// AllocationsPerCall is the number of heap allocations of both daemons per call.
	AllocationsPerCall float64
	// CPUPerCall is the processor time of both daemons per call.
	CPUPerCall time.Duration
	// SaturatedRate is the number of calls per second at saturation.
	SaturatedRate float64
	// SaturatedCallsPerCore is the number of calls per second of processor time of
	// both daemons together at saturation.
	SaturatedCallsPerCore float64
	// IdleBytes and LoadedBytes are the resident memory of the larger daemon, before
	// any call and after the saturating load.
	IdleBytes, LoadedBytes float64
}

// warmupTime is the duration of the load before the measurement.
const warmupTime = time.Second

// Run starts the processes, measures, and stops them. The processes write to log.
func Run(ctx context.Context, c Config, log io.Writer) (*Result, error) {
	s, err := start(ctx, c.DaemonEnv, log)
	if err != nil {
		return nil, err
	}
	defer s.stop()
	result := &Result{}
	idle, err := s.usage()
	if err != nil {
		return nil, err
	}
	result.IdleBytes = idle.resident
	l := newLoad(c, s)
	l.steady(ctx, warmupTime)
	if err := result.measureSteady(ctx, c, s, l); err != nil {
		return nil, err
	}
	result.measureBulk(ctx, c, l)
	return result, result.measureSaturated(ctx, c, s, l)
}

func (r *Result) measureBulk(ctx context.Context, c Config, l *load) {
	bulkCtx, stop := context.WithCancel(ctx)
	start := time.Now()
	downloaded := l.startDownloads(bulkCtx)
	samples := l.steady(ctx, c.Duration)
	stop()
	r.BulkRate = float64(downloaded()) / time.Since(start).Seconds()
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

// Print writes the results as text with Markdown tables.
func (r *Result) Print(w io.Writer) {
	const mebibyte = 1 << 20
	printTable(w, r.Direct, r.Through)
	fmt.Fprintf(w, "\nwhile archives are pulled through the same daemons at %.1f MB/s:\n\n", r.BulkRate/mebibyte)
	printTable(w, r.BulkDirect, r.BulkThrough)
	fmt.Fprintf(w, "\ncalls: %d direct, %d through, %d errors\n", len(r.Direct), len(r.Through), r.Errors)
	fmt.Fprintf(w, "both daemons per call at the steady load: %.0f allocations, %d µs of processor time\n",
		r.AllocationsPerCall, r.CPUPerCall.Microseconds())
	fmt.Fprintf(w, "at saturation: %.0f calls/s, %.0f calls/s per core of the two daemons\n",
		r.SaturatedRate, r.SaturatedCallsPerCore)
	fmt.Fprintf(w, "resident memory of the larger daemon: %.1f MB at rest, %.1f MB after saturation\n",
		r.IdleBytes/mebibyte, r.LoadedBytes/mebibyte)
}

// printTable writes the latency quantiles and their differences.
func printTable(w io.Writer, direct, through Latencies) {
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
