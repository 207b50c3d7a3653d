// Package metrics holds the metrics of a daemon, which the admin port serves. The
// number of label values is bounded: names beyond it are counted as "other".
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
	// maxCallers, maxServices and maxRanks are the maximum numbers of distinct
	// values of each label.
	maxCallers  = 64
	maxServices = 64
	maxRanks    = 32
	// maxSeries is the number of series of calls above which new combinations of
	// labels are counted with service and caller "other".
	maxSeries = 1000
	// otherLabel is the label value of names beyond the maximum.
	otherLabel = "other"
)

// Metrics is the metric set of a daemon. It is safe for concurrent use.
type Metrics struct {
	set      *vm.Set
	callers  *nameSet
	services *nameSet
	ranks    *nameSet

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

// New returns an empty Metrics.
func New() *Metrics {
	return &Metrics{
		set:      vm.NewSet(),
		callers:  newNameSet(maxCallers),
		services: newNameSet(maxServices),
		ranks:    newNameSet(maxRanks),
		series:   map[seriesKey]*series{},
	}
}

// ObserveCall counts a call and records its duration. It implements
// gateway.Observer.
func (m *Metrics) ObserveCall(service, caller, rank string, outcome call.Outcome, refusal call.Refusal, took time.Duration) {
	key := seriesKey{m.services.bound(service), m.callers.bound(caller), m.ranks.bound(rank), outcome, refusal}
	s := m.getOrCreate(key)
	s.calls.Inc()
	s.seconds.Update(took.Seconds())
}

// getOrCreate returns the series of a key. If the key is new and there are already
// maxSeries, it returns the series with service and caller otherLabel.
func (m *Metrics) getOrCreate(key seriesKey) *series {
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
		key.service, key.caller = otherLabel, otherLabel
		if s = m.series[key]; s != nil {
			return s
		}
	}
	s = m.register(key)
	m.series[key] = s
	return s
}

// register adds the series of a key to the metric set. The caller holds the lock.
func (m *Metrics) register(key seriesKey) *series {
	labels := fmt.Sprintf(`{service=%s,caller=%s,rank=%s`, labelValue(key.service), labelValue(key.caller), labelValue(key.rank))
	return &series{
		calls: m.set.GetOrCreateCounter("fuchsiavane_calls_total" + labels +
			fmt.Sprintf(`,outcome=%s,refusal=%s}`, labelValue(string(key.outcome)), labelValue(string(key.refusal)))),
		seconds: m.set.GetOrCreateHistogram("fuchsiavane_call_seconds" + labels + "}"),
	}
}

// labelValue quotes a name, which comes from a request, for the Prometheus text
// format. Control characters and invalid UTF-8 become "_".
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

// Counter returns the counter with a name, which includes its labels, and creates
// it if needed.
func (m *Metrics) Counter(name string) *vm.Counter { return m.set.GetOrCreateCounter(name) }

// Gauge registers a gauge whose value is read when the metrics are written.
func (m *Metrics) Gauge(name string, read func() float64) { m.set.GetOrCreateGauge(name, read) }

// Write writes all metrics in the Prometheus text format, including those of the
// process.
func (m *Metrics) Write(w io.Writer) {
	m.set.WritePrometheus(w)
	vm.WriteProcessMetrics(w)
}

// nameSet is a set of at most limit names. It is safe for concurrent use.
type nameSet struct {
	limit int

	mu    sync.RWMutex
	known map[string]struct{}
}

func newNameSet(limit int) *nameSet { return &nameSet{limit: limit, known: map[string]struct{}{}} }

// bound returns the name, or otherLabel if it is new and the set is full.
func (n *nameSet) bound(name string) string {
	n.mu.RLock()
	_, known := n.known[name]
	full := len(n.known) >= n.limit
	n.mu.RUnlock()
	if known {
		return name
	}
	if full {
		return otherLabel
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.known) >= n.limit {
		return otherLabel
	}
	n.known[name] = struct{}{}
	return name
}
