package member

import (
	"cmp"
	"slices"
	"time"
)

// digestPrime is the multiplier that combines bucket sums into a digest.
// Source: FNV-1a, 64 bits.
const digestPrime = 1099511628211

// entry is a known member.
type entry struct {
	Record
	// updated is when the record was last set.
	updated time.Duration
	// aliveSince is when the member was first seen alive, or alive again after
	// it was dead.
	aliveSince time.Duration
	// suspectUntil is when a suspicion expires.
	suspectUntil time.Duration
	// replaced is set when another instance answers at the member's address.
	replaced bool
}

// dataCentre holds the known members of one data centre and their bucket sums.
type dataCentre struct {
	members map[string]*entry
	// order lists the members sorted by id.
	order []*entry
	sums  [buckets]uint32
	// lastAnswer is when the data centre last answered a relay of this one; unused
	// for this member's data centre.
	lastAnswer time.Duration
	// unreachable is set from EventUnreachable until EventReachable.
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

// view holds the known fleet, this member's record included.
type view struct {
	entries     map[string]*entry
	dataCentres map[string]*dataCentre
	// suspects are the members under suspicion.
	suspects map[string]*entry
	// byAddr maps an address to the member there that is not dead.
	byAddr map[string]*entry
	// byHash maps Contact.DataCentre to the name of the data centre.
	byHash map[uint32]string
	// version counts changes that may affect routing.
	version uint64
}

func newView() *view {
	return &view{
		entries:     map[string]*entry{},
		dataCentres: map[string]*dataCentre{},
		suspects:    map[string]*entry{},
		byAddr:      map[string]*entry{},
		byHash:      map[uint32]string{},
	}
}

func dataCentreHash(name string) uint32 { return mix(hashOf(name)) }

// dataCentre returns the named data centre and creates it if necessary.
func (v *view) dataCentre(name string, now time.Duration) *dataCentre {
	d := v.dataCentres[name]
	if d == nil {
		d = &dataCentre{members: map[string]*entry{}, lastAnswer: now}
		v.dataCentres[name] = d
		v.byHash[dataCentreHash(name)] = name
	}
	return d
}

// put sets a record and updates the bucket sums and indexes.
func (v *view) put(r Record, now time.Duration) *entry {
	e := v.entries[r.ID]
	if e == nil {
		e = &entry{Record: Record{State: StateDead}}
		v.entries[r.ID] = e
	} else {
		v.detach(e)
	}
	if e.State == StateDead && r.State != StateDead {
		e.aliveSince, e.replaced = now, false
	}
	e.Record, e.updated = r, now
	if r.State != StateDead {
		v.byAddr[r.Addr] = e
	}
	if r.State == StateSuspect {
		v.suspects[r.ID] = e
	}
	d := v.dataCentre(r.DataCentre, now)
	d.insert(e)
	d.sums[bucketOf(r.ID)] ^= r.sum()
	v.version++
	return e
}

// detach removes an entry from its data centre and the indexes.
func (v *view) detach(e *entry) {
	d := v.dataCentres[e.DataCentre]
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

// recordsInBuckets returns the records of the buckets in a mask, sorted by id.
func (v *view) recordsInBuckets(name string, mask uint64) []Record {
	d := v.dataCentres[name]
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

// dataCentreNames returns the names of the known data centres, sorted.
func (v *view) dataCentreNames() []string {
	names := make([]string, 0, len(v.dataCentres))
	for name := range v.dataCentres {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
