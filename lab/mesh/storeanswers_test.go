package mesh

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"fuchsiavane.org/node/event"
	"fuchsiavane.org/node/kv"
	"fuchsiavane.org/node/kv/client"
	"fuchsiavane.org/platform"
)

// serveText starts a store that answers each request with a text and closes the
// connection.
func serveText(t *testing.T, text string) (addr string) {
	t.Helper()
	return serveConns(t, func(conn net.Conn) {
		defer conn.Close()
		if request, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
			_, _ = io.Copy(io.Discard, request.Body)
			_, _ = io.WriteString(conn, text)
		}
	})
}

// serveConns accepts connections until the end of the test and calls handle for each.
func serveConns(t *testing.T, handle func(net.Conn)) (addr string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go handle(conn)
		}
	}()
	return listener.Addr().String()
}

// TestInvalidHeadsOfTheStoreAreErrors has the store answer with a head that HTTP doesn't
// allow. No call may take it for a value or for a write that was done.
func TestInvalidHeadsOfTheStoreAreErrors(t *testing.T) {
	const body = `{"key":"join/a","value":"YQ==","revision":7,"at_rev":7,"id":"1"}`
	for name, head := range map[string]string{
		"status 000":             "HTTP/1.1 000 Trouble\r\nRevision: 7\r\n",
		"status 101":             "HTTP/1.1 101 Switching Protocols\r\nRevision: 7\r\n",
		"status 999":             "HTTP/1.1 999 Trouble\r\nRevision: 7\r\n",
		"blank in a name":        "HTTP/1.1 200 OK\r\nRevision: 7\r\nX Trouble: 1\r\n",
		"blank after a name":     "HTTP/1.1 200 OK\r\nRevision: 7\r\nX-Trouble : 1\r\n",
		"control byte in a name": "HTTP/1.1 200 OK\r\nRevision: 7\r\nX\x01Trouble: 1\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			addr := serveText(t, fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(body), body))
			own, users := storesAt(t, addr)
			expectErrors(t, own)
			expectErrors(t, users)
		})
	}
}

// storesAt returns the clients of a store at an address, in our own protocol and in that
// of the users' platform.
func storesAt(t *testing.T, addr string) (own, users kv.Store) {
	t.Helper()
	own, err := client.New("http://" + addr)
	if err != nil {
		t.Fatal(err)
	}
	return own, platform.NewStore(&platform.Settings{StoreAddr: netip.MustParseAddrPort(addr), MaxValueBytes: 64}, event.Discard())
}

// TestIncompleteAnswersOfTheStoreAreErrors has the store answer 200 without the fields
// that a call needs, or with another entry. A write of which the store says no revision
// may not have been done.
func TestIncompleteAnswersOfTheStoreAreErrors(t *testing.T) {
	for name, answer := range map[string]string{
		"no body":       "Content-Length: 0\r\n\r\n",
		"nothing":       "\r\n",
		"empty object":  "Content-Length: 2\r\n\r\n{}",
		"null":          "Content-Length: 4\r\n\r\nnull",
		"another entry": "Content-Length: 43\r\n\r\n" + `{"key":"join/b","value":"YQ==","at_rev":7 }`,
		"cut":           "\r\n" + `{"key":"join/a","value":"YQ==","revision":7,"at_rev":7,"id":"1"`,
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			ctx := context.Background()
			own, users := storesAt(t, serveText(t, "HTTP/1.1 200 OK\r\n"+answer))
			for _, store := range []kv.Store{own, users} {
				_, err := store.Get(ctx, "join/a")
				is.True(err != nil)
				_, err = store.Put(ctx, "join/a", []byte("1"), 0, "")
				is.True(err != nil)
				_, err = store.Grant(ctx, time.Minute)
				is.True(err != nil)
			}
			if name == "another entry" {
				return
			}
			_, _, err := users.List(ctx, "join/")
			is.True(err != nil)
			_, _, err = users.Watch(ctx, "join/", 1, 10*time.Millisecond)
			is.True(err != nil)
		})
	}
}

// expectErrors checks that each kind of call to a store fails.
func expectErrors(t *testing.T, store kv.Store) {
	t.Helper()
	is := is.New(t)
	ctx := context.Background()
	_, err := store.Get(ctx, "join/a")
	is.True(err != nil)
	_, _, err = store.List(ctx, "join/")
	is.True(err != nil)
	_, _, err = store.Watch(ctx, "join/", 1, 10*time.Millisecond)
	is.True(err != nil)
	_, err = store.Put(ctx, "join/a", []byte("1"), 0, "")
	is.True(err != nil)
	is.True(store.Delete(ctx, "join/a", 7) != nil)
	_, err = store.Grant(ctx, time.Minute)
	is.True(err != nil)
	is.True(store.KeepAlive(ctx, "1") != nil)
	is.True(store.Revoke(ctx, "1") != nil)
}
