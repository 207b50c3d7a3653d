package settingsync

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"fuchsiavane.org/core/member"
	"fuchsiavane.org/node/edit"
	"fuchsiavane.org/node/event"
	"fuchsiavane.org/node/kv"
	"fuchsiavane.org/node/kv/memstore"
	"fuchsiavane.org/node/metrics"
	"fuchsiavane.org/node/seal"
)

// fakePeers is a membership in which this member is a watcher or not.
type fakePeers struct {
	watcher bool

	mu       sync.Mutex
	newest   member.RevisionSource
	revision uint64
	changes  chan struct{}
	// timesAway counts the reports that the store can't be read.
	timesAway int
}

func (f *fakePeers) IsReader(context.Context, string, int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.watcher
}

func (f *fakePeers) setWatcher(watcher bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.watcher = watcher
}

func (f *fakePeers) SetStoreAway(_ context.Context, away bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if away {
		f.timesAway++
	}
}

func (f *fakePeers) RevisionChanges() <-chan struct{} { return f.changes }

func (f *fakePeers) HighestRevision() member.RevisionSource {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.newest
}

func (f *fakePeers) SetRevision(_ context.Context, revision uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.revision = revision
}

// countingStore counts the calls of each second and can fail them.
type countingStore struct {
	kv.Store

	mu    sync.Mutex
	err   error
	calls map[int64]int
}

func newCountingStore() *countingStore {
	return &countingStore{Store: memstore.New(), calls: map[int64]int{}}
}

func (c *countingStore) call() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls[time.Now().Unix()]++
	return c.err
}

// setError sets the error of later calls; nil makes them succeed.
func (c *countingStore) setError(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.err = err
}

func (c *countingStore) Get(ctx context.Context, key string) (kv.Entry, error) {
	if err := c.call(); err != nil {
		return kv.Entry{}, err
	}
	return c.Store.Get(ctx, key)
}

func (c *countingStore) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]kv.Change, uint64, error) {
	if err := c.call(); err != nil {
		return nil, 0, err
	}
	return c.Store.Watch(ctx, prefix, after, wait)
}

func newSyncer(store kv.Store, peers Peers, log *event.Logger) (*Syncer, *Holder) {
	holder := NewHolder()
	return NewSyncer(Config{
		Store: store, Holder: holder, Exchange: NewExchange(holder, nil), Peers: peers, Metrics: metrics.New(), Log: log,
	}), holder
}

// runSyncer runs a watcher of the store until stop is called. The log is complete after
// that.
func runSyncer(t *testing.T, store kv.Store) (holder *Holder, log *strings.Builder, stop func()) {
	t.Helper()
	log = &strings.Builder{}
	ctx, cancel := context.WithCancel(t.Context())
	s, holder := newSyncer(store, &fakePeers{watcher: true}, event.New(log, 1, "a"))
	done := make(chan struct{})
	go func() { s.Run(ctx); close(done) }()
	return holder, log, func() {
		cancel()
		<-done
	}
}

func apply(t *testing.T, store kv.Store, document string) {
	t.Helper()
	if _, err := edit.Apply(context.Background(), store, []byte(document), "test", nil); err != nil {
		t.Fatal(err)
	}
}

// TestStoreReturnsWithoutHerd has all watchers of seven data centres lose the store for
// ten minutes. They must call it rarely during the outage; when it returns, their calls
// must be spread over time and bounded in number.
func TestStoreReturnsWithoutHerd(t *testing.T) {
	const watchers = 7 * WatchersPerDataCentre
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := newCountingStore()
		apply(t, store.Store, `{}`)
		ctx, stop := context.WithCancel(t.Context())
		var holders []*Holder
		var group sync.WaitGroup
		for range watchers {
			s, holder := newSyncer(store, &fakePeers{watcher: true}, event.Discard())
			holders = append(holders, holder)
			group.Go(func() { s.Run(ctx) })
		}
		time.Sleep(time.Minute)
		store.setError(kv.ErrUnavailable)
		time.Sleep(10 * time.Minute)
		apply(t, store.Store, `{"settings": {"slots": 7}}`)
		store.setError(nil)
		restored := time.Now().Unix()
		time.Sleep(storeMaxBackoff)
		for _, holder := range holders {
			is.Equal(holder.Current().Revision, uint64(2))
		}
		stop()
		group.Wait()
		sum := 0
		for second := restored; second <= restored+int64(storeMaxBackoff/time.Second); second++ {
			sum += store.calls[second]
			is.True(store.calls[second] <= watchers) // spread over the seconds
		}
		is.True(sum <= 3*watchers) // for each watcher a read, a watch and a watch already waiting
	})
}

// TestStartedMemberReadsTheStoreSoon has a member that is not chosen at its start, since
// its view is not complete yet, and is a moment later.
func TestStartedMemberReadsTheStoreSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := memstore.New()
		apply(t, store, `{"settings": {"slots": 7}}`)
		peers := &fakePeers{}
		ctx, stop := context.WithCancel(t.Context())
		s, holder := newSyncer(store, peers, event.Discard())
		done := make(chan struct{})
		go func() { s.Run(ctx); close(done) }()
		time.Sleep(100 * time.Millisecond)
		is.Equal(holder.Current().Revision, uint64(0))
		peers.setWatcher(true)
		time.Sleep(100 * time.Millisecond)
		is.Equal(holder.Current().Revision, uint64(1))
		stop()
		<-done
	})
}

