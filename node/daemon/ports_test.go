package daemon_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"fuchsiavane.org/node/call"
	"fuchsiavane.org/node/daemon/daemontest"
	"fuchsiavane.org/node/kv/memstore"
)

// startPair starts an entry daemon and a daemon of service "deep" with the given
// upstream, and waits until they know each other.
func startPair(t *testing.T, upstream http.HandlerFunc) (entry, deep *daemontest.Instance) {
	t.Helper()
	store := memstore.New()
	entry = daemontest.Start(t, store, daemontest.Options{ID: "entry", Service: "front", Upstream: http.NotFoundHandler()})
	deep = daemontest.Start(t, store, daemontest.Options{ID: "deep", Service: "deep", Upstream: upstream})
	entry.AwaitPeers(0, "deep")
	deep.AwaitPeers(0, "entry")
	return entry, deep
}

func TestRequestsBeyondTheLimitsAreRefused(t *testing.T) {
	t.Parallel()
	var runs atomic.Int64
	entry, _ := startPair(t, func(http.ResponseWriter, *http.Request) { runs.Add(1) })
	many := make([]string, 0, 2*(call.MaxHeaderFields+1))
	for i := range call.MaxHeaderFields + 1 {
		many = append(many, fmt.Sprint("X-", i), "v")
	}
	for _, c := range []struct {
		name   string
		body   string
		header []string
		status int
	}{
		{"header bytes", "", []string{"X-Large", strings.Repeat("x", call.MaxHeaderBytes)}, http.StatusRequestHeaderFieldsTooLarge},
		{"header fields", "", many, http.StatusRequestHeaderFieldsTooLarge},
		{"body", strings.Repeat("x", call.MaxRequestBody+1), nil, http.StatusRequestEntityTooLarge},
		{"timeout", "", []string{call.HeaderTimeout, "soon"}, http.StatusBadRequest},
		{"key", "", []string{call.HeaderKey, strings.Repeat("k", 200)}, http.StatusBadRequest},
		{"upgrade", "", []string{"Upgrade", "websocket"}, http.StatusBadRequest},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			response := entry.Call(http.MethodPut, "deep", "/", c.body, c.header...)
			is.NoErr(response.Err)
			is.Equal(response.Status, c.status)
			is.Equal(response.Outcome, call.NotRun)
			var problem struct{ Status int }
			is.NoErr(json.Unmarshal(response.Body, &problem))
			is.Equal(problem.Status, c.status)
		})
	}
	is.New(t).Equal(runs.Load(), int64(0))
}

func TestAnswersWithoutBodyPass(t *testing.T) {
	t.Parallel()
	entry, _ := startPair(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/none" {
			w.WriteHeader(http.StatusNoContent)
			return
		}
		w.Header().Set("Content-Length", "300000")
		if r.Method != http.MethodHead {
			_, _ = io.WriteString(w, strings.Repeat("x", 300000))
		}
	})
	is := is.New(t)
	head := entry.Call(http.MethodHead, "deep", "/", "")
	is.NoErr(head.Err)
	is.Equal(head.Status, http.StatusOK)
	is.Equal(head.Header.Get("Content-Length"), "300000")
	none := entry.Call(http.MethodGet, "deep", "/none", "")
	is.Equal(none.Status, http.StatusNoContent)
	whole := entry.Call(http.MethodGet, "deep", "/", "")
	is.Equal(len(whole.Body), 300000)
}

// TestCutAnswerBreaksTheConnection has an upstream that aborts its response, with and
// without a known length. The caller must not get a truncated response as a whole one.
func TestCutAnswerBreaksTheConnection(t *testing.T) {
	t.Parallel()
	entry, _ := startPair(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/known" {
			w.Header().Set("Content-Length", "300000")
		}
		_, _ = io.WriteString(w, strings.Repeat("x", 100000))
		w.(http.Flusher).Flush()
		panic(http.ErrAbortHandler)
	})
	for _, path := range []string{"/known", "/chunked"} {
		is := is.New(t)
		response := entry.Call(http.MethodGet, "deep", path, "")
		is.True(response.Err != nil)
	}
}

func TestCallerThatLeavesCancelsTheUpstream(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	started, ended := make(chan struct{}, 1), make(chan struct{}, 1)
	entry, _ := startPair(t, func(_ http.ResponseWriter, r *http.Request) {
		started <- struct{}{}
		<-r.Context().Done()
		ended <- struct{}{}
	})
	ctx, cancel := context.WithCancel(context.Background())
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+entry.Config.CallerListen+"/", nil)
	is.NoErr(err)
	request.Host = "deep"
	go func() {
		<-started
		cancel()
	}()
	_, err = http.DefaultClient.Do(request)
	is.True(err != nil)
	<-ended
}

func TestDeadlineCancelsTheUpstream(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	ended := make(chan struct{}, 1)
	entry, _ := startPair(t, func(_ http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
		ended <- struct{}{}
	})
	response := entry.Call(http.MethodGet, "deep", "/", "", call.HeaderTimeout, "300")
	is.NoErr(response.Err)
	is.Equal(response.Status, http.StatusGatewayTimeout)
	is.Equal(response.Outcome, call.Unknown)
	<-ended
}

