// Command review-rig-2 plays one case of the second independent review: it starts the
// daemon as the deploy file does, with stand-ins for the platform's store, the server and
// its clients, and checks one rule of the users' pages.
//
// It exits with 1 if the rule was broken, 0 if it held and 2 if the case couldn't run.
// With TROUBLE=0 in its environment it leaves out the disruption.
package main

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"fuchsiavane.org/lab/meshsim"
	"fuchsiavane.org/node/freeport"
)

// Figures of the users' pages: the settings file in DEPLOY.md.
const (
	heartbeat = 1500 * time.Millisecond
	drain     = 2500 * time.Millisecond
	contact   = 3 * time.Second
	grace     = 6 * time.Second
)

// Exit statuses.
const (
	held      = 0
	broken    = 1
	couldFail = 2
)

const (
	service      = "desk"
	frontService = "front"
	host         = "h.example"
	program      = "target/fuchsiavaned"
	// limit ends a case that hangs.
	limit = 110 * time.Second
)

// cases are the plays by name.
var cases = map[string]func(*rig) int{
	"slow-download":     slowDownload,
	"foreign-heartbeat": foreignHeartbeat,
	"lost-departure":    lostDeparture,
	"polled-path":       polledPath,
}

func main() {
	name := flag.String("case", "", "name of the case")
	record := flag.String("record", "", "file for the record")
	keep := flag.String("log", "", "file for the log of the daemon; none if empty")
	flag.Parse()
	play, known := cases[*name]
	if !known {
		fmt.Fprintln(os.Stderr, "no such case:", *name)
		os.Exit(couldFail)
	}
	os.Exit(run(play, *record, *keep))
}

// run plays a case in a temporary folder and ends all that it has started.
func run(play func(*rig) int, record, keep string) int {
	out, err := os.Create(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldFail
	}
	defer out.Close()
	folder, err := os.MkdirTemp("", "review-rig-2")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldFail
	}
	defer os.RemoveAll(folder)
	r := &rig{folder: folder, out: out, start: time.Now(), trouble: os.Getenv("TROUBLE") != "0", logPath: keep}
	defer r.stop()
	result := make(chan int, 1)
	go func() {
		defer func() {
			if failure := recover(); failure != nil {
				r.note("the case couldn't run: %v", failure)
				result <- couldFail
			}
		}()
		r.setUp()
		result <- play(r)
	}()
	select {
	case status := <-result:
		r.note("exit status %d", status)
		return status
	case <-time.After(limit):
		r.note("the case took too long")
		return couldFail
	}
}

// rig is the platform: its store and its machines, of which the first is embedded.
type rig struct {
	folder  string
	start   time.Time
	trouble bool
	logPath string

	mu  sync.Mutex
	out *os.File

	store     *meshsim.Store
	storeAddr string
	machines  []*machine
	*machine
}

// machine is a server and the daemon beside it.
type machine struct {
	rig      *rig
	name     string
	service  string
	settings string
	caller   string
	ready    string
	control  string
	server   *server

	mu       sync.Mutex
	daemon   *exec.Cmd
	exited   chan struct{}
	statuses map[string]int // status of the answer to each request, 0 if there was none
}

// note writes a line to the record.
func (r *rig) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

func check(err error) {
	if err != nil {
		panic(err)
	}
}

