// Package departure keeps in the platform's store which upstreams have announced to this
// instance's daemon that they leave. The acknowledgement of a departure binds the next
// process of the daemon too, which would take a late heartbeat of the upstream for news.
package departure

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"fuchsiavane.org/node/backoff"
	"fuchsiavane.org/node/event"
	"fuchsiavane.org/node/kv"
	"fuchsiavane.org/node/presence"
)

const (
	// keyPrefix is the prefix of the store keys: departed/INSTANCE.
	keyPrefix = "departed/"
	// retention is the time-to-live of the lease of a key, which lets the keys of
	// instances that are gone expire. Heartbeats are seconds late at most.
	retention = 5 * time.Minute
	// maxStored is the maximum number of departures in the store, the latest ones.
	maxStored = 8
	// callTimeout bounds one call to the store.
	callTimeout = 2 * time.Second
	// minBackoff and maxBackoff bound the backoff after a failed call.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 5 * time.Second
	// queueLength is the number of calls of Save that can wait. A further one doesn't
	// wait: its departure is stored with the next.
	queueLength = 16
)

// Keeper keeps the departures that a Presence records. It is safe for concurrent use.
type Keeper struct {
	store    kv.Store
	key      string
	presence *presence.Presence
	log      *event.Logger
	requests chan chan struct{} // calls of Save; each channel is closed when it is done
	stored   atomic.Uint64      // version of the departures in the store

	// Fields of Run.
	backoff  *backoff.Backoff
	recalled bool   // the departures in the store were passed to the Presence
	read     bool   // revision is that of the key in the store
	revision uint64 // of the key; 0 if it doesn't exist
	waiting  []chan struct{}
}

// NewKeeper returns a Keeper for the daemon of an instance, and makes the Presence wait
// for the departures in the store.
func NewKeeper(store kv.Store, instance string, p *presence.Presence, log *event.Logger) *Keeper {
	p.AwaitRecall()
	return &Keeper{
		store: store, key: keyPrefix + instance, presence: p, log: log,
		requests: make(chan chan struct{}, queueLength), backoff: backoff.New(minBackoff, maxBackoff, rand.Float64),
	}
}

// Save waits until the departures that are known now are in the store, or until the
// context ends. In the second case Run goes on trying.
func (k *Keeper) Save(ctx context.Context) {
	if _, version := k.presence.Departures(); version == k.stored.Load() {
		return
	}
	done := make(chan struct{})
	select {
	case k.requests <- done:
	default:
		return
	}
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// Run recalls the departures from the store and then stores new ones until the context
// ends.
func (k *Keeper) Run(ctx context.Context) {
	for {
		var retry <-chan time.Time
		if err := k.sync(ctx); err != nil {
			k.log.Log(event.DepartureNotStored).Bool("recalled", k.recalled).Err(err).Msg("departures of the upstream are not exchanged with the store")
			retry = time.After(k.backoff.Next())
		} else {
			k.backoff.Reset()
			k.finishWaiting()
		}
		select {
		case <-ctx.Done():
			return
		case done := <-k.requests:
			k.waiting = append(k.waiting, done)
		case <-retry:
		}
	}
}

// finishWaiting ends the calls of Save.
func (k *Keeper) finishWaiting() {
	for _, done := range k.waiting {
		close(done)
	}
	k.waiting = nil
}

// sync recalls the departures if that is not done yet, and stores those that the store
// lacks.
func (k *Keeper) sync(ctx context.Context) error {
	if !k.read {
		if err := k.recall(ctx); err != nil {
			return err
		}
	}
	departures, version := k.presence.Departures()
	if version == k.stored.Load() {
		return nil
	}
	err := k.write(ctx, departures[:min(len(departures), maxStored)])
	if err != nil {
		k.read = false // the write may have taken effect
		return err
	}
	k.stored.Store(version)
	return nil
}

// recall reads the departures in the store. A value that can't be read is replaced by the
// next write.
func (k *Keeper) recall(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	entry, err := k.store.Get(ctx, k.key)
	if err != nil && !errors.Is(err, kv.ErrNotFound) && !errors.Is(err, kv.ErrUnreadable) {
		return err
	}
	k.read, k.revision = true, entry.Revision
	if k.recalled {
		return nil
	}
	_, before := k.presence.Departures()
	departures := decode(entry.Value)
	k.presence.Recall(time.Now(), departures)
	k.recalled = true
	if before == 0 { // all that is known comes from the store
		_, version := k.presence.Departures()
		k.stored.Store(version)
	}
	if len(departures) > 0 {
		k.log.Log(event.DeparturesRecalled).Int("count", len(departures)).Str("latest", departures[0].Instance).Msg("departures of the upstream recalled from the store")
	}
	return nil
}

// write replaces the departures in the store.
func (k *Keeper) write(ctx context.Context, departures []presence.Departure) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	lease, err := k.store.Grant(ctx, retention)
	if err != nil {
		return err
	}
	k.revision, err = k.store.Put(ctx, k.key, encode(departures), k.revision, lease)
	return err
}

// record is a departure in the store.
type record struct {
	Instance string `json:"instance"`
	// AtMs and StartedMs are Unix times in milliseconds; StartedMs is missing if the
	// start is not known.
	AtMs      int64  `json:"at_ms"`
	StartedMs *int64 `json:"started_ms,omitempty"`
}

func encode(departures []presence.Departure) []byte {
	records := make([]record, len(departures))
	for i, d := range departures {
		records[i] = record{Instance: d.Instance, AtMs: d.At.UnixMilli()}
		if d.StartKnown {
			records[i].StartedMs = &d.StartedAt
		}
	}
	value, _ := json.Marshal(records) // records always encode
	return value
}

// decode returns the departures of a value, without those that can't be read.
func decode(value []byte) []presence.Departure {
	var raw []json.RawMessage
	if json.Unmarshal(value, &raw) != nil {
		return nil
	}
	var departures []presence.Departure
	for _, element := range raw {
		var r record
		if json.Unmarshal(element, &r) != nil || r.Instance == "" {
			continue
		}
		d := presence.Departure{Instance: r.Instance, At: time.UnixMilli(r.AtMs)}
		if r.StartedMs != nil {
			d.StartedAt, d.StartKnown = *r.StartedMs, true
		}
		departures = append(departures, d)
	}
	return departures
}
