package mesh

import (
	"context"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"fuchsiavane.org/lab/faultproxy"
	"fuchsiavane.org/lab/meshsim"
	"fuchsiavane.org/node/edit"
	"fuchsiavane.org/node/event"
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
	is := is.New(t)
	ctx := context.Background()
	server := httptest.NewServer(meshsim.NewStore())
	t.Cleanup(server.Close)
	proxy := proxyTo(t, server)
	client := platform.NewStore(&platform.Settings{StoreAddr: netip.MustParseAddrPort(proxy.Addr()), MaxValueBytes: 64}, event.Discard())
	_, err := client.Put(ctx, "join/a", []byte("1"), 0, "")
	is.NoErr(err)
	proxy.SetFault(faultproxy.SilenceOpen)
	_, err = client.Get(ctx, "join/a")
	is.NoErr(err)
	proxy.SetFault(faultproxy.SilenceOpen)
	_, _, err = client.List(ctx, "join/")
	is.NoErr(err)
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
	pulling := settingsync.NewExchange(settingsync.NewHolder(), []byte("key"))
	for revision := uint64(1); revision <= 3; revision++ {
		updated, _ := serving.Update(edit.Head{Stamp: edit.Stamp{Revision: revision, At: time.Now()}, Document: []byte("{}")})
		is.True(updated)
		head, err := pulling.Pull(ctx, proxy.Addr())
		is.NoErr(err)
		is.Equal(head.Revision, revision)
		proxy.SetFault(faultproxy.SilenceOpen)
	}
}
