package scenario

import (
	"fmt"
	"io"
	"net/http"
	"regexp"
	"strings"
	"syscall"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// pollInterval is the time between two polls of a condition.
const pollInterval = 20 * time.Millisecond

// maxPrintedBytes bounds the bytes of a body that the call command prints.
const maxPrintedBytes = 1000

// commands are the commands that scripts have besides testscript's own.
var commands = map[string]func(ts *testscript.TestScript, neg bool, args []string){
	"platform": startPlatform,
	"fault":    setFault,
	"instance": startInstance,
	"call":     makeCall,
	"flood":    flood,
	"begin":    beginFlood,
	"end":      endFlood,
	"signal":   sendSignal,
	"finished": waitFinished,
	"expect":   expect,
	"log":      matchLog,
	"audit":    audit,
	"runs":     checkRunCount,
	"exits":    checkExitStatus,
	"race":     runConcurrently,
	"parallel": callInParallel,
	"send":     sendBytes,
}

func startPlatform(ts *testscript.TestScript, _ bool, _ []string) {
	addr := strings.TrimPrefix(ts.Getenv("platform"), "http://") // the same address after a restart
	if addr == "" {
		addr = freeAddrs(ts, 1)[0]
	}
	p := stateOf(ts).start(ts, "platform", "platform", "-listen", addr)
	ts.Setenv("platform", "http://"+addr)
	ts.Setenv("FUCHSIAVANE_PLATFORM", "http://"+addr)
	awaitStart(ts, p, "http://"+addr+"/v1/stats", regexp.MustCompile("reads"))
}

func setFault(ts *testscript.TestScript, _ bool, args []string) {
	response, err := http.Post(ts.Getenv("platform")+"/fault", "application/json", strings.NewReader(args[0]))
	ts.Check(err)
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		ts.Fatalf("fault: status %d", response.StatusCode)
	}
}

func startInstance(ts *testscript.TestScript, _ bool, args []string) {
	if len(args) < 2 {
		ts.Fatalf("usage: instance NAME SERVICE [flags]")
	}
	name, service := args[0], args[1]
	flags, daemonFlags := parseFlags(ts, args[2:])
	flagOr := func(flag, value string) string {
		if v, ok := flags[flag]; ok {
			return v
		}
		return value
	}
	addrs := freeAddrs(ts, 5)
	state := stateOf(ts)
	upstream := state.start(ts, name+".upstream", "upstream", "-listen", addrs[4], "-local", "http://"+addrs[1],
		"-work", flagOr("work", "0s"), "-next", flagOr("next", ""))
	daemon := state.start(ts, name, "fuchsiavaned", append([]string{
		"-instance-id", name, "-service", service,
		"-region", flagOr("region", "south"), "-data-centre", flagOr("dc", "south-1"),
		"-caller-listen", addrs[0], "-local-listen", addrs[1], "-peer-listen", addrs[2], "-admin-listen", addrs[3],
		"-upstream", "http://" + addrs[4], "-platform", ts.Getenv("platform"),
	}, daemonFlags...)...)
	for i, port := range []string{"caller", "local", "", "admin", "upstream"} {
		ts.Setenv(name+"_"+port, "http://"+addrs[i])
	}
	ts.Setenv(name+"_peer", addrs[2])
	awaitStart(ts, daemon, "http://"+addrs[3]+"/readyz", regexp.MustCompile("^ready"))
	awaitStart(ts, upstream, "http://"+addrs[4]+"/runs", regexp.MustCompile(`^(null|\[)`))
}

// awaitStart polls a URL of a process until its body matches. It fails with the
// output of the process if the process exits before or startTimeout passes.
func awaitStart(ts *testscript.TestScript, p *process, url string, pattern *regexp.Regexp) {
	var body string
	for deadline := time.Now().Add(startTimeout); time.Now().Before(deadline); time.Sleep(pollInterval) {
		select {
		case <-p.done:
			ts.Fatalf("%s exited: %v\n%s", p.cmd.Path, p.err, p.output)
		default:
		}
		if body = getBody(url); pattern.MatchString(body) {
			return
		}
	}
	ts.Fatalf("%s: %s did not match %v within %v: %s\n%s", p.cmd.Path, url, pattern, startTimeout, body, p.output)
}

