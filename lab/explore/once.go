package explore

import (
	"encoding/binary"
	"fmt"
	"strings"
	"time"

	"fuchsiavane.org/core/once"
)

// OnceRules selects the rules of at-most-once execution that a mutant omits.
// The zero value is the unchanged protocol.
type OnceRules struct {
	// ClaimFromNow starts the claim of a new holder now, not at the end of the previous
	// claim.
	ClaimFromNow bool
	// UseUnconfirmed lets a holder use a claim that the store has not accepted yet.
	UseUnconfirmed bool
	// ReleaseUntruncated lets a leaving holder go on running keys that it released.
	ReleaseUntruncated bool
	// SameStart gives a restarted holder the start id of its previous process.
	SameStart bool
	// NonOwnerSaysNotRun lets an instance that does not own a key report "not-run".
	NonOwnerSaysNotRun bool
	// ExpireWithoutMinTimestamp lets a holder discard its keys at any time, without
	// refusing further keys of their age.
	ExpireWithoutMinTimestamp bool
}

// OnceBounds limits the at-most-once system that is explored.
type OnceBounds struct {
	// TimeSteps is the maximum number of time steps.
	TimeSteps int
	// Timestamps are the creation times of the keys, in time steps.
	Timestamps []int
	// Crashes and Leaves are the maximum numbers of these events.
	Crashes, Leaves int
	// Edits is the maximum number of edits that holders send to the store.
	Edits int
}

const (
	// stepTime is the length of one time step.
	stepTime = once.Millis(60_000)
	// clockSkew is how far the clock of the second holder is ahead.
	clockSkew = 2 * stepTime
	// shard is the shard of every key.
	shard = 0
)

// claimPolicy claims three time steps ahead.
var claimPolicy = once.Policy{Length: 3 * time.Minute}

// ownerLimits let an owner expire keys after two time steps.
var ownerLimits = once.Limits{Keys: 10, AnswerBytes: 10, Retention: 2 * time.Minute}

// edit is a write in transit to the store, or its answer in transit back.
type edit struct {
	sender   int              // index of the holder; -1 if no holder waits for the answer
	revision int              // of the record that the edit changes
	record   once.ShardClaims // the record after the edit
	applied  bool             // the store has processed the edit
	accepted bool             // the store has stored the record
}

// holder is an instance that claims the shard.
type holder struct {
	name        once.Holder
	owner       *once.Owner[struct{}]
	keyLimit    int // exclusive end of the timestamps of the keys created so far
	leaving     bool
	editPending bool    // waits for the answer to an edit
	ran         [4]bool // by key, whether it ran here since the owner was created
}

// onceSystem has two holders, one shard, a store and a network.
type onceSystem struct {
	rules       OnceRules
	bounds      OnceBounds
	now         int              // in time steps
	revision    int              // of the record in the store
	record      once.ShardClaims // in the store
	holders     [2]holder
	edits       []edit
	sent        int // number of edits sent
	crashes     int
	leaves      int
	keys        []once.Key
	runs        []int  // by key
	falseNotRun bool   // a key that ran was reported as not run
	steps       []step // the possible next steps
	encoded     []byte // buffer of State
}

// stepKind is the kind of a step.
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
	answerArrives
	answerLost
)

// step is a possible step: target is the index of a holder or an edit, key that of
// a key.
type step struct {
	kind        stepKind
	target, key int
}

// stepNames holds the format of each kind; %s and %[1]s stand for the holder, %[2]d
// for the key and %[3]d for the edit.
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
	answerArrives:    "the answer to edit %[3]d comes",
	answerLost:       "the answer to edit %[3]d is lost",
}

// NewOnce returns a function that starts an at-most-once system.
func NewOnce(rules OnceRules, bounds OnceBounds) func() System {
	var keys []once.Key
	for i, timestamp := range bounds.Timestamps {
		keys = append(keys, newKey(once.Millis(timestamp)*stepTime, i))
	}
	return func() System {
		s := &onceSystem{rules: rules, bounds: bounds, keys: keys, runs: make([]int, len(keys))}
		for i := range s.holders {
			s.start(i, 1)
		}
		return s
	}
}

