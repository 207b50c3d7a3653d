package daemon

import (
	"os"
	"runtime"
	"runtime/debug"

	"github.com/google/uuid"
)

const (
	// maxProcs is the maximum of GOMAXPROCS. With few threads, a hand-over between
	// the goroutines of a call rarely wakes another thread, and the instance's
	// processors remain for the upstream.
	maxProcs = 2
	// gcPercent is the default of GOGC: the heap may grow to five times its live size
	// between collections.
	gcPercent = 400
	// memoryLimit is the default of GOMEMLIMIT in bytes, beside the memory for request
	// bodies. Above it collections run more often despite gcPercent. It leaves room for
	// memory that the Go runtime does not count.
	memoryLimit = 48 << 20
)

// TuneRuntime configures the Go runtime of the daemon's process, which has bodyMemory MB
// for request bodies. The environment variables GOMAXPROCS, GOGC and GOMEMLIMIT take
// precedence.
func TuneRuntime(bodyMemory int) {
	uuid.EnableRandPool()
	if os.Getenv("GOMAXPROCS") == "" {
		runtime.GOMAXPROCS(min(maxProcs, runtime.GOMAXPROCS(0)))
	}
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(gcPercent)
	}
	if os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(memoryLimit + int64(bodyMemory)<<20)
	}
}
