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

// readLimit bounds the wait for an answer to bytes that may get none.
const readLimit = 500 * time.Millisecond

// parallel calls all paths at once and prints the answers in the order in which
// they come.
func parallel(ts *testscript.TestScript, _ bool, args []string) {
	var mu sync.Mutex
	var group sync.WaitGroup
	for _, path := range args[2:] {
		request := newRequest(ts, []string{args[0], args[1], path}, nil, nil)
		group.Go(func() {
			line := answerLine(request)
			mu.Lock()
			defer mu.Unlock()
			fmt.Fprintf(ts.Stdout(), "%s -> %s\n", path, line)
		})
	}
	group.Wait()
}

func answerLine(request *http.Request) string {
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

// sendBytes writes parts, given as quoted strings of Go, to a port and prints
// what comes back. Before each part but the first it waits for an answer.
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
		ts.Check(conn.SetReadDeadline(time.Now().Add(readLimit)))
		n, _ := conn.Read(buffer) // an answer is not needed
		fmt.Fprintf(ts.Stdout(), "%s\n", buffer[:n])
	}
}
