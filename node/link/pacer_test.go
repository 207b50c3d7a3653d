package link

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

func TestPacerBoundsTheTotalRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := &pacer{rate: 1 << 20}
		start := time.Now()
		var group sync.WaitGroup
		for range 4 {
			group.Go(func() {
				for range 64 {
					is.NoErr(p.wait(context.Background(), 16<<10))
				}
			})
		}
		group.Wait()
		elapsed := time.Since(start)
		is.True(elapsed > 4*time.Second-2*bulkBurst-20*time.Millisecond) // 4 MiB at 1 MiB/s
		is.True(elapsed <= 4*time.Second)
	})
}

func TestPacerEndsWithTheContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := &pacer{rate: 1}
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		is.NoErr(p.wait(ctx, 100))
		is.Equal(p.wait(ctx, 1), context.DeadlineExceeded)
	})
}
