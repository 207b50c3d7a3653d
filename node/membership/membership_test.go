package membership

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"fuchsiavane.org/core/member"
	"fuchsiavane.org/core/route"
	"fuchsiavane.org/node/event"
	"fuchsiavane.org/node/freeport"
	"fuchsiavane.org/node/kv"
	"fuchsiavane.org/node/kv/memstore"
	"fuchsiavane.org/node/metrics"
)

// waitTimeout limits each wait in real time.
const waitTimeout = 20 * time.Second

// start runs a Driver with its peer port until the test ends.
func start(t *testing.T, store kv.Store, id, key string, peers ...string) *Driver {
	t.Helper()
	addrs, err := freeport.Addrs(1)
	if err != nil {
		t.Fatal(err)
	}
	d := New(Config{
		Self: member.Record{
			ID: id, Service: "s", Region: "south", DataCentre: "south-1", Addr: addrs[0], Admin: "127.0.0.1:1",
		},
		Peers: peers, Key: []byte(key), Store: store,
		Picker: route.NewPicker(route.Locality{Instance: id}), Metrics: metrics.New(), Log: event.Discard(),
	})
	if err := d.Listen(); err != nil {
		t.Fatal(err)
	}
	mux := http.NewServeMux()
	mux.Handle(Path, d)
	server := &http.Server{Addr: addrs[0], Handler: mux, ReadHeaderTimeout: time.Second}
	go func() { _ = server.ListenAndServe() }()
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { d.Run(ctx); close(done) }()
	t.Cleanup(func() { stop(); <-done; _ = server.Close() })
	return d
}

func waitFor(t *testing.T, description string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Fatalf("%s: not seen within %v", description, waitTimeout)
}

func hasPeers(d *Driver, n int) func() bool { return func() bool { return len(d.View().Peers) == n } }

func TestJoinByStoreAndLeave(t *testing.T) {
	store := memstore.New()
	var drivers []*Driver
	for i := range 8 {
		drivers = append(drivers, start(t, store, fmt.Sprint("i", i), "key"))
	}
	for _, d := range drivers {
		waitFor(t, "eight peers", hasPeers(d, 8))
	}
	drivers[3].Leave(context.Background())
	for _, d := range drivers {
		waitFor(t, "the leaving flag in routing", func() bool {
			for _, p := range d.config.Picker.Peers() {
				if p.ID == "i3" {
					return p.Leaving
				}
			}
			return false
		})
	}
	drivers[3].Stop(context.Background())
	waitFor(t, "seven peers", hasPeers(drivers[0], 7))
}

// unavailableStore is a store that cannot be reached.
type unavailableStore struct{ kv.Store }

func (unavailableStore) List(context.Context, string) ([]kv.Entry, uint64, error) {
	return nil, 0, kv.ErrUnavailable
}

func TestJoinByPeersWhileStoreIsAway(t *testing.T) {
	a := start(t, unavailableStore{}, "a", "key")
	b := start(t, unavailableStore{}, "b", "key", a.config.Self.Addr)
	waitFor(t, "two peers at a", hasPeers(a, 2))
	waitFor(t, "two peers at b", hasPeers(b, 2))
}

// TestOtherKeyIsNoMember checks that daemons with different link keys refuse the
// messages of each other.
func TestOtherKeyIsNoMember(t *testing.T) {
	is := is.New(t)
	store := memstore.New()
	a, b := start(t, store, "a", "key"), start(t, store, "b", "other")
	waitFor(t, "a refused message", func() bool { return a.counters.refused.Get()+b.counters.refused.Get() > 0 })
	is.True(hasPeers(a, 1)())
	is.True(hasPeers(b, 1)())
}

// TestLargeViewGoesOverStream checks that a view that is too large for a datagram is
// sent over a stream.
func TestLargeViewGoesOverStream(t *testing.T) {
	store := memstore.New()
	a := start(t, store, "a", "key")
	var records []member.Record
	for i := range 200 {
		records = append(records, member.Record{
			ID: fmt.Sprint("north", i), Service: "s", Region: "north", DataCentre: "north-1",
			Addr: fmt.Sprintf("127.0.0.1:%d", 1+i), Incarnation: 1,
		})
	}
	a.enqueue(inbound{"127.0.0.1:1", &member.Message{
		Kind: member.KindRecords, From: "north0", FromDataCentre: "north-1", DataCentre: "north-1", Records: records,
	}})
	waitFor(t, "201 peers at a", hasPeers(a, 201))
	b := start(t, store, "b", "key")
	waitFor(t, "202 peers at b", hasPeers(b, 202))
}

// TestFullRingDropsAndCounts checks that messages beyond the inbound queue are dropped
// and counted.
func TestFullRingDropsAndCounts(t *testing.T) {
	is := is.New(t)
	d := New(Config{
		Self: member.Record{ID: "a", Addr: "127.0.0.1:1"}, Metrics: metrics.New(),
		Picker: route.NewPicker(route.Locality{}), Log: event.Discard(),
	})
	for range inboundQueueSize + 3 {
		d.enqueue(inbound{"x", &member.Message{}})
	}
	is.Equal(d.counters.droppedInbound.Get(), uint64(3))
}

func TestMalformedIsCountedAndIgnored(t *testing.T) {
	is := is.New(t)
	d := start(t, memstore.New(), "a", "key")
	from := netip.MustParseAddrPort("127.0.0.1:9")
	for _, message := range []member.Message{
		{},
		{Kind: 99, From: "x"},
		{Kind: member.KindPing},
		{Kind: member.KindGossip, From: "x", Updates: []member.Record{{ID: "y"}}},
	} {
		data, err := Encode(&message)
		is.NoErr(err)
		d.receiveDatagram(d.seal.Seal(datagramPurpose, data), from)
	}
	d.receiveDatagram(d.seal.Seal(datagramPurpose, []byte{0xff, 1}), from)
	is.Equal(d.counters.malformed.Get(), uint64(5))
}
