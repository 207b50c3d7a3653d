package explore

import (
	"encoding/binary"
	"fmt"
	"strings"
	"time"

	"fuchsiavane.org/core/once"
)

// OnceRules are the rules of at most once that a mutant breaks. The zero value
// is the protocol as it is.
type OnceRules struct {
	// BeginNow lets a new claim begin now, not where the last one ended.
	BeginNow bool
	// HoldUnconfirmed lets a holder use a claim that the store has not confirmed.
	HoldUnconfirmed bool
	// ReleaseUncut lets a leaving holder go on with keys that it has released.
	ReleaseUncut bool
	// SameRun lets a holder that starts again pass for its former run.
	SameRun bool
	// StrangerSaysNotRun lets an instance that doesn't own a key say "not-run".
	StrangerSaysNotRun bool
	// ForgetNoFloor lets a holder forget keys and go on running their like.
	ForgetNoFloor bool
}

// OnceBounds bound the system explored.
type OnceBounds struct {
	// Time is the number of time steps.
	Time int
	// Births are the birth times of the keys, in time steps.
	Births []int
	// Crashes and Leaves bound these events.
	Crashes, Leaves int
	// Edits bounds the edits that holders send to the store.
	Edits int
}

const (
	// unit is the length of one time step.
	unit = once.Millis(60_000)
	// skew is how far ahead the clock of the second holder is.
	skew = 2 * unit
	// shard is the shard of all keys.
	shard = 0
)

// policy takes claims three time steps ahead.
var policy = once.Policy{Length: 3 * time.Minute}

// limits forget after two time steps.
var limits = once.Limits{Keys: 10, AnswerBytes: 10, Retention: 2 * time.Minute}

// edit is a write on its way to the store, or its answer on the way back.
type edit struct {
	from     int // index of the holder; -1 if nobody waits for the answer
	revision int
	record   once.ShardClaims
	applied  bool // the store has decided
	won      bool
}

type holder struct {
	name    once.Holder
	owner   *once.Owner[struct{}]
	latest  int
	leaving bool
	waiting bool
	known   [4]bool
}

// onceSystem is two holders, one shard, a store and a network.
type onceSystem struct {
	rules    OnceRules
	bounds   OnceBounds
	now      int
	revision int
	record   once.ShardClaims
	holders  [2]holder
	edits    []edit
	sent     int
	crashes  int
	leaves   int
	keys     []once.Key
	runs     []int
	lie      bool
	steps    []step
	encoded  []byte
}

// stepKind is a kind of step.
type stepKind uint8

const (
	timePasses stepKind = iota
	planPreferred
	planNotPreferred
	leaves
	crashes
	forgets
	keyRuns
	keyRefused
	editApplied
	editAbandoned
	answerComes
	answerLost
)

// step is one step. at is the index of a holder or an edit, key that of a key.
type step struct {
	kind    stepKind
	at, key int
}

// stepNames has a format for each kind, with the holder or edit and the key.
var stepNames = [...]string{
	timePasses:       "time passes",
	planPreferred:    "%s reads the table and plans as preferred",
	planNotPreferred: "%s reads the table and plans as not preferred",
	leaves:           "%s leaves",
	crashes:          "%s crashes and starts again",
	forgets:          "%s forgets old keys",
	keyRuns:          "key %[2]d comes to %[1]s and runs",
	keyRefused:       "key %[2]d comes to %[1]s and is refused a slot",
	editApplied:      "edit %[3]d reaches the store",
	editAbandoned:    "edit %[3]d is given up, still on its way",
	answerComes:      "the answer to edit %[3]d comes",
	answerLost:       "the answer to edit %[3]d is lost",
}

// NewOnce returns the start of a system under rules and bounds.
func NewOnce(rules OnceRules, bounds OnceBounds) func() System {
	var keys []once.Key
	for i, birth := range bounds.Births {
		keys = append(keys, keyBorn(once.Millis(birth)*unit, i))
	}
	return func() System {
		s := &onceSystem{rules: rules, bounds: bounds, keys: keys, runs: make([]int, len(keys))}
		for i := range s.holders {
			s.start(i, 1)
		}
		return s
	}
}

// keyBorn makes a key of the shard.
func keyBorn(birth once.Millis, n int) once.Key {
	var k once.Key
	for i := n << 16; ; i++ {
		binary.BigEndian.PutUint64(k[:8], uint64(birth)<<16|0x7000)
		binary.BigEndian.PutUint32(k[8:12], 0x80000000|uint32(i))
		if k.Shard() == shard {
			return k
		}
	}
}

