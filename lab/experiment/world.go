package experiment

import (
	"fmt"
	"time"

	"fuchsiavane.org/core/admission"
	"fuchsiavane.org/core/level"
)

// request is one send of a caller's request.
type request struct {
	id, caller string
	rank       int
	deadline   time.Time
	// retries is what is left of the retry budget of the call tree.
	retries int
	// work is the upstream time spent on it so far.
	work time.Duration
	// nested is set once a run works for it.
	nested bool
	// ended is set when the caller has its answer or has given up.
	ended bool
	whole bool
	// cancels give back what the request holds, when it is cancelled.
	cancels []func()
}

// answer is what a call gets.
type answer struct {
	whole bool
	// notRun is set when no upstream was given the request.
	notRun bool
	level  uint32
}

// instance is one upstream with its daemon's gate.
type instance struct {
	service int
	gate    gate
	// pending counts the requests sent to it and not answered.
	pending int
	busy    int
	queue   []func()
}

// world is a run of one scenario in one mode.
type world struct {
	*loop
	scenario Scenario
	mode     Mode
	services [][]*instance
	views    []*level.View // one for each entry daemon
	tokens   float64       // of the retry ratio
	tally    *tally
	sent     int
}

func newWorld(seed uint64, s Scenario, m Mode) *world {
	w := &world{loop: newLoop(seed), scenario: s, mode: m, tally: newTally(s)}
	for i := range chain {
		var instances []*instance
		for range chain[i].instances {
			instances = append(instances, &instance{service: i, gate: w.newGate(i)})
		}
		w.services = append(w.services, instances)
	}
	for range chain[0].instances {
		w.views = append(w.views, level.NewView())
	}
	if s.restarts {
		w.after(warmTime, w.restart)
	}
	for rank := range ranks {
		w.arrive(rank)
	}
	return w
}

func (w *world) newGate(service int) gate {
	slots := chain[service].threads
	switch w.mode {
	case NoControl:
		return openGate{}
	case StaticLimit:
		return &staticGate{slots: slots}
	}
	return newCoreGate(w.loop, slots)
}

// restart replaces the deepest instances by new ones; what the old ones run is
// finished there.
func (w *world) restart() {
	deep := len(chain) - 1
	for i := range w.services[deep] {
		w.services[deep][i] = &instance{service: deep, gate: w.newGate(deep)}
	}
}

func (w *world) triggered() bool {
	return w.since() >= warmTime && w.since() < warmTime+w.scenario.TriggerTime
}

// arrive schedules the callers' requests of a rank, one after another.
func (w *world) arrive(rank int) {
	rate := deepest().capacity() * ordinaryLoad * mix[rank]
	if w.triggered() {
		rate *= w.scenario.demand[rank]
	}
	gap := time.Duration(w.random.ExpFloat64() / rate * float64(time.Second))
	// A long gap must not hide the begin of a flood.
	const longest = 20 * time.Millisecond
	if gap > longest {
		w.after(longest, func() { w.arrive(rank) })
		return
	}
	w.after(gap, func() {
		w.send(w.tally.arrived(rank, w.since()), rank, w.scenario.resends)
		w.arrive(rank)
	})
}

// resendPause is the wait of a caller before it sends a request again.
const resendPause = 50 * time.Millisecond

// send is one send of a caller's request, which is sent again if it fails.
func (w *world) send(o *origin, rank, resends int) {
	w.sent++
	r := &request{
		id: fmt.Sprintf("%08x-%08x", w.random.Uint32(), w.sent), caller: fmt.Sprintf("caller-%d", w.random.IntN(20)),
		rank: rank, deadline: w.now.Add(callTimeout), retries: 2,
	}
	end := func(whole bool) {
		if r.ended {
			return
		}
		r.ended, r.whole = true, whole
		w.tally.answered(o, whole)
		if w.mode == Fuchsiavane && !whole {
			w.cancel(r)
		}
		if !whole && resends > 0 {
			w.after(resendPause, func() { w.send(o, rank, resends-1) })
		}
	}
	w.enter(r, func(a answer) { end(a.whole) })
	if !r.ended {
		w.tally.started(r, w.since())
		w.after(callTimeout, func() { end(false) })
	}
}

func (w *world) cancel(r *request) {
	for _, cancel := range r.cancels {
		cancel()
	}
}

// enter is the entry daemon: it refuses by the level of the call path.
func (w *world) enter(r *request, done func(answer)) {
	view := w.views[w.random.IntN(len(w.views))]
	key := level.Key{Service: "first", Path: "GET /", Rank: rankNames[r.rank]}
	if w.mode == Fuchsiavane && level.Refuses(view.Level(w.now, key), r.id) {
		done(answer{notRun: true})
		return
	}
	w.call(0, r, 0, func(a answer) {
		if a.level > 0 || !a.notRun {
			view.Record(w.now, key, a.level)
		}
		done(a)
	})
}

