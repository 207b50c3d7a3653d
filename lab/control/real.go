package control

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os/exec"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/dghubble/sling"
	"github.com/pkg/errors"

	"fuchsiavane.org/lab/platformsim"
	"fuchsiavane.org/node/admin"
	"fuchsiavane.org/node/edit"
	"fuchsiavane.org/node/freeport"
	"fuchsiavane.org/node/kv"
	"fuchsiavane.org/node/kv/memstore"
)

const (
	// realStabilizationTime is the wait from the start of real daemons to the measurement.
	realStabilizationTime = 30 * time.Second
	// realTime is the duration of the measurement of real daemons.
	realTime = 30 * time.Second
	// editCount is the number of edits whose propagation is measured, and
	// propagationLimit the maximum time of each.
	editCount        = 10
	propagationLimit = 6 * time.Second
	// revisionPollInterval is the interval between reads of a daemon's revision.
	revisionPollInterval = 2 * time.Millisecond
)

// RealCost is the cost of an idle real daemon, with all its background work.
type RealCost struct {
	Daemons int
	// BytesPerSecond and MessagesPerSecond are the membership traffic of one daemon,
	// sent and received.
	BytesPerSecond, MessagesPerSecond float64
	// Core is the fraction of a processor core that the process uses.
	Core float64
	// ResidentBytes is the resident memory of the process.
	ResidentBytes float64
	// StoreCallsPerSecond is the rate of store calls of all daemons together; a waiting
	// watch counts as one call.
	StoreCallsPerSecond float64
	// PropagationTimes holds, for each of several successive edits, the time from its
	// acceptance until it is in force at every daemon.
	PropagationTimes []time.Duration
	// PropagationCalls is the mean number of store calls that an edit causes, without
	// those of the editor.
	PropagationCalls float64
}

// MeasureReal starts n daemons from a binary, in two data centres, and measures them.
func MeasureReal(binary string, n int) (RealCost, error) {
	data := memstore.New()
	sim := platformsim.New(data)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return RealCost{}, errors.WithStack(err)
	}
	store := &http.Server{Handler: sim, ReadHeaderTimeout: time.Second}
	go func() { _ = store.Serve(listener) }()
	defer store.Close()
	daemons := &processes{}
	defer daemons.stop()
	for i := range n {
		if err := daemons.start(binary, i, "http://"+listener.Addr().String()); err != nil {
			return RealCost{}, err
		}
	}
	time.Sleep(realStabilizationTime)
	r, err := daemons.measure(sim)
	if err != nil {
		return r, err
	}
	return r, daemons.measurePropagation(&r, sim, data)
}

// measurePropagation makes edits directly in the store, so that only the store calls
// of the daemons are counted.
func (p *processes) measurePropagation(r *RealCost, sim *platformsim.Server, store kv.Store) error {
	before := sim.Stats()
	for i := range editCount {
		document := fmt.Sprintf(`{"settings": {"slots": %d}}`, i+1)
		head, err := edit.Apply(context.Background(), store, []byte(document), "control", nil)
		if err != nil {
			return err
		}
		start := time.Now()
		for _, admin := range p.admins {
			if err := awaitRevision(admin, head.Revision, start.Add(propagationLimit)); err != nil {
				return err
			}
		}
		r.PropagationTimes = append(r.PropagationTimes, time.Since(start))
	}
	after := sim.Stats()
	r.PropagationCalls = float64(after.Reads+after.Watches-before.Reads-before.Watches) / editCount
	return nil
}

// awaitRevision waits until a revision is in force at a daemon.
func awaitRevision(addr string, revision uint64, end time.Time) error {
	for time.Now().Before(end) {
		var status admin.Status
		if _, err := sling.New().Get("http://" + addr + "/status").ReceiveSuccess(&status); err == nil && status.SettingsRevision >= revision {
			return nil
		}
		time.Sleep(revisionPollInterval)
	}
	return errors.Errorf("the daemon at %s did not reach revision %d within %v", addr, revision, propagationLimit)
}

// processes holds the started daemons and their admin addresses.
type processes struct {
	commands []*exec.Cmd
	admins   []string
}

func (p *processes) start(binary string, i int, platform string) error {
	addrs, err := freeport.Addrs(4)
	if err != nil {
		return err
	}
	region := []string{"south", "north"}[i%2]
	command := exec.Command(binary,
		"-instance-id", fmt.Sprintf("i%02d", i), "-service", fmt.Sprintf("service-%d", i%4),
		"-region", region, "-data-centre", region+"-1", "-link-key", "measured",
		"-caller-listen", addrs[0], "-local-listen", addrs[1], "-peer-listen", addrs[2], "-admin-listen", addrs[3],
		"-upstream", "http://127.0.0.1:9", "-platform", platform, "-log-level", "error")
	if err := command.Start(); err != nil {
		return errors.WithStack(err)
	}
	p.commands = append(p.commands, command)
	p.admins = append(p.admins, addrs[3])
	return nil
}

// stop kills the daemons; their drain is not measured.
func (p *processes) stop() {
	for _, command := range p.commands {
		_ = command.Process.Signal(syscall.SIGKILL)
	}
	for _, command := range p.commands {
		_ = command.Wait()
	}
}

// measure measures the daemons for realTime.
func (p *processes) measure(sim *platformsim.Server) (RealCost, error) {
	before, err := p.sumMetrics()
	if err != nil {
		return RealCost{}, err
	}
	callsBefore := sim.Stats()
	start := time.Now()
	time.Sleep(realTime)
	after, err := p.sumMetrics()
	if err != nil {
		return RealCost{}, err
	}
	seconds, n := time.Since(start).Seconds(), float64(len(p.admins))
	callsAfter := sim.Stats()
	perDaemon := func(name string) float64 { return (after[name] - before[name]) / seconds / n }
	return RealCost{
		Daemons:             len(p.admins),
		BytesPerSecond:      perDaemon("fuchsiavane_member_sent_bytes_total") + perDaemon("fuchsiavane_member_received_bytes_total"),
		MessagesPerSecond:   perDaemon("fuchsiavane_member_sent_total") + perDaemon("fuchsiavane_member_received_total"),
		Core:                perDaemon("process_cpu_seconds_total"),
		ResidentBytes:       after["process_resident_memory_bytes"] / n,
		StoreCallsPerSecond: float64(callsAfter.Reads+callsAfter.Writes+callsAfter.Watches-callsBefore.Reads-callsBefore.Writes-callsBefore.Watches) / seconds,
	}, nil
}

// sumMetrics adds up the metrics of all daemons by name.
func (p *processes) sumMetrics() (map[string]float64, error) {
	sums := map[string]float64{}
	for _, admin := range p.admins {
		response, err := http.Get("http://" + admin + "/metrics")
		if err != nil {
			return nil, errors.Wrap(err, "metrics")
		}
		addMetrics(sums, response.Body)
		_ = response.Body.Close()
	}
	return sums, nil
}

// addMetrics adds the values of one metrics page to sums.
func addMetrics(sums map[string]float64, body io.Reader) {
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		name, value, found := strings.Cut(lines.Text(), " ")
		number, err := strconv.ParseFloat(value, 64)
		if found && err == nil {
			sums[name] += number
		}
	}
}