// setUp starts the store and the first machine, and waits until a request is served.
func (r *rig) setUp() {
	r.note("trouble: %v", r.trouble)
	r.store = meshsim.NewStore()
	store, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	r.storeAddr = store.Addr().String()
	go func() { _ = http.Serve(store, r.store) }()
	check(r.store.Configure([]byte(`{"version":"00000001","routes":[` +
		`{"name":"r0","host":"` + host + `","prefix":"/board/","kind":"safe","timeout":"6000ms","target_latency":"1500ms","priority":1,"service":"` + service + `","max_attempts":2},` +
		`{"name":"r1","host":"` + host + `","prefix":"/read/","kind":"safe","timeout":"6000ms","target_latency":"1500ms","priority":1,"service":"` + service + `","max_attempts":2},` +
		`{"name":"r2","host":"` + host + `","prefix":"/write/","kind":"unsafe","timeout":"6000ms","target_latency":"4000ms","priority":2,"service":"` + service + `","max_attempts":2}],` +
		`"services":[{"name":"` + service + `","health_path":"/healthz","max_connections":424,"protocol":"h1","tls":false},` +
		`{"name":"` + frontService + `","health_path":"/healthz","max_connections":424,"protocol":"h1","tls":false}],` +
		`"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout":"3000ms","idle_timeout":"15000ms"}}`)))
	r.machine = r.addMachine(service)
	r.awaitServing()
}

// addMachine starts a server of a service and the daemon beside it.
func (r *rig) addMachine(service string) *machine {
	addrs, err := freeport.Addrs(5)
	check(err)
	m := &machine{rig: r, name: fmt.Sprintf("sidecar-%d", len(r.machines)+1), service: service, caller: addrs[0], ready: addrs[2], control: addrs[3], statuses: map[string]int{}}
	r.mu.Lock()
	r.machines = append(r.machines, m)
	r.mu.Unlock()
	m.server = newServer(m)
	_, adminPort, _ := net.SplitHostPort(addrs[4])
	m.settings = filepath.Join(r.folder, m.name+".conf")
	check(os.WriteFile(m.settings, []byte(strings.Join([]string{
		"node_name=" + m.name, "role=sidecar", "machine_class=sidecar", "serves=sidecar", "ip=127.0.0.1",
		"zone=south-1", "region=south", "zones.south-1=south",
		"listen_addrs.outbound=" + addrs[0], "listen_addrs.inbound=" + addrs[1], "listen_addrs.ready=" + addrs[2], "listen_addrs.control=" + addrs[3],
		"port_range=" + adminPort + "," + adminPort, "seeds=", "bootstrap=true", "limits.memory_mb=284", "limits.max_fds=4100",
		"heartbeat=1500ms", "bounds.drain=2500ms", "bounds.grace_period=6s", "bounds.contact=3000ms", "bounds.config_apply=2500ms",
		"bounds.retry_budget_ratio=0.2", "bounds.budget_window=10s", "bounds.budget_slack=47",
		"app_addr=" + m.server.addr, "service=" + service,
		"platform.address=" + r.storeAddr, "platform.form=kv", "platform.value_bytes=1048576", "platform.ttl_min=1000ms",
	}, "\n")+"\n"), 0o600))
	m.startDaemon()
	go m.server.heartbeats()
	return m
}

// awaitServing waits until the machine is ready and serves a request.
func (m *machine) awaitServing() {
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(50 * time.Millisecond) {
		if m.isReady() && m.request(http.MethodGet, "/read/first", time.Second) == http.StatusOK {
			return
		}
		if time.Now().After(end) {
			panic("the daemon serves no request")
		}
	}
}

// startDaemon starts the daemon by the command of the deploy file.
func (m *machine) startDaemon() {
	command := exec.Command(program, "beside")
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + m.rig.folder, "FUCHSIAVANE_CONFIG=" + m.settings}
	if m.rig.logPath != "" {
		log, err := os.OpenFile(m.rig.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		check(err)
		command.Stdout, command.Stderr = log, log
	}
	check(command.Start())
	exited := make(chan struct{})
	go func() {
		_ = command.Wait()
		close(exited)
	}()
	m.mu.Lock()
	m.daemon, m.exited = command, exited
	m.mu.Unlock()
	m.rig.note("daemon of %s started", m.name)
}

// signal sends a signal to the daemon.
func (m *machine) signal(s syscall.Signal) {
	m.rig.note("signal %v to the daemon of %s", s, m.name)
	check(m.daemon.Process.Signal(s))
}

// killAndRestart kills the daemon and starts it again after a short delay.
func (m *machine) killAndRestart() {
	m.signal(syscall.SIGKILL)
	<-m.exited
	time.Sleep(500 * time.Millisecond)
	m.startDaemon()
}

