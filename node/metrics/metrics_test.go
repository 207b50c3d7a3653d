package metrics

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"fuchsiavane.org/node/call"
)

// lines returns the written lines of a metric.
func lines(m *Metrics, name string) []string {
	var b bytes.Buffer
	m.Write(&b)
	var out []string
	for line := range strings.Lines(b.String()) {
		if strings.HasPrefix(line, name+"{") {
			out = append(out, strings.TrimSpace(line))
		}
	}
	return out
}

func TestCallsAreCountedByCallerAndRank(t *testing.T) {
	is := is.New(t)
	m := New()
	m.ObserveCall("registry", "hut", "lookup", call.Ran, call.RefusedNone, time.Millisecond)
	m.ObserveCall("registry", "hut", "lookup", call.Ran, call.RefusedNone, time.Millisecond)
	is.Equal(lines(m, "fuchsiavane_calls_total"), []string{
		`fuchsiavane_calls_total{service="registry",caller="hut",rank="lookup",outcome="ran",refusal=""} 2`,
	})
	is.True(len(lines(m, "fuchsiavane_call_seconds_bucket")) > 0)
}

// TestSeriesAreBounded checks that the number of series stays bounded and that every
// call is counted, however many names callers send.
func TestSeriesAreBounded(t *testing.T) {
	is := is.New(t)
	m := New()
	const calls = 20000
	for i := range calls {
		m.ObserveCall(fmt.Sprintf("service-%d", i%97), fmt.Sprintf("caller-%d", i%1009), fmt.Sprintf("rank-%d", i%53), call.Ran, call.RefusedNone, time.Millisecond)
	}
	total := 0
	counted := lines(m, "fuchsiavane_calls_total")
	for _, line := range counted {
		var n int
		_, err := fmt.Sscan(line[strings.LastIndex(line, " ")+1:], &n)
		is.NoErr(err)
		total += n
	}
	is.Equal(total, calls)
	is.True(len(counted) <= maxSeries+maxRanks+1)
}

// TestLabelValues checks that names from requests do not break the text format.
func TestLabelValues(t *testing.T) {
	is := is.New(t)
	is.Equal(labelValue("a\"b\\c\nd\xff"), `"a\"b\\c_d_"`)
	m := New()
	m.ObserveCall("s", "x\",rank=\"forged\"} 9\n", "r", call.Ran, call.RefusedNone, time.Millisecond)
	is.Equal(len(lines(m, "fuchsiavane_calls_total")), 1)
}
