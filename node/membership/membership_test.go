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

// limit bounds the waits on real time.
const limit = 20 * time.Second

// start runs a duty with its peer port until the test ends.
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

func await(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Fatalf("%s: not within %v", what, limit)
}

func knows(d *Driver, n int) func() bool { return func() bool { return len(d.View().Peers) == n } }

func TestJoinByStoreAndLeave(t *testing.T) {
	store := memstore.New()
	var duties []*Driver
	for i := range 8 {
		duties = append(duties, start(t, store, fmt.Sprint("i", i), "key"))
	}
	for _, d := range duties {
		await(t, "all eight", knows(d, 8))
	}
	duties[3].Leave(context.Background())
	for _, d := range duties {
		await(t, "the leaving flag in routing", func() bool {
			for _, p := range d.config.Picker.Peers() {
				if p.ID == "i3" {
					return p.Leaving
				}
			}
			return false
		})
	}
	duties[3].Stop(context.Background())
	await(t, "seven", knows(duties[0], 7))
}

// awayStore is a store that takes no call.
type awayStore struct{ kv.Store }

func (awayStore) List(context.Context, string) ([]kv.Entry, uint64, error) {
	return nil, 0, kv.ErrUnavailable
}

func TestJoinByPeersWhileStoreIsAway(t *testing.T) {
	a := start(t, awayStore{}, "a", "key")
	b := start(t, awayStore{}, "b", "key", a.config.Self.Addr)
	await(t, "b at a", knows(a, 2))
	await(t, "a at b", knows(b, 2))
}

func TestOtherKeyIsNoMember(t *testing.T) {
	is := is.New(t)
	store := memstore.New()
	a, b := start(t, store, "a", "key"), start(t, store, "b", "other")
	await(t, "a refused message", func() bool { return a.counts.refused.Get()+b.counts.refused.Get() > 0 })
	is.True(knows(a, 1)())
	is.True(knows(b, 1)())
}

// A view that is larger than a datagram arrives over a stream.
func TestLargeViewGoesOverStream(t *testing.T) {
	store := memstore.New()
	a := start(t, store, "a", "key")
	var records []member.Record
	for i := range 200 {
		records = append(records, member.Record{
			ID: fmt.Sprint("far", i), Service: "s", Region: "north", DataCentre: "north-1",
			Addr: fmt.Sprintf("127.0.0.1:%d", 1+i), Incarnation: 1,
		})
	}
	a.enqueue(inbound{"127.0.0.1:1", &member.Message{
		Kind: member.KindRecords, From: "far0", FromDataCentre: "north-1", DataCentre: "north-1", Records: records,
	}})
	await(t, "200 more at a", knows(a, 201))
	b := start(t, store, "b", "key")
	await(t, "all at b", knows(b, 202))
}

func TestFullRingDropsAndCounts(t *testing.T) {
	is := is.New(t)
	d := New(Config{
		Self: member.Record{ID: "a", Addr: "127.0.0.1:1"}, Metrics: metrics.New(),
		Picker: route.NewPicker(route.Locality{}), Log: event.Discard(),
	})
	for range inboundLimit + 3 {
		d.enqueue(inbound{"x", &member.Message{}})
	}
	is.Equal(d.counts.droppedInbound.Get(), uint64(3))
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
		d.takeDatagram(d.seal.Seal(datagramPurpose, data), from)
	}
	d.takeDatagram(d.seal.Seal(datagramPurpose, []byte{0xff, 1}), from)
	is.Equal(d.counts.malformed.Get(), uint64(5))
}