// TestMalformedInputLeavesTheDaemonServing sends bytes that are not HTTP, and HTTP
// that is not a valid link or request, to every port.
func TestMalformedInputLeavesTheDaemonServing(t *testing.T) {
	t.Parallel()
	entry, _ := startPair(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "fine") })
	is := is.New(t)
	for _, addr := range []string{
		entry.Config.CallerListen, entry.Config.LocalListen, entry.Config.PeerListen, entry.Config.AdminListen,
	} {
		for _, input := range []string{
			"\x00\x01\x02\r\n\r\n",
			"GET / HTTP/9.9\r\n\r\n",
			"GET /link HTTP/1.1\r\nHost: x\r\nUpgrade: websocket\r\nConnection: Upgrade\r\nSec-WebSocket-Version: 13\r\nSec-WebSocket-Key: AAAAAAAAAAAAAAAAAAAAAA==\r\n\r\n\xff\xff\xff\xff",
			"POST / HTTP/1.1\r\nHost: deep\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
			"GET / HTTP/1.1\r\nHost: deep\r\nFuchsiavane-Context: \xfe;;;\r\nConnection: close\r\n\r\n",
		} {
			is.NoErr(send(addr, input))
		}
	}
	response := entry.Call(http.MethodGet, "deep", "/", "")
	is.Equal(string(response.Body), "fine")
}

// send writes bytes to a port and closes the connection after the first byte of a
// response or 200 ms.
func send(addr, input string) error {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return err
	}
	defer conn.Close()
	if _, err := io.WriteString(conn, input); err != nil {
		return err
	}
	_ = conn.SetReadDeadline(time.Now().Add(200 * time.Millisecond))
	_, _ = bufio.NewReader(conn).ReadByte()
	return nil
}

// TestPlannedStopCutsNothing drains the daemon of one upstream, and then the entry
// daemon, while callers send requests continuously over persistent connections.
func TestPlannedStopCutsNothing(t *testing.T) {
	t.Parallel()
	work := func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(20 * time.Millisecond)
		_, _ = io.WriteString(w, "whole")
	}
	store := memstore.New()
	entry := daemontest.Start(t, store, daemontest.Options{ID: "entry", Service: "front", Upstream: http.NotFoundHandler()})
	other := daemontest.Start(t, store, daemontest.Options{ID: "other", Service: "front", Upstream: http.NotFoundHandler()})
	leaving := daemontest.Start(t, store, daemontest.Options{ID: "deep-0", Service: "deep", Upstream: http.HandlerFunc(work)})
	daemontest.Start(t, store, daemontest.Options{ID: "deep-1", Service: "deep", Upstream: http.HandlerFunc(work)})
	entry.AwaitPeers(0, "deep-0", "deep-1")
	other.AwaitPeers(0, "deep-0", "deep-1")
	f := newFlood(entry, other)
	f.await(t, 200)
	leaving.Stop()
	f.await(t, 200)
	f.switchOver.Store(true)
	entry.Stop()
	f.await(t, 200)
	is := is.New(t)
	is.Equal(f.finish(), nil)
}

// flood sends requests continuously. A caller switches to the other entry daemon when
// its own closes the connection after a response or refuses new connections.
type flood struct {
	switchOver atomic.Bool // set when the entry daemon drains
	stop       atomic.Bool
	group      sync.WaitGroup
	succeeded  atomic.Int64

	mu       sync.Mutex
	failures []string
}

const floodCallers = 8

func newFlood(entry, other *daemontest.Instance) *flood {
	f := &flood{}
	for range floodCallers {
		f.group.Go(func() { f.caller(entry, other) })
	}
	return f
}

func (f *flood) caller(entry, other *daemontest.Instance) {
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	addr := entry.Config.CallerListen
	for !f.stop.Load() {
		body, closing, err := callOnce(client, addr)
		switch {
		case err == nil && body == "whole":
			f.succeeded.Add(1)
		case err != nil && f.switchOver.Load() && isConnectionRefused(err):
			addr = other.Config.CallerListen // nothing was sent
		default:
			f.mu.Lock()
			f.failures = append(f.failures, fmt.Sprint(body, err))
			f.mu.Unlock()
		}
		if closing {
			addr = other.Config.CallerListen
		}
	}
}

func isConnectionRefused(err error) bool { return strings.Contains(err.Error(), "connection refused") }

func callOnce(client *http.Client, addr string) (body string, closing bool, err error) {
	// The body can be read only once, so that http.Client never resends.
	request, err := http.NewRequest(http.MethodPut, "http://"+addr+"/", io.MultiReader(strings.NewReader("in")))
	if err != nil {
		return "", false, err
	}
	request.Host = "deep"
	response, err := client.Do(request)
	if err != nil {
		return "", false, err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return string(text), response.Close, err
}

// await waits until more requests have succeeded.
func (f *flood) await(t *testing.T, more int64) {
	t.Helper()
	target := f.succeeded.Load() + more
	for deadline := time.Now().Add(20 * time.Second); f.succeeded.Load() < target; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%d requests succeeded, want %d", f.succeeded.Load(), target)
		}
	}
}

// finish stops the callers and returns an error if any request failed.
func (f *flood) finish() error {
	f.stop.Store(true)
	f.group.Wait()
	if len(f.failures) > 0 {
		return fmt.Errorf("%d requests failed, the first with: %s", len(f.failures), f.failures[0])
	}
	return nil
}
