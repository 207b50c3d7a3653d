package settingsync

import (
	"bytes"
	"testing"

	"pgregory.net/rapid"
)

func TestPatchGivesTheDocument(t *testing.T) {
	text := rapid.SliceOfN(rapid.SampledFrom([]byte("ab")), 0, 20)
	rapid.Check(t, func(t *rapid.T) {
		from, to := text.Draw(t, "from"), text.Draw(t, "to")
		p := diff(from, to)
		got, err := p.apply(from)
		if err != nil || !bytes.Equal(got, to) {
			t.Fatalf("%q to %q by %+v gives %q, %v", from, to, p, got, err)
		}
		if other := text.Draw(t, "other"); !bytes.Equal(other, from) {
			if got, err := p.apply(other); err == nil && !bytes.Equal(got, to) {
				t.Fatalf("the patch gave %q on another document", got)
			}
		}
	})
}
