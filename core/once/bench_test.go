package once

import (
	"encoding/binary"
	"fmt"
	"testing"
	"time"
)

// BenchmarkBegin measures the decision on new keys that end with a kept
// answer.
func BenchmarkBegin(b *testing.B) {
	o := NewOwner[int](Limits{Keys: b.N + 1, AnswerBytes: 1 << 20, Retention: time.Hour})
	var claims [Shards]Interval
	for shard := range claims {
		claims[shard] = Interval{0, 1 << 47}
	}
	o.AddIntervals(claims)
	var k Key
	b.ReportAllocs()
	for i := range b.N {
		binary.BigEndian.PutUint64(k[:8], uint64(1_700_000_000_000+i/100)<<16|0x7000)
		binary.BigEndian.PutUint64(k[8:], 0x8000000000000000|uint64(i))
		_, e := o.Begin(k, 1)
		o.EndFinished(e, 1024)
	}
}

// BenchmarkPreferredInstance assigns all shards to 18 instances, as at each
// change of the live instances.
func BenchmarkPreferredInstance(b *testing.B) {
	var ids []string
	for i := range 18 {
		ids = append(ids, fmt.Sprint("registry-", i))
	}
	for range b.N {
		for shard := range Shards {
			PreferredInstance(shard, ids)
		}
	}
}
