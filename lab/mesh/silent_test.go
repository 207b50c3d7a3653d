package mesh

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"

	"github.com/matryer/is"

	"fuchsiavane.org/lab/faultproxy"
	"fuchsiavane.org/lab/meshsim"
	"fuchsiavane.org/lab/platformsim"
	"fuchsiavane.org/node/edit"
	"fuchsiavane.org/node/event"
	"fuchsiavane.org/node/kv"
	"fuchsiavane.org/node/kv/client"
	"fuchsiavane.org/node/kv/memstore"
	"fuchsiavane.org/node/settingsync"
	"fuchsiavane.org/platform"
)

// proxyTo returns a proxy to the address of a test server.
func proxyTo(t *testing.T, server *httptest.Server) *faultproxy.Proxy {
	t.Helper()
	p, err := faultproxy.New(server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	return p
}

// TestStoreReadAfterConnectionsWentSilent guards against calls on connections that
// carry nothing any more, while new connections work.
func TestStoreReadAfterConnectionsWentSilent(t *testing.T) {
	clients := map[string]struct {
		store  http.Handler
		client func(addr string) (kv.Store, error)
	}{
		"users' platform": {meshsim.NewStore(), func(addr string) (kv.Store, error) {
			return platform.NewStore(&platform.Settings{StoreAddr: netip.MustParseAddrPort(addr), MaxValueBytes: 64}, event.Discard()), nil
		}},
		"own protocol": {platformsim.New(memstore.New()), func(addr string) (kv.Store, error) { return client.New("http://" + addr) }},
	}
	for name, c := range clients {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			ctx := context.Background()
			server := httptest.NewServer(c.store)
			t.Cleanup(server.Close)
			proxy := proxyTo(t, server)
			store, err := c.client(proxy.Addr())
			is.NoErr(err)
			_, err = store.Put(ctx, "join/a", []byte("1"), 0, "")
			is.NoErr(err)
			proxy.SetFault(faultproxy.SilenceOpen)
			_, err = store.Get(ctx, "join/a")
			is.NoErr(err)
			proxy.SetFault(faultproxy.SilenceOpen)
			_, _, err = store.List(ctx, "join/")
			is.NoErr(err)
		})
	}
}

// TestSettingsPullAfterConnectionsWentSilent guards against pulls on connections that
// carry nothing any more, while new connections work.
func TestSettingsPullAfterConnectionsWentSilent(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	serving := settingsync.NewHolder()
	server := httptest.NewServer(settingsync.NewExchange(serving, []byte("key")))
	t.Cleanup(server.Close)
	proxy := proxyTo(t, server)
	holder := settingsync.NewHolder()
	pulling := settingsync.NewExchange(holder, []byte("key"))
	for revision := uint64(1); revision <= 3; revision++ {
		updated, _ := serving.Update(edit.Head{Stamp: edit.Stamp{Revision: revision, EditID: fmt.Sprint(revision)}, Document: []byte("{}")})
		is.True(updated)
		head, err := pulling.Pull(ctx, proxy.Addr())
		is.NoErr(err)
		updated, _ = holder.Update(head)
		is.True(updated)
		proxy.SetFault(faultproxy.SilenceOpen)
	}
}
