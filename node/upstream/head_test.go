package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"time"

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

// TestTransferCodingInHTTP10IsNoAnswer checks that HTTP/1.0, which has no transfer codings,
// isn't read as if its chunks were the body.
func TestTransferCodingInHTTP10IsNoAnswer(t *testing.T) {
	const chunks = "\r\n\r\n2\r\nok\r\n0\r\n\r\n"
	expectNoAnswer(t, "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked"+chunks)
	expectNoAnswer(t, "HTTP/1.0 200 OK\r\nX-A: 1\r\ntransfer-ENCODING:chunked\r\nContent-Length: 2"+chunks)
	expectNoAnswer(t, "HTTP/1.0 200 OK\nTransfer-Encoding: chunked\n\nok")
}

// TestHTTP10IsAnswered checks that other answers of HTTP/1.0 are taken, whatever the size
// of the head and of the pieces in which it arrives.
func TestHTTP10IsAnswered(t *testing.T) {
	large := "X-Large: " + strings.Repeat("a", 2*bufferSize) + "\r\n"
	for _, head := range []string{"", "X-A: Transfer-Encoding: chunked\r\n", large} {
		is := is.New(t)
		up := newScripted(t, func(_ int64, conn net.Conn, from *bufio.Reader) {
			if !readRequest(from) {
				return
			}
			for _, part := range []string{"HTTP/1", ".0 200 OK\r\n", head, "\r", "\nTransfer-Encoding: a body"} {
				_, _ = io.WriteString(conn, part)
				time.Sleep(2 * time.Millisecond) // so that the parts arrive one by one
			}
		})
		got, err := text(up.runner().Serve(context.Background(), get(testTimeout)))
		is.NoErr(err)
		is.Equal(got, "Transfer-Encoding: a body")
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
