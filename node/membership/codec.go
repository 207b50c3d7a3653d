package membership

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"fuchsiavane.org/core/member"
)

const (
	// maxDatagramBytes is the size of the largest datagram sent; larger messages
	// go over a stream.
	maxDatagramBytes = 1200
	// maxStreamBytes is the maximum size of a message received over a stream.
	maxStreamBytes = 8 << 20
	// maxElements is the maximum number of records in one message.
	maxElements = 64 << 10
	// maxNameBytes is the maximum length of a name or an address.
	maxNameBytes = 128
)

// envelope is a message sent over a stream. It carries the sender's peer address,
// which the source port of the connection does not reveal.
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

// Encode returns the CBOR encoding of a message, which is the payload of a
// datagram before it is sealed.
func Encode(m *member.Message) ([]byte, error) {
	data, err := cbor.Marshal(m)
	return data, errors.Wrap(err, "membership: encode message")
}

func decode(data []byte) (*member.Message, error) {
	var m member.Message
	if err := decMode.Unmarshal(data, &m); err != nil {
		return nil, errors.Wrap(err, "membership: decode message")
	}
	return &m, checkMessage(&m)
}

// checkMessage returns an error if a message violates the protocol.
func checkMessage(m *member.Message) error {
	if m.Kind < member.KindPing || m.Kind > member.KindRecords {
		return errors.Errorf("membership: unknown message kind %d", m.Kind)
	}
	if m.From == "" || len(m.From) > maxNameBytes || len(m.FromDataCentre) > maxNameBytes || len(m.DataCentre) > maxNameBytes {
		return errors.New("membership: message has no sender name, or a name that is too long")
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
		if name == "" || len(name) > maxNameBytes {
			return errors.Errorf("membership: record of %q has a missing or too long name", r.ID)
		}
	}
	if r.State > member.StateDead {
		return errors.Errorf("membership: record of %q has unknown state %d", r.ID, r.State)
	}
	return nil
}
