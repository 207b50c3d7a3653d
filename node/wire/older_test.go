package wire

import (
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"
)

// olderFrame and olderRequest have the fields of a frame and a request head that the
// version 79847c2 knows.
type olderFrame struct {
	Type    Type          `cbor:"1,keyasint"`
	Stream  uint64        `cbor:"2,keyasint,omitempty"`
	Request *olderRequest `cbor:"4,keyasint,omitempty"`
	Data    []byte        `cbor:"6,keyasint,omitempty"`
	End     bool          `cbor:"7,keyasint,omitempty"`
}

type olderRequest struct {
	ID      string `cbor:"1,keyasint"`
	Run     string `cbor:"2,keyasint"`
	Service string `cbor:"3,keyasint"`
	Nested  bool   `cbor:"14,keyasint,omitempty"`
	Age     int64  `cbor:"18,keyasint,omitempty"`
}

// TestOlderDaemonsReadRequests checks that a daemon which does not know the fields for
// repeats, body lengths and rate limits reads the rest of a request.
func TestOlderDaemonsReadRequests(t *testing.T) {
	is := is.New(t)
	sent := encode(t, &Frame{Type: TypeRequest, Stream: 7, Data: []byte("part"), Request: &Request{
		ID: "root", Run: "run-1", Service: "desk", Nested: true, Age: 250, Repeat: true, BodyLength: 90_000, RateLimit: 16,
	}})
	var got olderFrame
	rest, err := decMode.UnmarshalFirst(sent, &got)
	is.NoErr(err)
	is.Equal(len(rest), 0)
	is.Equal(*got.Request, olderRequest{ID: "root", Run: "run-1", Service: "desk", Nested: true, Age: 250})
	is.Equal(string(got.Data), "part")
	var again Frame // and the reverse: fields that an older daemon does not send
	_, err = decMode.UnmarshalFirst(encodeOlder(t, &got), &again)
	is.NoErr(err)
	is.True(!again.Request.Repeat)
	is.Equal(again.Request.BodyLength, 0)
	is.Equal(again.Request.RateLimit, 0.0)
}

func encodeOlder(t *testing.T, f *olderFrame) []byte {
	t.Helper()
	data, err := cbor.Marshal(f)
	if err != nil {
		t.Fatal(err)
	}
	return data
}
