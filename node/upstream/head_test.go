package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"strings"
	"testing"

	"github.com/matryer/is"

	"fuchsiavane.org/node/call"
)

// TestInvalidStatusIsNoAnswer checks that a status that no final response may have fails
// the request, also if a valid response follows on the connection.
func TestInvalidStatusIsNoAnswer(t *testing.T) {
	for _, line := range []string{
		"HTTP/1.1 000 Trouble", "HTTP/1.1 042 Trouble", "HTTP/1.1 +20 Trouble", "HTTP/1.1 101 Switching Protocols",
		"HTTP/1.1 600 Trouble", "HTTP/1.1 999 Trouble", "HTTP/2.0 200 OK",
	} {
		for _, rest := range []string{"Content-Length: 0\r\n\r\n", "Content-Length: 0\r\n\r\n" + completeResponse, "\r\n" + completeResponse} {
			expectNoAnswer(t, line+"\r\n"+rest)
		}
	}
}

// TestInvalidFieldNameIsNoAnswer checks that a field name that is no token fails the
// request, in the final head as in an interim one. Without its field "Content-Length" or
// "Transfer-Encoding" the body would not be the one that the upstream means.
func TestInvalidFieldNameIsNoAnswer(t *testing.T) {
	for _, field := range []string{
		"X Trouble: 1", "X-Trouble : 1", "Content-Length : 2", "Transfer-Encoding : chunked", " X-Trouble: 1",
		"X\tTrouble: 1", "X-Trouble\t: 1", "X\x00Trouble: 1", "X\x7fTrouble: 1", "\x01: 1", "X\rTrouble: 1", ": 1", "X-Trouble",
	} {
		expectNoAnswer(t, "HTTP/1.1 200 OK\r\n"+field+"\r\nConnection: close\r\n\r\nok")
		expectNoAnswer(t, "HTTP/1.1 103 Early Hints\r\n"+field+"\r\n\r\n"+completeResponse)
	}
}

// expectNoAnswer checks that a request whose upstream sends text fails, and that it may
// have run.
func expectNoAnswer(t *testing.T, sent string) {
	t.Helper()
	t.Run(strings.ReplaceAll(sent, "\r\n", "|"), func(t *testing.T) {
		is := is.New(t)
		up := newScripted(t, func(_ int64, conn net.Conn, from *bufio.Reader) {
			if readRequest(from) {
				_, _ = io.WriteString(conn, sent)
			}
		})
		a := up.runner().Serve(context.Background(), get(testTimeout))
		body, _ := text(a)
		t.Logf("status %d, header %q, body %q", a.Status, a.Header, body)
		is.Equal(a.Refusal, call.RefusedUnreachable)
		is.Equal(a.Outcome, call.Unknown)
	})
}
