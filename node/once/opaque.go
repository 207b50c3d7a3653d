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

// removeTimeout bounds the removal of the record of a key that did not run.
const removeTimeout = 2 * time.Second

// opaqueKeys runs requests whose keys carry no timestamp. Each key needs one create
// in the platform's store before its run; the record stays.
type opaqueKeys struct {
	store   kv.Store
	service string
	maxKeys int

	mu       sync.Mutex
	runs     map[string]*opaqueRun
	retained []string // keys of runs whose answers are retained, oldest first
}

// opaqueRun is a run of a key without a timestamp, with the fingerprint of its request.
type opaqueRun struct {
	*sharedRun
	fingerprint uint64
}

func newOpaqueKeys(store kv.Store, service string, maxKeys int) *opaqueKeys {
	return &opaqueKeys{store: store, service: service, maxKeys: maxKeys, runs: map[string]*opaqueRun{}}
}

func (o *opaqueKeys) serve(ctx context.Context, r *call.Request, next call.Server) *call.Answer {
	sum := fingerprint(r)
	o.mu.Lock()
	run := o.runs[r.Key]
	first := run == nil
	full := len(o.runs) >= o.maxKeys
	if first && !full {
		run = &opaqueRun{newSharedRun(), sum}
		o.runs[r.Key] = run
	}
	o.mu.Unlock()
	switch {
	case first && full:
		return refuseForNow(call.Unknown, call.RefusedOverload, "no more keys can be remembered")
	case first:
		return runFirst(ctx, r, o.claimingServer(next), run.sharedRun, func(f *sharedRun) { o.end(r.Key, f) })
	case run.fingerprint != sum:
		return refuseDuplicate("the key came with another request before")
	}
	return joinRun(ctx, run.sharedRun)
}

// claimingServer returns a Server that claims the key in the store before next runs
// the request.
func (o *opaqueKeys) claimingServer(next call.Server) call.Server {
	return call.ServerFunc(func(ctx context.Context, r *call.Request) *call.Answer {
		revision, refusal := o.create(ctx, r.Key)
		if refusal != nil {
			return refusal
		}
		answer := next.Serve(ctx, r)
		if answer.Outcome == call.NotRun {
			o.removeRecord(ctx, r.Key, revision)
		}
		return answer
	})
}

// recordKey returns the store's key of the record of an opaque key.
func (o *opaqueKeys) recordKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return "once/" + o.service + "/key/" + hex.EncodeToString(sum[:])
}

// create writes the record of a key. If the store's response was lost, the record
// is read back: its value identifies the create.
func (o *opaqueKeys) create(ctx context.Context, key string) (uint64, *call.Answer) {
	id := uuid.NewString()
	revision, err := o.store.Put(ctx, o.recordKey(key), []byte(id), 0, "")
	if err == nil {
		return revision, nil
	}
	if errors.Is(err, kv.ErrConflict) {
		return 0, refuseDuplicate("the key has run, or may have run")
	}
	entry, readErr := o.store.Get(ctx, o.recordKey(key))
	switch {
	case readErr != nil:
		return 0, refuseForNow(call.Unknown, call.RefusedNotOwner, "the platform's store can't vouch for a key without a birth time: "+err.Error())
	case string(entry.Value) == id:
		return entry.Revision, nil
	}
	return 0, refuseDuplicate("the key has run, or may have run")
}

// removeRecord removes the record of a key that did not run, so that the key may
// run later. If the removal fails, the key is refused as unknown from then on.
func (o *opaqueKeys) removeRecord(ctx context.Context, key string, revision uint64) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), removeTimeout)
	defer cancel()
	_ = o.store.Delete(ctx, o.recordKey(key), revision)
}

// end retains a complete answer for resends. Other outcomes of the key are known from
// the store alone.
func (o *opaqueKeys) end(key string, run *sharedRun) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !run.replayable() {
		delete(o.runs, key)
		return
	}
	o.retained = append(o.retained, key)
	if len(o.retained) > maxOpaqueAnswers {
		delete(o.runs, o.retained[0])
		o.retained = o.retained[1:]
	}
}

// maxOpaqueAnswers bounds the number of retained answers to keys without a timestamp.
const maxOpaqueAnswers = 256
