package scenario

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// readTimeout bounds the wait for a response to bytes that may get none.
const readTimeout = 500 * time.Millisecond

// callInParallel calls all paths concurrently and prints the responses in the
// order of their arrival.
func callInParallel(ts *testscript.TestScript, _ bool, args []string) {
	var mu sync.Mutex
	var group sync.WaitGroup
	for _, path := range args[2:] {
		request := newRequest(ts, []string{args[0], args[1], path}, nil, nil)
		group.Go(func() {
			line := responseLine(request)
			mu.Lock()
			defer mu.Unlock()
			fmt.Fprintf(ts.Stdout(), "%s -> %s\n", path, line)
		})
	}
	group.Wait()
}

func responseLine(request *http.Request) string {
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err.Error()
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return err.Error()
	}
	return strings.TrimSpace(string(body))
}

// sendBytes writes each argument, which may have the escapes of a Go string, to a
// port, waits up to readTimeout for a response, and prints the response.
func sendBytes(ts *testscript.TestScript, _ bool, args []string) {
	conn, err := net.Dial("tcp", strings.TrimPrefix(args[0], "http://"))
	ts.Check(err)
	defer conn.Close()
	buffer := make([]byte, 4<<10)
	for _, quoted := range args[1:] {
		text, err := strconv.Unquote(`"` + quoted + `"`)
		ts.Check(err)
		_, err = io.WriteString(conn, text)
		ts.Check(err)
		ts.Check(conn.SetReadDeadline(time.Now().Add(readTimeout)))
		n, _ := conn.Read(buffer) // a response is optional
		fmt.Fprintf(ts.Stdout(), "%s\n", buffer[:n])
	}
}
