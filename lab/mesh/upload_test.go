package mesh

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// startSmall starts an instance whose machine has little memory: 8 MB hold request
// bodies, 6 MB of them large ones.
func (f *fleet) startSmall(service string) *instance {
	f.t.Helper()
	i := f.start(service, "south-1")
	i.stop()
	<-i.done
	i.settings.MemoryMB = 64
	i.run()
	return i
}

// openUpload sends the head of an upload and a part of its body.
func openUpload(t *testing.T, entry *instance, id string, length, sent int) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", entry.settings.CallerListen.String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_, err = fmt.Fprintf(conn, "POST /upload/1 HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: %s\r\nX-Request-Deadline-Ms: 20000\r\nContent-Length: %d\r\n\r\n%s", id, length, strings.Repeat("x", sent))
	if err != nil {
		t.Fatal(err)
	}
	return conn
}

// readStatus reads the response of an upload and returns its status.
func readStatus(t *testing.T, conn net.Conn) int {
	t.Helper()
	_ = conn.SetReadDeadline(time.Now().Add(waitTimeout))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	return response.StatusCode
}

// TestUploadsThatDoNotFitAreRefused plays a burst of uploads at a daemon with little
// memory. Those that don't fit are refused before their body is sent, and have not run;
// small requests still fit, and all are served once there is room.
func TestUploadsThatDoNotFitAreRefused(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	f.configure(1, route("/upload/", "upload", "desk", 1), route("/x/", "unsafe", "desk", 0))
	entry, desk := f.startSmall("registry"), f.start("desk", "south-1")
	entry.await("ready", "/x/1", status(http.StatusOK))
	const size = 2 << 20
	var held []net.Conn
	for n := range 3 {
		held = append(held, openUpload(t, entry, fmt.Sprintf("%016x", 0xa0+n), size, 1000))
	}
	entry.awaitBodyBytes(3 * size)
	fourth := openUpload(t, entry, "00000000000000af", size, 0)
	defer fourth.Close()
	_ = fourth.SetReadDeadline(time.Now().Add(waitTimeout))
	response, err := http.ReadResponse(bufio.NewReader(fourth), nil)
	is.NoErr(err)
	is.Equal(response.StatusCode, http.StatusServiceUnavailable)
	is.True(response.Header.Get("Retry-After") != "")
	is.Equal(entry.call(http.MethodPost, "/x/1", strings.Repeat("x", 300)).status, http.StatusOK)
	for _, conn := range held {
		_, err := io.WriteString(conn, strings.Repeat("x", size-1000))
		is.NoErr(err)
		is.Equal(readStatus(t, conn), http.StatusOK)
	}
	entry.awaitUpload("the memory is free again", size)
	for _, run := range desk.upstream.Runs() {
		is.True(run.ID != "00000000000000af")
	}
	is.Equal(entry.call(http.MethodPost, "/upload/1", strings.Repeat("x", 7<<20)).status, http.StatusRequestEntityTooLarge)
	for _, c := range []struct{ size, status int }{
		{5 << 20, http.StatusOK},
		{7 << 20, http.StatusRequestEntityTooLarge},
	} {
		is.Equal(entry.callInChunks("/upload/1", strings.Repeat("x", c.size)), c.status)
	}
}

// awaitBodyBytes waits until request bodies take a number of bytes of the memory.
func (i *instance) awaitBodyBytes(bytes int) {
	i.t.Helper()
	want := fmt.Sprintf("fuchsiavane_request_body_bytes %d\n", bytes)
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(pollInterval) {
		r, err := http.Get("http://" + i.settings.AdminListen.String() + "/metrics")
		if err != nil {
			continue
		}
		text, err := io.ReadAll(r.Body)
		_ = r.Body.Close()
		if err == nil && strings.Contains(string(text), want) {
			return
		}
	}
	i.t.Fatalf("request bodies do not take %d bytes", bytes)
}

// callInChunks posts a body of unknown length and returns the status.
func (i *instance) callInChunks(path, body string) int {
	i.t.Helper()
	request, err := http.NewRequest(http.MethodPost, "http://"+i.settings.CallerListen.String()+path, struct{ io.Reader }{strings.NewReader(body)})
	if err != nil {
		i.t.Fatal(err)
	}
	request.Host = "h.example"
	request.Close = true
	request.Header.Set("X-Request-Id", fmt.Sprintf("%016x", lastID.Add(1)))
	request.Header.Set("X-Request-Deadline-Ms", "5000")
	response, err := http.DefaultTransport.RoundTrip(request)
	if err != nil {
		i.t.Fatal(err)
	}
	_ = response.Body.Close()
	return response.StatusCode
}

// awaitUpload sends uploads of a size until one is served.
func (i *instance) awaitUpload(what string, size int) {
	i.t.Helper()
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(pollInterval) {
		if i.call(http.MethodPost, "/upload/1", strings.Repeat("x", size)).status == http.StatusOK {
			return
		}
	}
	i.t.Fatal(what)
}

// TestUploadThatDoesNotFitAtTheUpstreamRunsElsewhere has the daemon beside one upstream
// lack memory: the request has not run there and goes to the other upstream, or is
// refused as not run, and never waits for its deadline.
func TestUploadThatDoesNotFitAtTheUpstreamRunsElsewhere(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	f.configure(1, route("/upload/", "upload", "desk", 1))
	entry := f.start("registry", "south-1")
	small, large := f.startSmall("desk"), f.start("desk", "south-1")
	for end := time.Now().Add(waitTimeout); len(large.upstream.Runs()) == 0; {
		if time.Now().After(end) {
			t.Fatal("the entry does not know both upstreams")
		}
		entry.awaitUpload("ready", 10)
	}
	const size = 7 << 20 // more than the large bodies of the small machine may take
	for range 6 {
		began := time.Now()
		got := entry.call(http.MethodPost, "/upload/1", strings.Repeat("x", size), "X-Request-Deadline-Ms", "20000")
		is.True(got.status == http.StatusOK || got.status == http.StatusServiceUnavailable)
		is.True(time.Since(began) < 3*time.Second) // the route's timeout
	}
	served := 0
	for _, run := range large.upstream.Runs() {
		if len(run.Body) == size {
			served++
		}
	}
	is.True(served > 0)
	for _, run := range small.upstream.Runs() {
		is.True(len(run.Body) != size)
	}
}

// TestSlowUploadHoldsNoSlot checks that the upstream serves others while a client takes
// its time with a body.
func TestSlowUploadHoldsNoSlot(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	f.configure(1, route("/upload/", "upload", "desk", 1), route("/x/", "safe", "desk", 0))
	entry, desk := f.start("registry", "south-1"), f.start("desk", "south-1")
	entry.await("ready", "/x/1", status(http.StatusOK))
	var slow []net.Conn
	for n := range desk.upstream.Slots + 5 {
		slow = append(slow, openUpload(t, entry, fmt.Sprintf("%016x", 0xb0+n), 2000, 1000))
	}
	before := len(desk.upstream.Runs())
	var group sync.WaitGroup
	for range 20 {
		group.Go(func() { is.Equal(entry.call(http.MethodGet, "/x/1", "").status, http.StatusOK) })
	}
	group.Wait()
	is.Equal(len(desk.upstream.Runs()), before+20) // none of the uploads has reached it
	for _, conn := range slow {
		_, err := io.WriteString(conn, strings.Repeat("x", 1000))
		is.NoErr(err)
		is.Equal(readStatus(t, conn), http.StatusOK)
	}
}
