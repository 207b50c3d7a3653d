package once

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"fuchsiavane.org/node/call"
	"fuchsiavane.org/node/kv"
)

// forgetTimeout bounds the removal of the record of a key that did not run.
const forgetTimeout = 2 * time.Second

// opaqueKeys runs requests whose keys carry no birth time. Each costs one
// create in the platform's store, before the run; the record stays.
type opaqueKeys struct {
	store   kv.Store
	service string
	most    int

	mu      sync.Mutex
	flights map[string]*opaqueFlight
	kept    []string // keys of finished flights, oldest first
}

type opaqueFlight struct {
	*flight
	print uint64
}

func newOpaqueKeys(store kv.Store, service string, most int) *opaqueKeys {
	return &opaqueKeys{store: store, service: service, most: most, flights: map[string]*opaqueFlight{}}
}

func (o *opaqueKeys) serve(ctx context.Context, r *call.Request, next call.Server) *call.Answer {
	sum := print(r)
	o.mu.Lock()
	f := o.flights[r.Key]
	first := f == nil
	full := len(o.flights) >= o.most
	if first && !full {
		f = &opaqueFlight{newFlight(), sum}
		o.flights[r.Key] = f
	}
	o.mu.Unlock()
	switch {
	case first && full:
		return later(call.Unknown, call.RefusedOverload, "no more keys can be remembered")
	case first:
		return lead(ctx, r, o.creating(next), f.flight, func(f *flight) { o.end(r.Key, f) })
	case f.print != sum:
		return repeat("the key came with another request before")
	}
	return follow(ctx, f.flight)
}

// creating returns a Server that claims the key in the store before next runs
// the request.
func (o *opaqueKeys) creating(next call.Server) call.Server {
	return call.ServerFunc(func(ctx context.Context, r *call.Request) *call.Answer {
		revision, refusal := o.create(ctx, r.Key)
		if refusal != nil {
			return refusal
		}
		answer := next.Serve(ctx, r)
		if answer.Outcome == call.NotRun {
			o.forget(ctx, r.Key, revision)
		}
		return answer
	})
}

// recordKey is the store's key of an opaque key.
func (o *opaqueKeys) recordKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return "once/" + o.service + "/key/" + hex.EncodeToString(sum[:])
}

// create writes the key's record. A create whose answer was lost is settled by
// reading back: the value names the create.
func (o *opaqueKeys) create(ctx context.Context, key string) (uint64, *call.Answer) {
	id := uuid.NewString()
	revision, err := o.store.Put(ctx, o.recordKey(key), []byte(id), 0, "")
	if err == nil {
		return revision, nil
	}
	if errors.Is(err, kv.ErrConflict) {
		return 0, repeat("the key has run, or may have run")
	}
	entry, readErr := o.store.Get(ctx, o.recordKey(key))
	switch {
	case readErr != nil:
		return 0, later(call.Unknown, call.RefusedNotOwner, "the platform's store can't vouch for a key without a birth time: "+err.Error())
	case string(entry.Value) == id:
		return entry.Revision, nil
	}
	return 0, repeat("the key has run, or may have run")
}

// forget removes the record of a key that did not run, so that it may run
// later. If that fails the key is refused as unknown from then on.
func (o *opaqueKeys) forget(ctx context.Context, key string, revision uint64) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), forgetTimeout)
	defer cancel()
	_ = o.store.Delete(ctx, o.recordKey(key), revision)
}

// end keeps a whole answer for resends. What else became of the key is in the
// store.
func (o *opaqueKeys) end(key string, f *flight) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !f.kept() {
		delete(o.flights, key)
		return
	}
	o.kept = append(o.kept, key)
	if len(o.kept) > maxOpaqueAnswers {
		delete(o.flights, o.kept[0])
		o.kept = o.kept[1:]
	}
}

// maxOpaqueAnswers bounds the kept answers of opaque keys.
const maxOpaqueAnswers = 256