// TestOlderStoreRevertsNothing checks that a watcher keeps its settings and reports the
// store as older after the store is restored from a backup, also when an edit reuses
// the number of its revision.
func TestOlderStoreRevertsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := memstore.New()
		apply(t, store, `{}`)
		old := store.Backup()
		apply(t, store, `{"settings": {"slots": 7}}`)
		log := &strings.Builder{}
		ctx, stop := context.WithCancel(t.Context())
		s, holder := newSyncer(store, &fakePeers{watcher: true}, event.New(log, 1, "a"))
		done := make(chan struct{})
		go func() { s.Run(ctx); close(done) }()
		time.Sleep(time.Second)
		is.Equal(holder.Current().Revision, uint64(2))
		store.Restore(old)
		time.Sleep(watchTimeout)
		is.Equal(holder.Current().Revision, uint64(2))
		revision, older := s.StaleStoreRevision()
		is.True(older)
		is.Equal(revision, uint64(1))
		apply(t, store, `{"settings": {"slots": 9}}`) // revision 2 again, with another edit id
		time.Sleep(watchTimeout)
		is.Equal(holder.Current().Document.ServiceValues("s").Slots, 7)
		_, older = s.StaleStoreRevision()
		is.True(older)
		stop()
		<-done
		is.Equal(strings.Count(log.String(), `"event":203`), 2) // one line for each state of the store
	})
}

func TestPullTakesHigherRevisionsAsPatch(t *testing.T) {
	is := is.New(t)
	store := memstore.New()
	big := func(n int) string {
		services := make([]string, 550)
		for i := range services {
			services[i] = fmt.Sprintf(`"service-%03d": {"settings": {"slots": %d}}`, i, 10+i%n)
		}
		return `{"services": {` + strings.Join(services, ",") + `}}`
	}
	serving, pulling := NewHolder(), NewHolder()
	offer := func(document string) edit.Head {
		apply(t, store, document)
		head, _, err := edit.Read(context.Background(), store)
		is.NoErr(err)
		_, findings := serving.Update(head)
		is.Equal(len(findings), 0)
		return head
	}
	exchange := NewExchange(serving, []byte("key"))
	server := httptest.NewServer(exchange)
	defer server.Close()
	addr := strings.TrimPrefix(server.URL, "http://")
	puller := NewExchange(pulling, []byte("key"))
	first := offer(big(90))
	head, err := puller.Pull(context.Background(), addr)
	is.NoErr(err)
	updated, _ := pulling.Update(head)
	is.True(updated)
	is.Equal(pulling.Current().Revision, first.Revision)
	edited := strings.Replace(big(90), `"slots": 47`, `"slots": 48`, 1)
	offer(edited)
	head, err = puller.Pull(context.Background(), addr)
	is.NoErr(err)
	is.Equal(string(head.Document), edited)
	a := exchange.respond(&pullRequest{EditID: first.EditID})
	is.True(a.Patch != nil) // a patch, not the document
	is.True(len(a.Document) == 0 && len(a.Patch.Middle) < 10)
	patched, err := cbor.Marshal(a)
	is.NoErr(err)
	t.Logf("document of %d bytes, response of %d bytes", len(edited), len(patched)+seal.Overhead)
	updated, _ = pulling.Update(head)
	is.True(updated)
	updated, _ = pulling.Update(first)
	is.True(!updated) // a lower revision is not applied
	_, err = NewExchange(pulling, []byte("other")).Pull(context.Background(), addr)
	is.True(err != nil) // another key is refused
}

// TestFollowerPullsFromTheTeller checks that a member that does not watch the store
// fetches a revision from the peer that announced it.
func TestFollowerPullsFromTheTeller(t *testing.T) {
	is := is.New(t)
	store := memstore.New()
	apply(t, store, `{}`)
	value, err := store.Get(context.Background(), edit.HeadKey)
	is.NoErr(err)
	var head edit.Head
	is.NoErr(json.Unmarshal(value.Value, &head))
	serving := NewHolder()
	_, _ = serving.Update(head)
	server := httptest.NewServer(NewExchange(serving, nil))
	defer server.Close()
	peers := &fakePeers{changes: make(chan struct{}, 1)}
	s, holder := newSyncer(nil, peers, event.Discard()) // a member that is no watcher must not call the store
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { s.Run(ctx); close(done) }()
	peers.mu.Lock()
	peers.newest = member.RevisionSource{Revision: 1, Addr: strings.TrimPrefix(server.URL, "http://")}
	peers.mu.Unlock()
	peers.changes <- struct{}{}
	for end := time.Now().Add(10 * time.Second); holder.Current().Revision != 1 && time.Now().Before(end); {
		time.Sleep(5 * time.Millisecond)
	}
	is.Equal(holder.Current().Revision, uint64(1))
	stop()
	<-done
	is.Equal(peers.revision, uint64(1))
}