// newKey returns a key of the shard with a timestamp, another one for each n.
func newKey(timestamp once.Millis, n int) once.Key {
	var k once.Key
	for i := n << 16; ; i++ {
		binary.BigEndian.PutUint64(k[:8], uint64(timestamp)<<16|0x7000)
		binary.BigEndian.PutUint32(k[8:12], 0x80000000|uint32(i))
		if k.Shard() == shard {
			return k
		}
	}
}

// start resets a holder to a new process, whose start id is run.
func (s *onceSystem) start(i, run int) {
	s.holders[i] = holder{
		name:  once.Holder{Instance: string(rune('a' + i)), Start: fmt.Sprint(run)},
		owner: once.NewOwner[struct{}](ownerLimits),
	}
}

// clock returns the time on the clock of a holder.
func (s *onceSystem) clock(i int) once.Millis {
	return once.Millis(s.now)*stepTime + once.Millis(i)*clockSkew
}

// Steps implements System.
func (s *onceSystem) Steps() int {
	s.steps = s.steps[:0]
	if s.now < s.bounds.TimeSteps {
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

// add adds a possible step.
func (s *onceSystem) add(kind stepKind, i, key int) { s.steps = append(s.steps, step{kind, i, key}) }

// holderSteps adds the possible steps of a holder.
func (s *onceSystem) holderSteps(i int) {
	h := &s.holders[i]
	free := !h.editPending && !h.leaving
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

// editSteps adds the possible steps of an edit in transit.
func (s *onceSystem) editSteps(e int) {
	switch edit := s.edits[e]; {
	case edit.applied:
		s.add(answerArrives, e, 0)
		s.add(answerLost, e, 0)
	case edit.sender >= 0:
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
		return fmt.Sprintf(format, s.holders[step.target].name.Instance)
	}
	if step.kind >= editApplied {
		return fmt.Sprintf(strings.ReplaceAll(format, "%[3]d", "%d"), step.target)
	}
	return fmt.Sprintf(format, s.holders[step.target].name.Instance, step.key)
}

// Do implements System.
func (s *onceSystem) Do(n int) {
	s.Steps()
	target, key := s.steps[n].target, s.steps[n].key
	switch s.steps[n].kind {
	case timePasses:
		s.now++
	case planPreferred:
		s.plan(target, true)
	case planNotPreferred:
		s.plan(target, false)
	case leaves:
		s.leave(target)
	case crashes:
		s.crash(target)
	case forgets:
		s.expire(target)
	case keyRuns:
		s.arrive(target, key, true)
	case keyRefused:
		s.arrive(target, key, false)
	case editApplied:
		s.apply(target)
	case editAbandoned:
		s.abandon(target)
	case answerArrives:
		s.deliver(target, true)
	case answerLost:
		s.deliver(target, false)
	}
}

// plan makes a holder read the record and send the edit that it plans. If it plans
// none, it adopts the record.
func (s *onceSystem) plan(i int, preferred bool) {
	h := &s.holders[i]
	planned := s.record
	if !planned.Plan(h.name, preferred, s.clock(i), claimPolicy) {
		s.adopt(i, s.record)
		return
	}
	if s.rules.ClaimFromNow && planned.Current.Holder != s.record.Current.Holder {
		planned.Current.From = min(planned.Current.From, s.clock(i))
	}
	if s.rules.UseUnconfirmed {
		s.adopt(i, planned)
	}
	s.send(i, planned)
}

func (s *onceSystem) send(i int, planned once.ShardClaims) {
	s.sent++
	s.holders[i].editPending = true
	s.edits = append(s.edits, edit{sender: i, revision: s.revision, record: planned})
}

// leave makes a holder leave and send the edit that releases its claims, if it has
// any.
func (s *onceSystem) leave(i int) {
	h := &s.holders[i]
	s.leaves++
	h.leaving = true
	end := once.Millis(h.keyLimit)
	if !s.rules.ReleaseUntruncated {
		end = h.owner.Truncate()[shard]
	}
	planned := s.record
	if planned.Release(h.name, end) {
		s.send(i, planned)
	}
}

// crash replaces a holder by a new process. Its edits stay in transit.
func (s *onceSystem) crash(i int) {
	s.crashes++
	run := s.crashes + 1
	if s.rules.SameStart {
		run = 1
	}
	for e := range s.edits {
		if s.edits[e].sender == i {
			s.edits[e].sender = -1 // still in transit
		}
	}
	s.start(i, run)
}

// expire makes a holder discard expired keys, or all keys in the mutant.
func (s *onceSystem) expire(i int) {
	h := &s.holders[i]
	if !s.rules.ExpireWithoutMinTimestamp {
		h.owner.Expire(s.clock(i))
		return
	}
	fresh := once.NewOwner[struct{}](ownerLimits)
	for _, interval := range h.owner.Intervals(shard) {
		fresh.AddIntervals([once.Shards]once.Interval{shard: interval})
	}
	h.owner, h.ran = fresh, [4]bool{}
}

// arrive hands a key to a holder. If the holder begins it, runs says whether it runs
// or is refused a slot.
func (s *onceSystem) arrive(i, key int, runs bool) {
	h := &s.holders[i]
	verdict, entry := h.owner.Begin(s.keys[key], 1)
	switch {
	case verdict == once.Run && runs:
		s.runs[key]++
		h.ran[key] = true
		h.owner.EndUnknown(entry)
	case verdict == once.Run:
		h.owner.EndNotRun(entry)
		s.reportNotRun(key)
	case verdict == once.Full:
		s.reportNotRun(key)
	case verdict == once.NotHeld && s.rules.NonOwnerSaysNotRun:
		s.reportNotRun(key)
	}
	if verdict == once.Run {
		h.keyLimit = max(h.keyLimit, int(s.keys[key].Timestamp())+1)
	}
}

// reportNotRun reports a key as not run, which is false if it ran.
func (s *onceSystem) reportNotRun(key int) { s.falseNotRun = s.falseNotRun || s.runs[key] > 0 }

// apply makes the store process an edit. It accepts the edit if no other edit was
// accepted since the record was read.
func (s *onceSystem) apply(e int) {
	edit := &s.edits[e]
	edit.applied = true
	if edit.revision == s.revision {
		edit.accepted = true
		s.revision++
		s.record = edit.record
	}
	if edit.sender < 0 {
		s.remove(e)
	}
}

// abandon makes a holder stop waiting for an edit, which stays in transit.
func (s *onceSystem) abandon(e int) {
	s.holders[s.edits[e].sender].editPending = false
	s.edits[e].sender = -1
}

// deliver ends an edit; its answer reaches the holder or is lost.
func (s *onceSystem) deliver(e int, arrives bool) {
	edit := s.edits[e]
	s.remove(e)
	if edit.sender < 0 {
		return
	}
	s.holders[edit.sender].editPending = false
	if arrives && edit.accepted {
		s.adopt(edit.sender, edit.record)
	}
}

func (s *onceSystem) remove(e int) { s.edits = append(s.edits[:e:e], s.edits[e+1:]...) }

// adopt adds the interval of a claim to its holder if the record names the holder.
func (s *onceSystem) adopt(i int, r once.ShardClaims) {
	if r.Current.Holder == s.holders[i].name {
		s.holders[i].owner.AddIntervals([once.Shards]once.Interval{shard: r.Current.Interval})
	}
}

// State implements System.
func (s *onceSystem) State() string {
	b := s.encoded[:0]
	b = encode(b, s.now, s.revision, s.sent, s.crashes, s.leaves, asInt(s.falseNotRun))
	b = encode(b, s.runs...)
	b = encodeRecord(b, &s.record)
	for e := range s.edits {
		edit := &s.edits[e]
		b = encode(b, edit.sender, edit.revision, asInt(edit.applied), asInt(edit.accepted))
		b = encodeRecord(b, &edit.record)
	}
	for i := range s.holders {
		h := &s.holders[i]
		b = append(b, h.name.Start...)
		b = encode(b, h.keyLimit, asInt(h.leaving), asInt(h.editPending), int(h.owner.MinTimestamp()))
		for _, known := range h.ran {
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
	if s.falseNotRun {
		return "a key that ran was called not-run"
	}
	return ""
}
