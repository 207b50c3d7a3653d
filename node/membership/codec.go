package membership

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"fuchsiavane.org/core/member"
)

const (
	// maxDatagram is the largest datagram sent, in bytes; larger messages go
	// over a stream.
	maxDatagram = 1200
	// maxStream bounds a message over a stream, in bytes.
	maxStream = 8 << 20
	// maxElements bounds the records of one message.
	maxElements = 64 << 10
	// maxName bounds names and addresses, in bytes.
	maxName = 128
)

// envelope is a message over a stream, whose connection doesn't tell the
// sender's peer port.
type envelope struct {
	From    string         `cbor:"1,keyasint"`
	Message member.Message `cbor:"2,keyasint"`
}

var decMode = mustDecMode()

func mustDecMode() cbor.DecMode {
	mode, err := cbor.DecOptions{
		MaxNestedLevels:  8,
		MaxArrayElements: maxElements,
		MaxMapPairs:      1024,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// Encode returns the bytes of a message as they stand in a datagram before the
// seal.
func Encode(m *member.Message) ([]byte, error) {
	data, err := cbor.Marshal(m)
	return data, errors.Wrap(err, "membership: message")
}

func decode(data []byte) (*member.Message, error) {
	var m member.Message
	if err := decMode.Unmarshal(data, &m); err != nil {
		return nil, errors.Wrap(err, "membership: message")
	}
	return &m, check(&m)
}

// check reports a message that breaks a rule of the protocol.
func check(m *member.Message) error {
	if m.Kind < member.KindPing || m.Kind > member.KindRecords {
		return errors.Errorf("membership: unknown kind %d", m.Kind)
	}
	if m.From == "" || len(m.From) > maxName || len(m.FromDataCentre) > maxName || len(m.DataCentre) > maxName {
		return errors.New("membership: sender without a name, or too long")
	}
	for _, records := range [][]member.Record{m.Updates, m.Records} {
		for i := range records {
			if err := checkRecord(&records[i]); err != nil {
				return err
			}
		}
	}
	return nil
}

func checkRecord(r *member.Record) error {
	for _, name := range []string{r.ID, r.Service, r.Region, r.DataCentre, r.Addr} {
		if name == "" || len(name) > maxName {
			return errors.Errorf("membership: record of %q lacks a name, or one is too long", r.ID)
		}
	}
	if r.State > member.StateDead {
		return errors.Errorf("membership: record of %q has state %d", r.ID, r.State)
	}
	return nil
}