// stop ends the daemons that still run.
func (r *rig) stop() {
	r.mu.Lock()
	machines := r.machines
	r.mu.Unlock()
	for _, m := range machines {
		m.mu.Lock()
		daemon, exited := m.daemon, m.exited
		m.mu.Unlock()
		if daemon != nil {
			_ = daemon.Process.Kill()
			<-exited
		}
	}
}

// isReady asks the daemon as the platform does.
func (m *machine) isReady() bool {
	response, err := http.Get("http://" + m.ready + "/api/readyz")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

var lastID atomic.Int64

// request makes one request on a connection of its own and returns the status, 0 if there
// was no complete answer.
func (m *machine) request(method, path string, deadline time.Duration) int {
	id := fmt.Sprintf("%016x", lastID.Add(1))
	status := m.send(id, method, path, deadline)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.statuses[id] = status
	return status
}

// send makes the request with the given id.
func (m *machine) send(id, method, path string, deadline time.Duration) int {
	var body io.Reader
	if method == http.MethodPost {
		body = strings.NewReader("one ruling")
	}
	request, err := http.NewRequest(method, "http://"+m.caller+path, body)
	check(err)
	request.Host, request.Close = host, true
	request.Header.Set("X-Request-Id", id)
	request.Header.Set("X-Request-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	client := http.Client{Timeout: deadline, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	m.rig.note("client sends %s (%s %s)", id, method, path)
	response, err := client.Do(request)
	if err != nil {
		m.rig.note("client gets no answer to %s: %v", id, err)
		return 0
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		m.rig.note("client gets a part of an answer to %s: %v", id, err)
		return 0
	}
	m.rig.note("client gets %d to %s", response.StatusCode, id)
	return response.StatusCode
}

// server is the application server beside a daemon.
type server struct {
	machine *machine
	rig     *rig
	addr    string

	quiet atomic.Bool // sends no more heartbeats
	work  time.Duration
	size  int // of the answer's body in bytes

	mu       sync.Mutex
	id       string
	started  int64
	sequence uint64
	starts   int
	http     *http.Server
	begun    map[string]time.Time
	finished map[string]time.Time
	running  map[string]int // number of runs by path
}

func newServer(m *machine) *server {
	s := &server{
		machine: m, rig: m.rig, addr: "127.0.0.1:0", work: 20 * time.Millisecond, size: 400,
		begun: map[string]time.Time{}, finished: map[string]time.Time{}, running: map[string]int{},
	}
	s.listen()
	return s
}

// listen starts an incarnation of the server.
func (s *server) listen() {
	listener, err := net.Listen("tcp", s.addr)
	check(err)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.addr = listener.Addr().String()
	s.starts++
	s.id = fmt.Sprintf("i-%s-%d", s.machine.name, s.starts)
	s.started = time.Now().UnixMilli()
	s.sequence = 0
	s.http = &http.Server{Handler: s}
	go func() { _ = s.http.Serve(listener) }()
	s.rig.note("server %s started", s.id)
}

// awaitRun waits until the server is in the middle of a run of a path.
func (s *server) awaitRun(path string) {
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		s.mu.Lock()
		running := s.running[path]
		s.mu.Unlock()
		if running > 0 {
			time.Sleep(s.work / 2)
			return
		}
	}
}

// crash ends the server without a word; it is back after a while as a new incarnation.
func (s *server) crash(down time.Duration) {
	s.rig.note("server %s crashes", s.instance())
	s.mu.Lock()
	s.started = 0
	server := s.http
	s.mu.Unlock()
	_ = server.Close()
	time.Sleep(down)
	s.listen()
}

// exit ends the server with the requests at work.
func (s *server) exit() {
	s.rig.note("server %s exits", s.instance())
	_ = s.http.Close()
}

func (s *server) instance() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.id
}

