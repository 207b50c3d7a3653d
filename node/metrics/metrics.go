// Package metrics counts what a daemon does, for the admin port. Label sets are
// bounded: names beyond a bound are counted as "other".
package metrics

import (
	"fmt"
	"io"
	"strings"
	"sync"
	"time"
	"unicode/utf8"

	vm "github.com/VictoriaMetrics/metrics"

	"fuchsiavane.org/node/call"
)

const (
	// maxCallers, maxServices and maxRanks bound the label values that are kept
	// apart.
	maxCallers  = 64
	maxServices = 64
	maxRanks    = 32
	// maxSeries bounds the series kept for calls, all labels together.
	maxSeries = 1000
	// other is the label of names beyond a bound.
	other = "other"
)

// Metrics is one daemon's set. It is safe for concurrent use.
type Metrics struct {
	set      *vm.Set
	callers  *names
	services *names
	ranks    *names

	mu     sync.RWMutex
	series map[seriesKey]*series
}

type seriesKey struct {
	service, caller, rank string
	outcome               call.Outcome
	refusal               call.Refusal
}

type series struct {
	calls   *vm.Counter
	seconds *vm.Histogram
}

// New returns an empty set.
func New() *Metrics {
	return &Metrics{
		set:      vm.NewSet(),
		callers:  newNames(maxCallers),
		services: newNames(maxServices),
		ranks:    newNames(maxRanks),
		series:   map[seriesKey]*series{},
	}
}

// ObserveCall implements gateway.Observer.
func (m *Metrics) ObserveCall(service, caller, rank string, outcome call.Outcome, refusal call.Refusal, took time.Duration) {
	key := seriesKey{m.services.bounded(service), m.callers.bounded(caller), m.ranks.bounded(rank), outcome, refusal}
	s := m.find(key)
	s.calls.Inc()
	s.seconds.Update(took.Seconds())
}

func (m *Metrics) find(key seriesKey) *series {
	m.mu.RLock()
	s := m.series[key]
	m.mu.RUnlock()
	if s != nil {
		return s
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if s = m.series[key]; s != nil {
		return s
	}
	if len(m.series) >= maxSeries {
		key.service, key.caller = other, other
		if s = m.series[key]; s != nil {
			return s
		}
	}
	s = m.add(key)
	m.series[key] = s
	return s
}

// add registers the series of a key. The caller holds the lock.
func (m *Metrics) add(key seriesKey) *series {
	labels := fmt.Sprintf(`{service=%s,caller=%s,rank=%s`, labelValue(key.service), labelValue(key.caller), labelValue(key.rank))
	return &series{
		calls: m.set.GetOrCreateCounter("fuchsiavane_calls_total" + labels +
			fmt.Sprintf(`,outcome=%s,refusal=%s}`, labelValue(string(key.outcome)), labelValue(string(key.refusal)))),
		seconds: m.set.GetOrCreateHistogram("fuchsiavane_call_seconds" + labels + "}"),
	}
}

// labelValue quotes a name, which comes from a request, for the Prometheus text
// format. Bytes that the format could not carry become "_".
func labelValue(name string) string {
	clean := func(r rune) rune {
		if r < ' ' || r == 0x7f || r == utf8.RuneError {
			return '_'
		}
		return r
	}
	return `"` + labelEscapes.Replace(strings.Map(clean, name)) + `"`
}

var labelEscapes = strings.NewReplacer(`\`, `\\`, `"`, `\"`)

// Counter returns the counter of a name with labels.
func (m *Metrics) Counter(name string) *vm.Counter { return m.set.GetOrCreateCounter(name) }

// Gauge registers a value that is read when metrics are written.
func (m *Metrics) Gauge(name string, read func() float64) { m.set.GetOrCreateGauge(name, read) }

// Write writes the set in the Prometheus text format, the process's own metrics
// included.
func (m *Metrics) Write(w io.Writer) {
	m.set.WritePrometheus(w)
	vm.WriteProcessMetrics(w)
}

// names keeps a bounded set of names.
type names struct {
	most int

	mu   sync.RWMutex
	have map[string]struct{}
}

func newNames(most int) *names { return &names{most: most, have: map[string]struct{}{}} }

// bounded returns the name, or other if there are too many.
func (n *names) bounded(name string) string {
	n.mu.RLock()
	_, known := n.have[name]
	full := len(n.have) >= n.most
	n.mu.RUnlock()
	if known {
		return name
	}
	if full {
		return other
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.have) >= n.most {
		return other
	}
	n.have[name] = struct{}{}
	return name
}
