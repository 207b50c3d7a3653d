package member

import (
	"cmp"
	"slices"
	"time"
)

// digestPrime combines the bucket sums of a digest. Source: FNV-1a, 64 bits.
const digestPrime = 1099511628211

// entry is a known member.
type entry struct {
	Record
	// changed is when the state was last set.
	changed time.Duration
	// since is when the member was first seen alive.
	since time.Duration
	// suspectUntil ends a suspicion.
	suspectUntil time.Duration
	// replaced is set when another instance answers at the member's address.
	replaced bool
}

// dataCentre is the known members of one data centre with their digest.
type dataCentre struct {
	members map[string]*entry
	// order is the members sorted by id.
	order []*entry
	sums  [buckets]uint32
	// contact is when it last answered a relay; for the own it is not used.
	contact time.Duration
	// unreachable is the verdict that was last told.
	unreachable bool
}

func (d *dataCentre) digest() uint64 {
	var sum uint64
	for _, s := range d.sums {
		sum = sum*digestPrime + uint64(s)
	}
	return sum
}

func (d *dataCentre) insert(e *entry) {
	d.members[e.ID] = e
	i, _ := d.find(e.ID)
	d.order = slices.Insert(d.order, i, e)
}

func (d *dataCentre) delete(e *entry) {
	delete(d.members, e.ID)
	if i, found := d.find(e.ID); found {
		d.order = slices.Delete(d.order, i, i+1)
	}
}

func (d *dataCentre) find(id string) (int, bool) {
	return slices.BinarySearchFunc(d.order, id, func(e *entry, id string) int { return cmp.Compare(e.ID, id) })
}

// view is the known fleet, the own record included.
type view struct {
	entries map[string]*entry
	centres map[string]*dataCentre
	// suspects are the members under suspicion.
	suspects map[string]*entry
	// byAddr finds the live member at an address.
	byAddr map[string]*entry
	// byHash finds a data centre by the hash that contacts use.
	byHash map[uint32]string
	// version counts changes that routing may care about.
	version uint64
}

func newView() *view {
	return &view{
		entries:  map[string]*entry{},
		centres:  map[string]*dataCentre{},
		suspects: map[string]*entry{},
		byAddr:   map[string]*entry{},
		byHash:   map[uint32]string{},
	}
}

func centreHash(name string) uint32 { return mix(hashOf(name)) }

func (v *view) centre(name string, now time.Duration) *dataCentre {
	d := v.centres[name]
	if d == nil {
		d = &dataCentre{members: map[string]*entry{}, contact: now}
		v.centres[name] = d
		v.byHash[centreHash(name)] = name
	}
	return d
}

// put sets a record and keeps the digests.
func (v *view) put(r Record, now time.Duration) *entry {
	e := v.entries[r.ID]
	if e == nil {
		e = &entry{Record: Record{State: StateDead}}
		v.entries[r.ID] = e
	} else {
		v.detach(e)
	}
	if e.State == StateDead && r.State != StateDead {
		e.since, e.replaced = now, false
	}
	e.Record, e.changed = r, now
	if r.State != StateDead {
		v.byAddr[r.Addr] = e
	}
	if r.State == StateSuspect {
		v.suspects[r.ID] = e
	}
	d := v.centre(r.DataCentre, now)
	d.insert(e)
	d.sums[bucketOf(r.ID)] ^= r.sum()
	v.version++
	return e
}

// detach takes an entry out of its data centre.
func (v *view) detach(e *entry) {
	d := v.centres[e.DataCentre]
	d.sums[bucketOf(e.ID)] ^= e.sum()
	d.delete(e)
	delete(v.suspects, e.ID)
	if v.byAddr[e.Addr] == e {
		delete(v.byAddr, e.Addr)
	}
}

func (v *view) remove(e *entry) {
	v.detach(e)
	delete(v.entries, e.ID)
	v.version++
}

// inBuckets returns the records of the buckets in a mask, sorted by id.
func (v *view) inBuckets(name string, mask uint64) []Record {
	d := v.centres[name]
	if d == nil {
		return nil
	}
	var records []Record
	for _, e := range d.order {
		if mask&(1<<bucketOf(e.ID)) != 0 {
			records = append(records, e.Record)
		}
	}
	return records
}

// centreNames returns the known data centres, sorted.
func (v *view) centreNames() []string {
	names := make([]string, 0, len(v.centres))
	for name := range v.centres {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
