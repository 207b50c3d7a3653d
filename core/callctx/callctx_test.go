package callctx

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// TestDecodeReversesEncode checks that a context whose names are within their bound
// survives a round trip, in characters that are allowed in a header.
func TestDecodeReversesEncode(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		name := rapid.StringN(0, -1, MaxNameBytes)
		c := Context{
			RequestID: rapid.StringN(0, -1, 36).Draw(t, "id"),
			Run:       rapid.StringN(0, -1, 36).Draw(t, "run"),
			Rank:      name.Draw(t, "rank"),
			Caller:    name.Draw(t, "caller"),
			Deadline:  time.UnixMicro(rapid.Int64().Draw(t, "deadline")),
		}
		encoded := c.Encode()
		if strings.ContainsFunc(encoded, func(r rune) bool { return r <= ' ' || r >= 0x7f }) {
			t.Fatalf("%q contains characters that are not allowed in a header", encoded)
		}
		got, err := Decode(encoded)
		if err != nil {
			t.Fatal(err)
		}
		if got != c {
			t.Fatalf("want %+v, got %+v", c, got)
		}
	})
}

func TestDecodeRefuses(t *testing.T) {
	is := is.New(t)
	for _, s := range []string{"", "1;a;b;c;d", "2;a;b;c;d;0", "1;a;b;c;d;x", "1;%4;b;c;d;0", "1;%zz;b;c;d;0", "1;" + strings.Repeat("a", MaxBytes) + ";;;;0"} {
		_, err := Decode(s)
		is.True(err != nil)
	}
}

func FuzzDecode(f *testing.F) {
	f.Add("1;request;run;rank;caller;1000000")
	f.Fuzz(func(t *testing.T, s string) {
		c, err := Decode(s)
		if err != nil {
			return
		}
		decoded, err := Decode(c.Encode())
		if err != nil && len(c.Encode()) <= MaxBytes {
			t.Fatal(err)
		}
		if err == nil && decoded != c {
			t.Fatalf("%+v decoded as %+v after encoding", c, decoded)
		}
	})
}