func (s *onceSystem) start(i, run int) {
	s.holders[i] = holder{
		name:  once.Holder{Instance: string(rune('a' + i)), Start: fmt.Sprint(run)},
		owner: once.NewOwner[struct{}](limits),
	}
}

// clock returns the time that a holder reads.
func (s *onceSystem) clock(i int) once.Millis {
	return once.Millis(s.now)*unit + once.Millis(i)*skew
}

// Steps implements System.
func (s *onceSystem) Steps() int {
	s.steps = s.steps[:0]
	if s.now < s.bounds.Time {
		s.add(timePasses, 0, 0)
	}
	for i := range s.holders {
		s.holderSteps(i)
	}
	for e := range s.edits {
		s.editSteps(e)
	}
	return len(s.steps)
}

func (s *onceSystem) add(kind stepKind, at, key int) { s.steps = append(s.steps, step{kind, at, key}) }

func (s *onceSystem) holderSteps(i int) {
	h := &s.holders[i]
	free := !h.waiting && !h.leaving
	if free && s.sent < s.bounds.Edits {
		s.add(planPreferred, i, 0)
		s.add(planNotPreferred, i, 0)
	}
	if free && s.leaves < s.bounds.Leaves {
		s.add(leaves, i, 0)
	}
	if s.crashes < s.bounds.Crashes {
		s.add(crashes, i, 0)
	}
	s.add(forgets, i, 0)
	for k := range s.keys {
		s.add(keyRuns, i, k)
		s.add(keyRefused, i, k)
	}
}

func (s *onceSystem) editSteps(e int) {
	switch edit := s.edits[e]; {
	case edit.applied:
		s.add(answerComes, e, 0)
		s.add(answerLost, e, 0)
	case edit.from >= 0:
		s.add(editApplied, e, 0)
		s.add(editAbandoned, e, 0)
	default:
		s.add(editApplied, e, 0)
	}
}

// Name implements System.
func (s *onceSystem) Name(n int) string {
	s.Steps()
	step := s.steps[n]
	if step.kind == timePasses {
		return stepNames[timePasses]
	}
	format := stepNames[step.kind]
	if !strings.Contains(format, "[") {
		return fmt.Sprintf(format, s.holders[step.at].name.Instance)
	}
	if step.kind >= editApplied {
		return fmt.Sprintf(strings.ReplaceAll(format, "%[3]d", "%d"), step.at)
	}
	return fmt.Sprintf(format, s.holders[step.at].name.Instance, step.key)
}

// Do implements System.
func (s *onceSystem) Do(n int) {
	s.Steps()
	at, key := s.steps[n].at, s.steps[n].key
	switch s.steps[n].kind {
	case timePasses:
		s.now++
	case planPreferred:
		s.plan(at, true)
	case planNotPreferred:
		s.plan(at, false)
	case leaves:
		s.leave(at)
	case crashes:
		s.crash(at)
	case forgets:
		s.forget(at)
	case keyRuns:
		s.arrive(at, key, true)
	case keyRefused:
		s.arrive(at, key, false)
	case editApplied:
		s.apply(at)
	case editAbandoned:
		s.abandon(at)
	case answerComes:
		s.deliver(at, true)
	case answerLost:
		s.deliver(at, false)
	}
}

func (s *onceSystem) plan(i int, preferred bool) {
	h := &s.holders[i]
	wanted := s.record
	if !wanted.Plan(h.name, preferred, s.clock(i), policy) {
		s.adopt(i, s.record)
		return
	}
	if s.rules.BeginNow && wanted.Current.Holder != s.record.Current.Holder {
		wanted.Current.From = min(wanted.Current.From, s.clock(i))
	}
	if s.rules.HoldUnconfirmed {
		s.adopt(i, wanted)
	}
	s.send(i, wanted)
}

func (s *onceSystem) send(i int, wanted once.ShardClaims) {
	s.sent++
	s.holders[i].waiting = true
	s.edits = append(s.edits, edit{from: i, revision: s.revision, record: wanted})
}

func (s *onceSystem) leave(i int) {
	h := &s.holders[i]
	s.leaves++
	h.leaving = true
	end := once.Millis(h.latest)
	if !s.rules.ReleaseUncut {
		end = h.owner.Truncate()[shard]
	}
	wanted := s.record
	if wanted.Release(h.name, end) {
		s.send(i, wanted)
	}
}

