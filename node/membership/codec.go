package membership

import (
	"slices"

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
	// maxResponseHeaderBytes is the maximum size of the header of a response to a
	// stream.
	maxResponseHeaderBytes = 16 << 10
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

// decode decodes a message. Records that are not known are left out and reported by
// the second result.
func decode(data []byte) (m *member.Message, ignored, err error) {
	m = &member.Message{}
	if err := decMode.Unmarshal(data, m); err != nil {
		return nil, nil, errors.Wrap(err, "membership: decode message")
	}
	ignored, err = checkMessage(m)
	return m, ignored, err
}

// checkMessage returns an error if a message violates the protocol. It removes records
// that violate it, and returns the error of the first of them as ignored.
func checkMessage(m *member.Message) (ignored, err error) {
	if m.Kind < member.KindPing || m.Kind > member.KindRecords {
		return nil, errors.Errorf("membership: unknown message kind %d", m.Kind)
	}
	if m.From == "" || len(m.From) > maxNameBytes || len(m.FromDataCentre) > maxNameBytes || len(m.DataCentre) > maxNameBytes {
		return nil, errors.New("membership: message has no sender name, or a name that is too long")
	}
	for _, records := range []*[]member.Record{&m.Updates, &m.Records} {
		*records = slices.DeleteFunc(*records, func(r member.Record) bool {
			err := checkRecord(&r)
			if ignored == nil {
				ignored = err
			}
			return err != nil
		})
	}
	return ignored, nil
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
