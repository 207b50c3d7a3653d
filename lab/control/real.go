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
	// realSettle is given to real daemons before they are measured.
	realSettle = 30 * time.Second
	// realTime is how long they are measured.
	realTime = 30 * time.Second
	// edits is the number of edits whose spread is measured, and spreadBound
	// the stated bound for each.
	edits       = 10
	spreadBound = 6 * time.Second
	// pollTime is the pause between looks at a daemon's revision.
	pollTime = 2 * time.Millisecond
)

// Real is what an idle real daemon costs, all its duties included.
type RealCost struct {
	Daemons int
	// BytesPerSecond is sent and received by membership.
	BytesPerSecond, MessagesPerSecond float64
	// Core is the part of a processor core of the whole process.
	Core float64
	// ResidentBytes is the memory of the whole process.
	ResidentBytes float64
	// StoreCallsPerSecond is of all daemons together, a waiting watch as one.
	StoreCallsPerSecond float64
	// Spread has, for each of some edits one after the other, the time from the
	// accepted edit until every daemon has it in force.
	PropagationTimes []time.Duration
	// SpreadCalls is the store calls that one edit costs, beside the edit's own.
	PropagationCalls float64
}

// MeasureReal runs daemons of a binary in two data centres and measures them.
func MeasureReal(binary string, n int) (RealCost, error) {
	kept := memstore.New()
	sim := platformsim.New(kept)
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
	time.Sleep(realSettle)
	r, err := daemons.measure(sim)
	if err != nil {
		return r, err
	}
	return r, daemons.measureSpread(&r, sim, kept)
}

// measureSpread makes edits directly in the store, so that only what the daemons
// ask is counted.
func (p *processes) measureSpread(r *RealCost, sim *platformsim.Server, store kv.Store) error {
	before := sim.Stats()
	for i := range edits {
		document := fmt.Sprintf(`{"settings": {"slots": %d}}`, i+1)
		head, err := edit.Apply(context.Background(), store, []byte(document), "control", nil)
		if err != nil {
			return err
		}
		start := time.Now()
		for _, admin := range p.admins {
			if err := awaitRevision(admin, head.Revision, start.Add(spreadBound)); err != nil {
				return err
			}
		}
		r.PropagationTimes = append(r.PropagationTimes, time.Since(start))
	}
	after := sim.Stats()
	r.PropagationCalls = float64(after.Reads+after.Watches-before.Reads-before.Watches) / edits
	return nil
}

func awaitRevision(addr string, revision uint64, end time.Time) error {
	for time.Now().Before(end) {
		var status admin.Status
		if _, err := sling.New().Get("http://" + addr + "/status").ReceiveSuccess(&status); err == nil && status.SettingsRevision >= revision {
			return nil
		}
		time.Sleep(pollTime)
	}
	return errors.Errorf("the daemon at %s did not get revision %d within %v", addr, revision, spreadBound)
}

// processes are the daemons started, with their admin addresses.
type processes struct {
	commands []*exec.Cmd
	admins   []string
}

func (p *processes) start(binary string, i int, platform string) error {
	addrs, err := freeport.Addrs(4)
	if err != nil {
		return err
	}
	place := []string{"south", "north"}[i%2]
	command := exec.Command(binary,
		"-instance-id", fmt.Sprintf("i%02d", i), "-service", fmt.Sprintf("service-%d", i%4),
		"-region", place, "-data-centre", place+"-1", "-link-key", "measured",
		"-caller-listen", addrs[0], "-local-listen", addrs[1], "-peer-listen", addrs[2], "-admin-listen", addrs[3],
		"-upstream", "http://127.0.0.1:9", "-platform", platform, "-log-level", "error")
	if err := command.Start(); err != nil {
		return errors.WithStack(err)
	}
	p.commands = append(p.commands, command)
	p.admins = append(p.admins, addrs[3])
	return nil
}

// stop ends the daemons at once: their planned stop is not measured.
func (p *processes) stop() {
	for _, command := range p.commands {
		_ = command.Process.Signal(syscall.SIGKILL)
	}
	for _, command := range p.commands {
		_ = command.Wait()
	}
}

func (p *processes) measure(sim *platformsim.Server) (RealCost, error) {
	before, err := p.sum()
	if err != nil {
		return RealCost{}, err
	}
	calls := sim.Stats()
	start := time.Now()
	time.Sleep(realTime)
	after, err := p.sum()
	if err != nil {
		return RealCost{}, err
	}
	seconds, n := time.Since(start).Seconds(), float64(len(p.admins))
	now := sim.Stats()
	per := func(name string) float64 { return (after[name] - before[name]) / seconds / n }
	return RealCost{
		Daemons:             len(p.admins),
		BytesPerSecond:      per("fuchsiavane_member_sent_bytes_total") + per("fuchsiavane_member_received_bytes_total"),
		MessagesPerSecond:   per("fuchsiavane_member_sent_total") + per("fuchsiavane_member_received_total"),
		Core:                per("process_cpu_seconds_total"),
		ResidentBytes:       after["process_resident_memory_bytes"] / n,
		StoreCallsPerSecond: float64(now.Reads+now.Writes+now.Watches-calls.Reads-calls.Writes-calls.Watches) / seconds,
	}, nil
}

// sum adds up the metrics of all daemons by name.
func (p *processes) sum() (map[string]float64, error) {
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
