package daemon

import (
	"os"
	"runtime"
	"runtime/debug"

	"github.com/google/uuid"
)

const (
	// maxProcs bounds the threads that run Go code. With few, a hand-over
	// between goroutines of one call seldom wakes another thread, and the
	// daemon leaves the instance's processors to the upstream.
	maxProcs = 2
	// gcPercent lets the heap grow between collections.
	gcPercent = 400
	// memoryLimit is the size, in bytes, at which the collector works harder
	// instead. It leaves room for what Go does not count.
	memoryLimit = 48 << 20
)

// TuneRuntime sets the Go runtime for the daemon's process. The environment's
// GOMAXPROCS, GOGC and GOMEMLIMIT go before it.
func TuneRuntime() {
	uuid.EnableRandPool()
	if os.Getenv("GOMAXPROCS") == "" {
		runtime.GOMAXPROCS(min(maxProcs, runtime.GOMAXPROCS(0)))
	}
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(gcPercent)
	}
	if os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(memoryLimit)
	}
}