// newRequest returns a request for the arguments NAME SERVICE PATH, with flags
// and headers.
func newRequest(ts *testscript.TestScript, args []string, flags map[string]string, headers []string) *http.Request {
	method := flags["method"]
	if method == "" {
		method = http.MethodGet
	}
	request, err := http.NewRequest(method, ts.Getenv(args[0]+"_caller")+args[2], strings.NewReader(flags["body"]))
	ts.Check(err)
	request.Host = args[1]
	for _, header := range headers {
		name, value, _ := strings.Cut(header, "=")
		request.Header.Set(name, value)
	}
	return request
}

func makeCall(ts *testscript.TestScript, neg bool, args []string) {
	if len(args) < 3 {
		ts.Fatalf("usage: call NAME SERVICE PATH [flags] [HEADER=VALUE ...]")
	}
	flags, headers := parseFlags(ts, args[3:])
	response, err := http.DefaultClient.Do(newRequest(ts, args, flags, headers))
	ts.Check(err)
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	fmt.Fprintf(ts.Stdout(), "status %d\n", response.StatusCode)
	_ = response.Header.Write(ts.Stdout())
	fmt.Fprintf(ts.Stdout(), "\n%s\nbody of %d bytes\n", body[:min(len(body), maxPrintedBytes)], len(body))
	ok := err == nil && response.StatusCode < 300
	if ok == neg {
		ts.Fatalf("call: status %d, body error %v", response.StatusCode, err)
	}
}

var signals = map[string]syscall.Signal{
	"TERM": syscall.SIGTERM, "KILL": syscall.SIGKILL, "STOP": syscall.SIGSTOP, "CONT": syscall.SIGCONT,
}

func sendSignal(ts *testscript.TestScript, _ bool, args []string) {
	p := stateOf(ts).process(ts, args[0])
	ts.Check(p.cmd.Process.Signal(signals[args[1]]))
	if args[1] == "KILL" {
		<-p.done
	}
}

func waitFinished(ts *testscript.TestScript, _ bool, args []string) {
	timeout, err := time.ParseDuration(args[1])
	ts.Check(err)
	p := stateOf(ts).process(ts, args[0])
	select {
	case <-p.done:
		ts.Check(p.err)
	case <-time.After(timeout):
		ts.Fatalf("%s has not exited within %v", args[0], timeout)
	}
}

func expect(ts *testscript.TestScript, _ bool, args []string) {
	timeout, err := time.ParseDuration(args[0])
	ts.Check(err)
	pattern, err := regexp.Compile("(?m)" + args[2])
	ts.Check(err)
	await(ts, timeout, args[1], pattern)
}

// await polls a URL until its body matches, and fails after a timeout.
func await(ts *testscript.TestScript, timeout time.Duration, url string, pattern *regexp.Regexp) {
	deadline := time.Now().Add(timeout)
	var body string
	for time.Now().Before(deadline) {
		body = getBody(url)
		if pattern.MatchString(body) {
			return
		}
		time.Sleep(pollInterval)
	}
	ts.Fatalf("%s did not match %v within %v:\n%s", url, pattern, timeout, body)
}

func getBody(url string) string {
	response, err := http.Get(url)
	if err != nil {
		return err.Error()
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return err.Error()
	}
	return string(body)
}

// logTimeout bounds the wait for a log line.
const logTimeout = 5 * time.Second

func matchLog(ts *testscript.TestScript, neg bool, args []string) {
	p := stateOf(ts).process(ts, args[0])
	pattern := regexp.MustCompile(args[1])
	deadline := time.Now().Add(logTimeout)
	for !neg && !pattern.MatchString(p.output.String()) && time.Now().Before(deadline) {
		time.Sleep(pollInterval)
	}
	if output := p.output.String(); pattern.MatchString(output) == neg {
		ts.Fatalf("log of %s (match wanted: %v) %q:\n%s", args[0], !neg, args[1], output)
	}
}