// ServeHTTP runs a request.
func (s *server) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	id := request.Header.Get("X-Request-Id")
	if expected := request.Header.Get("X-Expected-Instance"); expected != "" && expected != s.instance() {
		s.rig.note("server %s answers 421 to %s, which expects %s", s.instance(), id, expected)
		w.Header().Set("X-Instance-Id", s.instance())
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, request.Body); err != nil {
		return
	}
	s.mu.Lock()
	s.begun[id] = time.Now()
	s.running[request.RequestURI]++
	s.mu.Unlock()
	s.rig.note("server runs %s (%s)", id, request.RequestURI)
	time.Sleep(s.work)
	w.Header().Set("X-Request-Id", id)
	w.Header().Set("X-Response-Signature", "signature")
	w.Header().Set("Content-Length", fmt.Sprint(s.size))
	_, err := w.Write(make([]byte, s.size))
	s.mu.Lock()
	s.finished[id] = time.Now()
	s.running[request.RequestURI]--
	s.mu.Unlock()
	s.rig.note("server has written the answer to %s (%d bytes, error: %v)", id, s.size, err)
}

// runsSince returns the requests that the server began to run after a moment.
func (s *server) runsSince(t time.Time) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var ids []string
	for id, at := range s.begun {
		if at.After(t) {
			ids = append(ids, id)
		}
	}
	return ids
}

type object map[string]any

// announcement returns the body of a heartbeat, or nil if the server is down.
func (s *server) announcement(phase string) object {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.started == 0 {
		return nil
	}
	s.sequence++
	return object{
		"address": s.addr, "born": s.started,
		"info":   object{"service": s.machine.service, "version": "v1", "zone": "south-1", "capacity_slots": 54},
		"status": object{"phase": phase, "sequence": s.sequence, "cold_remaining": "0ms"},
	}
}

// heartbeats sends a heartbeat at each interval until the server is quiet.
func (s *server) heartbeats() {
	for !s.quiet.Load() {
		if body := s.announcement("ready"); body != nil {
			s.machine.post(s.instance(), "heartbeat", body)
		}
		time.Sleep(heartbeat)
	}
}

// post calls the daemon's control address and reports whether the call was acknowledged.
func (m *machine) post(id, verb string, body object) bool {
	encoded := []byte{}
	if body != nil {
		encoded, _ = json.Marshal(body)
	}
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Post("http://"+m.control+"/api/instances/"+id+"/"+verb, "application/json", bytes.NewReader(encoded))
	if err != nil {
		m.rig.note("%s of %s %s: %v", verb, id, encoded, err)
		return false
	}
	_ = response.Body.Close()
	m.rig.note("%s of %s %s: %d", verb, id, encoded, response.StatusCode)
	return response.StatusCode/100 == 2
}

// probe sends safe and unsafe requests in turn until a moment. atEnd is called then, before
// the last answers are awaited; it may be nil.
func (r *rig) probe(until time.Time, atEnd func()) {
	var group sync.WaitGroup
	for n := 0; time.Now().Before(until); n++ {
		group.Go(func() {
			if n%2 == 0 {
				r.request(http.MethodGet, fmt.Sprintf("/read/%d", n), 4*time.Second)
			} else {
				r.request(http.MethodPost, fmt.Sprintf("/write/%d", n), 4*time.Second)
			}
		})
		time.Sleep(125 * time.Millisecond)
	}
	if atEnd != nil {
		atEnd()
	}
	group.Wait()
}

// lateRuns returns broken if the server has run requests that began after a moment.
func (r *rig) lateRuns(from time.Time) int {
	late := r.server.runsSince(from)
	r.note("%d requests reached the server later than %.3f, when the rule forbids it: %s", len(late), from.Sub(r.start).Seconds(), strings.Join(late, " "))
	lost := 0
	r.machine.mu.Lock()
	for _, id := range late {
		if r.statuses[id] != http.StatusOK {
			lost++
		}
	}
	r.machine.mu.Unlock()
	r.note("%d of them were lost with the server's exit", lost)
	if len(late) > 0 {
		return broken
	}
	return held
}

