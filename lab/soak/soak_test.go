package soak

import (
	"testing"
	"time"
)

// ciSeeds are the seeds that CI runs; together they draw every kind of fault. A seed
// that ever failed stays in the list, with a line on its cause.
var ciSeeds = []uint64{1, 100, 102}

func TestSoak(t *testing.T) {
	for _, seed := range ciSeeds {
		report, err := Run(Config{Seed: seed, Instances: 4, Callers: 2, Length: 4 * time.Second, Folder: t.TempDir()})
		if err != nil {
			t.Fatal(err)
		}
		t.Logf("seed %d: whole %d, refused %d, failed %d, cut %d", seed, report.Succeeded, report.Refused, report.Failed, report.Incomplete)
		for _, broken := range report.Violations {
			t.Errorf("seed %d: %s", seed, broken)
		}
		if t.Failed() {
			t.Logf("faults: %q", report.Faults)
		}
	}
}