func (s *onceSystem) crash(i int) {
	s.crashes++
	run := s.crashes + 1
	if s.rules.SameRun {
		run = 1
	}
	for e := range s.edits {
		if s.edits[e].from == i {
			s.edits[e].from = -1 // still on its way
		}
	}
	s.start(i, run)
}

func (s *onceSystem) forget(i int) {
	h := &s.holders[i]
	if !s.rules.ForgetNoFloor {
		h.owner.Expire(s.clock(i))
		return
	}
	fresh := once.NewOwner[struct{}](limits)
	for _, held := range h.owner.Intervals(shard) {
		fresh.AddIntervals([once.Shards]once.Interval{shard: held})
	}
	h.owner, h.known = fresh, [4]bool{}
}

func (s *onceSystem) arrive(i, k int, runs bool) {
	h := &s.holders[i]
	verdict, entry := h.owner.Begin(s.keys[k], 1)
	switch {
	case verdict == once.Run && runs:
		s.runs[k]++
		h.known[k] = true
		h.owner.EndUnknown(entry)
	case verdict == once.Run:
		h.owner.EndNotRun(entry)
		s.sayNotRun(k)
	case verdict == once.Full:
		s.sayNotRun(k)
	case verdict == once.NotHeld && s.rules.StrangerSaysNotRun:
		s.sayNotRun(k)
	}
	if verdict == once.Run {
		h.latest = max(h.latest, int(s.keys[k].Timestamp())+1)
	}
}

func (s *onceSystem) sayNotRun(k int) { s.lie = s.lie || s.runs[k] > 0 }

func (s *onceSystem) apply(e int) {
	edit := &s.edits[e]
	edit.applied = true
	if edit.revision == s.revision {
		edit.won = true
		s.revision++
		s.record = edit.record
	}
	if edit.from < 0 {
		s.remove(e)
	}
}

func (s *onceSystem) abandon(e int) {
	s.holders[s.edits[e].from].waiting = false
	s.edits[e].from = -1
}

func (s *onceSystem) deliver(e int, comes bool) {
	edit := s.edits[e]
	s.remove(e)
	if edit.from < 0 {
		return
	}
	s.holders[edit.from].waiting = false
	if comes && edit.won {
		s.adopt(edit.from, edit.record)
	}
}

func (s *onceSystem) remove(e int) { s.edits = append(s.edits[:e:e], s.edits[e+1:]...) }

// adopt takes a record that the store holds.
func (s *onceSystem) adopt(i int, r once.ShardClaims) {
	if r.Current.Holder == s.holders[i].name {
		s.holders[i].owner.AddIntervals([once.Shards]once.Interval{shard: r.Current.Interval})
	}
}

// State implements System.
func (s *onceSystem) State() string {
	b := s.encoded[:0]
	b = encode(b, s.now, s.revision, s.sent, s.crashes, s.leaves, asInt(s.lie))
	b = encode(b, s.runs...)
	b = encodeRecord(b, &s.record)
	for e := range s.edits {
		edit := &s.edits[e]
		b = encode(b, edit.from, edit.revision, asInt(edit.applied), asInt(edit.won))
		b = encodeRecord(b, &edit.record)
	}
	for i := range s.holders {
		h := &s.holders[i]
		b = append(b, h.name.Start...)
		b = encode(b, h.latest, asInt(h.leaving), asInt(h.waiting), int(h.owner.MinTimestamp()))
		for _, known := range h.known {
			b = encode(b, asInt(known))
		}
		for _, held := range h.owner.Intervals(shard) {
			b = encode(b, int(held.From), int(held.To))
		}
	}
	s.encoded = b
	return string(b)
}

func encode(b []byte, values ...int) []byte {
	for _, v := range values {
		b = binary.AppendVarint(b, int64(v))
	}
	return append(b, '|')
}

func encodeRecord(b []byte, r *once.ShardClaims) []byte {
	for _, c := range []once.Claim{r.Current, r.Previous} {
		b = append(append(b, c.Instance...), c.Start...)
		b = encode(b, int(c.From), int(c.To))
	}
	return b
}

func asInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// Violation implements System.
func (s *onceSystem) Violation() string {
	for k, n := range s.runs {
		if n > 1 {
			return fmt.Sprintf("key %d ran %d times", k, n)
		}
	}
	if s.lie {
		return "a key that ran was called not-run"
	}
	return ""
}