// foreignHeartbeat checks DRAIN: after the server has said that it is draining, another
// writer sends a heartbeat with its id that lacks fields.
func foreignHeartbeat(r *rig) int {
	r.server.work = 300 * time.Millisecond
	r.probe(time.Now().Add(2*time.Second), nil)
	r.server.quiet.Store(true)
	time.Sleep(heartbeat)
	if !r.post(r.server.instance(), "heartbeat", r.server.announcement("draining")) {
		panic("the server's leaving is not acknowledged")
	}
	acknowledged := time.Now()
	r.note("acknowledged: the server is draining")
	r.probe(acknowledged.Add(time.Second), nil)
	if r.trouble {
		r.note("another writer's heartbeat, without version, zone and cold_remaining")
		r.post(r.server.instance(), "heartbeat", object{
			"address": r.server.addr, "born": time.Now().UnixMilli(),
			"info":   object{"service": service, "capacity_slots": 54},
			"status": object{"phase": "ready", "sequence": 1},
		})
	}
	r.probe(acknowledged.Add(drain+3*time.Second), r.server.exit)
	return r.lateRuns(acknowledged.Add(drain))
}

// lostDeparture checks DRAIN: the daemon acknowledges the server's leaving while the store
// is away, is killed, and gets a late heartbeat after its restart.
func lostDeparture(r *rig) int {
	r.server.work = 300 * time.Millisecond
	r.probe(time.Now().Add(5*time.Second), nil)
	if r.trouble {
		r.note("the store goes silent")
		r.store.SetFault(meshsim.Silent)
	}
	late := r.server.announcement("ready") // sent now, arrives late
	r.server.quiet.Store(true)
	time.Sleep(heartbeat)
	if !r.post(r.server.instance(), "deregister", nil) {
		panic("the server's leaving is not acknowledged")
	}
	acknowledged := time.Now()
	r.note("acknowledged: the server leaves")
	if r.trouble {
		r.killAndRestart()
	}
	time.Sleep(500 * time.Millisecond)
	r.post(r.server.instance(), "heartbeat", late)
	time.Sleep(time.Until(acknowledged.Add(3 * time.Second)))
	if r.trouble {
		r.note("the store answers again")
		r.store.SetFault(meshsim.Healthy)
	}
	inTouch := time.Now().Add(contact)
	r.probe(inTouch.Add(4*time.Second), r.server.exit)
	return r.lateRuns(inTouch)
}

// slowDownload checks LOST: a client that reads slowly downloads an answer from a daemon
// that is stopped as planned.
func slowDownload(r *rig) int {
	const size = 28 << 20
	r.server.size = size
	stopped := time.Now()
	if r.trouble {
		r.signal(syscall.SIGTERM)
	}
	time.Sleep(200 * time.Millisecond)
	id := fmt.Sprintf("%016x", lastID.Add(1))
	sent := time.Now()
	got, err := r.download(id, size, stopped.Add(5750*time.Millisecond))
	ended := time.Now()
	r.server.mu.Lock()
	finished, done := r.server.finished[id]
	r.server.mu.Unlock()
	r.note("the answer ended %.3f s after the signal, %.3f s after the request was sent, with %d of %d bytes: %v", ended.Sub(stopped).Seconds(), ended.Sub(sent).Seconds(), got, size, err)
	if got == size {
		return held
	}
	atWork := !done || finished.Sub(stopped) >= grace*5/6
	r.note("the server had ended its work %.3f s after the signal (done: %v)", finished.Sub(stopped).Seconds(), done)
	if atWork || ended.Sub(sent) >= 6*time.Second || ended.Sub(stopped) >= grace {
		return held // the rule doesn't count it
	}
	return broken
}