// call sends a request to an instance of a service, and again to another while
// that is allowed.
func (w *world) call(service int, r *request, tries int, done func(answer)) {
	at := w.pick(service)
	at.pending++
	answered := false
	finish := func(a answer) {
		if answered {
			return
		}
		answered = true
		at.pending--
		if !a.whole && w.again(r, a, tries) {
			w.call(service, r, tries+1, done)
			return
		}
		done(a)
	}
	if w.mode == Fuchsiavane {
		r.cancels = append(r.cancels, func() {
			if !answered {
				answered = true
				at.pending--
			}
		})
	} else {
		w.after(callTimeout, func() { finish(answer{}) })
	}
	w.after(hopTime, func() {
		w.serve(at, r, func(a answer) { w.after(hopTime, func() { finish(a) }) })
	})
}

// retryRatio is the setting retry_ratio, tokenBurst its burst, and hopRetries
// the retries at each hop without fuchsiavane.
const (
	retryRatio = 0.1
	tokenBurst = 10
	hopRetries = 1
)

// again decides whether a failed call is sent again.
func (w *world) again(r *request, a answer, tries int) bool {
	if w.mode != Fuchsiavane {
		return tries < hopRetries
	}
	if tries == 0 {
		w.tokens = min(w.tokens+retryRatio, tokenBurst)
	}
	if !a.notRun || r.ended || level.Refuses(a.level, r.id) || r.retries == 0 || w.tokens < 1 {
		return false
	}
	r.retries--
	w.tokens--
	return true
}

// pick takes the better of two random instances.
func (w *world) pick(service int) *instance {
	instances := w.services[service]
	a, b := instances[w.random.IntN(len(instances))], instances[w.random.IntN(len(instances))]
	if b.pending < a.pending {
		return b
	}
	return a
}

// serve is the daemon at the upstream.
func (w *world) serve(at *instance, r *request, done func(answer)) {
	if r.ended && w.mode == Fuchsiavane {
		return
	}
	decided := false
	at.gate.enter(r, func(admitted bool) {
		decided = true
		if !admitted {
			done(answer{notRun: true, level: at.gate.level(r.rank)})
			return
		}
		w.runAt(at, r, done)
	})
	if !decided {
		r.cancels = append(r.cancels, func() {
			if !decided {
				decided = true
				at.gate.cancel(r)
			}
		})
	}
}

// refusalTime is the time in which an upstream refuses by itself.
const refusalTime = time.Millisecond

// runAt is the upstream: it works once it has a thread, and then calls on.
func (w *world) runAt(at *instance, r *request, done func(answer)) {
	began := w.now
	left, working := false, false
	var worked time.Time
	leave := func(s admission.Sample, thread bool) {
		left = true
		if thread {
			at.free()
		}
		at.gate.leave(r, s)
	}
	if w.refuses(at) {
		w.after(refusalTime, func() {
			if !left {
				leave(admission.Sample{Overloaded: true}, false)
				done(answer{level: at.gate.level(r.rank)})
			}
		})
		return
	}
	started := false
	r.cancels = append(r.cancels, func() {
		if left {
			return
		}
		if working {
			r.work += w.now.Sub(worked)
		}
		leave(admission.Sample{Abandoned: true}, started)
	})
	finish := func(whole bool, below uint32) {
		if left {
			return
		}
		leave(admission.Sample{Latency: w.now.Sub(began), Abandoned: !whole}, true)
		done(answer{whole: whole, level: max(below, at.gate.level(r.rank))})
	}
	at.take(func() bool {
		if left {
			return false
		}
		started, working, worked = true, true, w.now
		work := w.work(at.service)
		w.after(work, func() {
			if left {
				return
			}
			working = false
			r.work += work
			if at.service == len(chain)-1 {
				finish(true, 0)
				return
			}
			r.nested = true
			w.call(at.service+1, r, 0, func(a answer) { finish(a.whole, a.level) })
		})
		return true
	})
}

// refuses reports whether the upstream sheds a new request by itself.
func (w *world) refuses(at *instance) bool {
	return w.scenario.refuseAt > 0 && w.triggered() && at.service == len(chain)-1 && at.busy >= w.scenario.refuseAt
}

// work draws the time that a request takes: half fixed, half exponential.
func (w *world) work(service int) time.Duration {
	mean := float64(chain[service].work)
	if w.scenario.upperWork > 0 && service < len(chain)-1 {
		mean = float64(w.scenario.upperWork)
	}
	if w.scenario.slow != nil && w.triggered() && service == len(chain)-1 {
		mean *= w.scenario.slow(w.since() - warmTime)
	}
	return time.Duration(mean * (0.5 + 0.5*w.random.ExpFloat64()))
}

// take gives a thread to a run now or later. start reports whether it uses it.
func (at *instance) take(start func() bool) {
	if at.busy >= chain[at.service].threads {
		at.queue = append(at.queue, func() {
			if !start() {
				at.free()
			}
		})
		return
	}
	at.busy++
	start()
}

// free gives a thread to the next run.
func (at *instance) free() {
	if len(at.queue) == 0 {
		at.busy--
		return
	}
	next := at.queue[0]
	at.queue = at.queue[1:]
	next()
}
