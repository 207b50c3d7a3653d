package bench

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"fuchsiavane.org/node/edit"
	"fuchsiavane.org/node/freeport"
	"fuchsiavane.org/node/kv/client"
)

const (
	// entryService and upstreamService are the services of the two daemons.
	entryService    = "entry"
	upstreamService = "bench"
	// bulkRank is the least urgent rank, whose calls use separate links.
	bulkRank = "bulk"
	// settingsDocument holds the settings in force during the measurement.
	settingsDocument = `{
		"settings": {"timeout_ms": 10000, "attempts": 2, "rank": "lookup", "slots": 200},
		"ranks": [{"name": "lookup", "share": 0.3}, {"name": "bulk", "share": 0.05}]
	}`
	// startTimeout is the maximum time for the store to take the settings, and again for
	// the daemons to see each other.
	startTimeout = 20 * time.Second
	// idleTime is the wait before the memory of idle daemons is read.
	idleTime = 2 * time.Second
)

// programs are the packages of the programs that the measurement runs.
var programs = []string{
	"fuchsiavane.org/cmd/fuchsiavaned",
	"fuchsiavane.org/lab/cmd/platform",
	"fuchsiavane.org/lab/cmd/upstream",
}

// system holds the processes of a measurement.
type system struct {
	dir       string
	daemonEnv []string
	log       io.Writer
	processes []*exec.Cmd
	entry     string // base URL of the entry daemon's caller port
	upstream  string // base URL of the upstream
	admins    []string
}

// start builds and starts the processes, and waits until the daemons see each other.
func start(ctx context.Context, daemonEnv []string, log io.Writer) (*system, error) {
	dir, err := os.MkdirTemp("", "fuchsiavane-bench")
	if err != nil {
		return nil, errors.Wrap(err, "bench")
	}
	s := &system{dir: dir, daemonEnv: daemonEnv, log: log}
	if err := s.launch(ctx); err != nil {
		s.stop()
		return nil, err
	}
	return s, nil
}

// launch builds and starts the processes in the folder of s.
func (s *system) launch(ctx context.Context) error {
	build := exec.CommandContext(ctx, "go", append([]string{"build", "-o", s.dir + "/"}, programs...)...)
	build.Stderr = s.log
	if err := build.Run(); err != nil {
		return errors.Wrap(err, "build")
	}
	addrs, err := freeport.Addrs(10)
	if err != nil {
		return err
	}
	platform, upstream := addrs[0], addrs[1]
	s.upstream = "http://" + upstream
	s.entry = "http://" + addrs[2]
	if err := s.startProcess("platform", nil, "-listen", platform); err != nil {
		return err
	}
	if err := applySettings(ctx, "http://"+platform); err != nil {
		return err
	}
	if err := s.startProcess("upstream", nil, "-listen", upstream); err != nil {
		return err
	}
	if err := s.startDaemon(entryService, "http://"+platform, addrs[2:6]); err != nil {
		return err
	}
	if err := s.startDaemon(upstreamService, "http://"+platform, addrs[6:10]); err != nil {
		return err
	}
	return s.awaitReady(ctx)
}

// applySettings writes the settings to the store as soon as the store responds.
func applySettings(ctx context.Context, platform string) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	store, err := client.New(platform)
	if err != nil {
		return err
	}
	for {
		if _, err = edit.Apply(ctx, store, []byte(settingsDocument), "bench", nil); err == nil || ctx.Err() != nil {
			return err
		}
		time.Sleep(50 * time.Millisecond)
	}
}

func (s *system) startDaemon(service, platform string, addrs []string) error {
	s.admins = append(s.admins, "http://"+addrs[3])
	return s.startProcess("fuchsiavaned", s.daemonEnv, "-instance-id", service+"-0", "-service", service,
		"-region", "south", "-data-centre", "south-1", "-log-level", "warn",
		"-caller-listen", addrs[0], "-local-listen", addrs[1], "-peer-listen", addrs[2], "-admin-listen", addrs[3],
		"-upstream", s.upstream, "-platform", platform)
}

func (s *system) startProcess(program string, env []string, args ...string) error {
	cmd := exec.Command(filepath.Join(s.dir, program), args...)
	cmd.Env = append(os.Environ(), env...)
	cmd.Stdout, cmd.Stderr = s.log, s.log
	if err := cmd.Start(); err != nil {
		return errors.Wrap(err, program)
	}
	s.processes = append(s.processes, cmd)
	return nil
}

// awaitReady waits until both daemons see each other. It makes no call, so that the
// memory of idle daemons can be read.
func (s *system) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for !s.peersVisible() {
		select {
		case <-ctx.Done():
			return errors.Errorf("the daemons did not see each other within %v", startTimeout)
		case <-time.After(50 * time.Millisecond):
		}
	}
	time.Sleep(idleTime)
	return nil
}

// peersVisible reports whether the status of each daemon names both instances.
func (s *system) peersVisible() bool {
	for _, admin := range s.admins {
		status, err := fetch(admin + "/status")
		if err != nil || !strings.Contains(status, upstreamService+"-0") || !strings.Contains(status, entryService+"-0") {
			return false
		}
	}
	return true
}

// stop kills the processes and removes their folder.
func (s *system) stop() {
	for _, cmd := range slices.Backward(s.processes) {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	}
	_ = os.RemoveAll(s.dir)
}

// usage is the resource usage of the two daemons since their start.
type usage struct {
	cpu      float64 // seconds
	mallocs  float64 // number of heap allocations
	resident float64 // bytes of the larger daemon
}

// usage reads the resource usage from the metrics of the daemons.
func (s *system) usage() (usage, error) {
	var total usage
	for _, admin := range s.admins {
		text, err := fetch(admin + "/metrics")
		if err != nil {
			return usage{}, err
		}
		total.cpu += metricValue(text, "process_cpu_seconds_total")
		total.mallocs += metricValue(text, "go_memstats_mallocs_total")
		total.resident = max(total.resident, metricValue(text, "process_resident_memory_bytes"))
	}
	return total, nil
}

// metricValue returns the value of a metric without labels, 0 if it is missing.
func metricValue(text, name string) float64 {
	lines := bufio.NewScanner(strings.NewReader(text))
	for lines.Scan() {
		if rest, ok := strings.CutPrefix(lines.Text(), name+" "); ok {
			v, _ := strconv.ParseFloat(rest, 64)
			return v
		}
	}
	return 0
}

func fetch(url string) (string, error) {
	response, err := http.Get(url)
	if err != nil {
		return "", errors.Wrap(err, "bench")
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return "", errors.Wrap(err, "bench")
	}
	if response.StatusCode != http.StatusOK {
		return "", fmt.Errorf("%s: status %d", url, response.StatusCode)
	}
	return string(text), nil
}