// download reads an answer at an even pace so that it ends at a moment, and returns the
// number of body bytes.
func (r *rig) download(id string, size int, end time.Time) (int, error) {
	dialer := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			// A segment size and window as on a line to a client far away.
			_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, 1400)
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 64<<10)
		})
	}}
	conn, err := dialer.Dial("tcp", r.caller)
	check(err)
	defer conn.Close()
	r.note("client sends %s (GET /read/download)", id)
	_, err = fmt.Fprintf(conn, "GET /read/download HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Request-Deadline-Ms: 6000\r\nConnection: close\r\n\r\n", host, id)
	check(err)
	begin := time.Now()
	total := end.Sub(begin)
	head, got := 0, 0
	buffer := make([]byte, 16<<10)
	var received []byte
	for {
		n, err := conn.Read(buffer)
		if head == 0 {
			received = append(received, buffer[:n]...)
			if at := bytes.Index(received, []byte("\r\n\r\n")); at >= 0 {
				head = at + 4
				r.note("client gets the head: %q", received[:head])
				got = len(received) - head
			}
		} else {
			got += n
		}
		if got >= size {
			return got, nil
		}
		if err != nil {
			return got, err
		}
		time.Sleep(time.Until(begin.Add(time.Duration(float64(total) * float64(got) / float64(size)))))
	}
}

// poll sends safe requests at a rate until a moment and returns how many were sent and
// answered with 200.
func (m *machine) poll(path func(n int) string, perSecond int, until time.Time) (sent, served int) {
	var group sync.WaitGroup
	var answered atomic.Int64
	for ; time.Now().Before(until); sent++ {
		n := sent
		group.Go(func() {
			if m.request(http.MethodGet, path(n), 3*time.Second) == http.StatusOK {
				answered.Add(1)
			}
		})
		time.Sleep(time.Second / time.Duration(perSecond))
	}
	group.Wait()
	return sent, int(answered.Load())
}

// polledPath checks Starved: clients poll one path while a server of four crashes.
func polledPath(r *rig) int {
	servers := []*server{r.server}
	for range 3 {
		servers = append(servers, r.addMachine(service).server)
	}
	front := r.addMachine(frontService)
	for _, m := range r.machines {
		m.awaitServing()
	}
	for _, s := range servers {
		s.work = 220 * time.Millisecond
	}
	r.playPolling(front, "before", 4*time.Second)
	down := make(chan struct{})
	if r.trouble {
		time.AfterFunc(time.Second, func() {
			r.server.awaitRun("/board/now")
			r.server.crash(crashTime)
			close(down)
		})
	} else {
		close(down)
	}
	r.playPolling(front, "around the crash", crashTime+2*time.Second)
	<-down
	r.playPolling(front, "after the crash", 10*time.Second)
	polled, other, all := r.playPolling(front, "at the end", 20*time.Second)
	r.note("at the end: %.3f of the polled, %.3f of the others, %.3f of all", polled, other, all)
	if min(polled, other) < all/4 {
		return broken
	}
	return held
}

const (
	// crashTime is how long a crashed server is down. pollRate and otherRate are the
	// requests of the two kinds in a second.
	crashTime = 5 * time.Second
	pollRate  = 40
	otherRate = 20
)

// playPolling sends requests of two kinds from the clients of a machine, one kind on a
// single path, and returns which part of each and of all requests is served.
func (r *rig) playPolling(front *machine, name string, length time.Duration) (polled, other, all float64) {
	end := time.Now().Add(length)
	var group sync.WaitGroup
	var sent, served [2]int
	group.Go(func() { sent[0], served[0] = front.poll(func(int) string { return "/board/now" }, pollRate, end) })
	group.Go(func() {
		sent[1], served[1] = front.poll(func(n int) string { return fmt.Sprintf("/read/%s/%d", strings.ReplaceAll(name, " ", "-"), n) }, otherRate, end)
	})
	group.Wait()
	r.note("%s: served %d of %d on the polled path, %d of %d others", name, served[0], sent[0], served[1], sent[1])
	part := func(served, sent int) float64 { return float64(served) / float64(sent) }
	return part(served[0], sent[0]), part(served[1], sent[1]), part(served[0]+served[1], sent[0]+sent[1])
}
