// Package wire is the format of the links between daemons: CBOR frames, one or
// more to a WebSocket message.
package wire

import (
	"net/http"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// Version is the version of the protocol.
const Version = 1

// Limits of the protocol.
const (
	// MaxNameBytes bounds the instance id of a hello and the id of a run.
	MaxNameBytes = 256
	// MaxChunk is the largest piece of a body in one frame, in bytes.
	MaxChunk = 16 << 10
	// MaxMessage is the largest WebSocket message, in bytes.
	MaxMessage = 256 << 10
	// InitialCredit is the body bytes that may be sent on a stream before the
	// receiver grants more.
	InitialCredit = 64 << 10
	// MaxStreams bounds the open streams of one link.
	MaxStreams = 4096
)

// Type is the kind of a frame.
type Type uint8

// Types of frames.
const (
	TypeHello   Type = 1
	TypeProof   Type = 2
	TypeRequest Type = 3
	TypeAnswer  Type = 4
	TypeData    Type = 5
	TypeCredit  Type = 6
	TypeCancel  Type = 7
	TypeReset   Type = 8
	TypePing    Type = 9
	TypePong    Type = 10
	TypeGoAway  Type = 11
	// TypeResume asks, on a new link, for the answer of a request that was sent
	// on a link that broke.
	TypeResume Type = 12
	// TypeAbsent answers TypeResume when there is no such run.
	TypeNotFound Type = 13
	// TypeAck says that the answers of all streams below Stream were
	// received or given up, so that the serving side may forget them.
	TypeAck Type = 14
)

// Frame is one message of a link. Which fields are set depends on Type.
type Frame struct {
	Type    Type     `cbor:"1,keyasint"`
	Stream  uint64   `cbor:"2,keyasint,omitempty"`
	Hello   *Hello   `cbor:"3,keyasint,omitempty"`
	Request *Request `cbor:"4,keyasint,omitempty"`
	Answer  *Answer  `cbor:"5,keyasint,omitempty"`
	Data    []byte   `cbor:"6,keyasint,omitempty"`
	// End marks the last piece of a body.
	End bool `cbor:"7,keyasint,omitempty"`
	// Credit is the body bytes granted by TypeCredit.
	Credit uint32 `cbor:"8,keyasint,omitempty"`
	// Reason explains TypeReset and TypeGoAway.
	Reason string  `cbor:"9,keyasint,omitempty"`
	Resume *Resume `cbor:"10,keyasint,omitempty"`
	// NeverArrived, in TypeAbsent, says that the request did not run and never
	// will. Without it nothing is known of the request.
	NeverArrived bool `cbor:"11,keyasint,omitempty"`
}

// Resume names a run whose link broke, and the part of its answer that the
// calling side has.
type Resume struct {
	// Run is the run's id.
	Run string `cbor:"1,keyasint"`
	// Session and Stream are the link and stream on which the request was sent.
	Session []byte `cbor:"2,keyasint"`
	Stream  uint64 `cbor:"3,keyasint"`
	// Attempt counts the links on which the run was asked for, from 1. Of two
	// asks that cross, the higher one holds.
	Attempt int `cbor:"4,keyasint"`
	// Answered says that the head of the answer was received.
	HeadReceived bool `cbor:"5,keyasint,omitempty"`
	// Offset is the body bytes received and Granted the credit granted, both
	// since the beginning of the body.
	Offset  uint64 `cbor:"6,keyasint,omitempty"`
	Granted uint64 `cbor:"7,keyasint,omitempty"`
	// Cancel gives the run up instead.
	Cancel bool `cbor:"8,keyasint,omitempty"`
}

// Hello introduces one side of a link.
type Hello struct {
	Version  int    `cbor:"1,keyasint"`
	Instance string `cbor:"2,keyasint"`
	Nonce    []byte `cbor:"3,keyasint"`
	// Proof is an HMAC-SHA256 by the link key over both nonces.
	Proof []byte `cbor:"4,keyasint,omitempty"`
	Class string `cbor:"5,keyasint,omitempty"`
}

// Request is the head of a request.
type Request struct {
	ID      string      `cbor:"1,keyasint"`
	Run     string      `cbor:"2,keyasint"`
	Service string      `cbor:"3,keyasint"`
	Method  string      `cbor:"4,keyasint"`
	Target  string      `cbor:"5,keyasint"`
	Path    string      `cbor:"6,keyasint"`
	Header  http.Header `cbor:"7,keyasint,omitempty"`
	Caller  string      `cbor:"8,keyasint,omitempty"`
	Rank    string      `cbor:"9,keyasint,omitempty"`
	// TimeLeft is in microseconds.
	Timeout    int64  `cbor:"10,keyasint"`
	Retries    int    `cbor:"11,keyasint,omitempty"`
	Idempotent bool   `cbor:"12,keyasint,omitempty"`
	Key        string `cbor:"13,keyasint,omitempty"`
	Nested     bool   `cbor:"14,keyasint,omitempty"`
	Host       string `cbor:"15,keyasint,omitempty"`
	Label      string `cbor:"17,keyasint,omitempty"`
	// Age is the time since the root request entered the fleet, in microseconds; 0
	// if that is not known. Key 16 was used before.
	Age int64 `cbor:"18,keyasint,omitempty"`
}

// Answer is the head of an answer.
type Answer struct {
	Status  int         `cbor:"1,keyasint"`
	Header  http.Header `cbor:"2,keyasint,omitempty"`
	Length  int64       `cbor:"3,keyasint"`
	Outcome string      `cbor:"4,keyasint"`
	Refusal string      `cbor:"5,keyasint,omitempty"`
	Detail  string      `cbor:"6,keyasint,omitempty"`
	// RetryAfter is in milliseconds.
	RetryAfter    int64  `cbor:"7,keyasint,omitempty"`
	UnusedRetries int    `cbor:"8,keyasint,omitempty"`
	Level         uint32 `cbor:"9,keyasint,omitempty"`
	// Busy, Slots and Service (microseconds) are the load of the serving side.
	Outstanding int   `cbor:"10,keyasint,omitempty"`
	Slots       int   `cbor:"11,keyasint,omitempty"`
	ServiceTime int64 `cbor:"12,keyasint,omitempty"`
}

var (
	encMode = mustEncMode()
	decMode = mustDecMode()
)

func mustEncMode() cbor.UserBufferEncMode {
	mode, err := cbor.EncOptions{}.UserBufferEncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

func mustDecMode() cbor.DecMode {
	mode, err := cbor.DecOptions{
		// Header values may hold any byte. Source: RFC 9110, section 5.5.
		UTF8:             cbor.UTF8DecodeInvalid,
		MaxNestedLevels:  8,
		MaxArrayElements: 1024,
		MaxMapPairs:      1024,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// Decode decodes the first frame of a message and returns the rest.
func Decode(message []byte) (Frame, []byte, error) {
	var f Frame
	rest, err := decMode.UnmarshalFirst(message, &f)
	if err != nil {
		return Frame{}, nil, errors.Wrap(err, "frame")
	}
	return f, rest, f.check()
}

// check reports a frame that breaks a rule of the protocol.
func (f *Frame) check() error {
	if len(f.Data) > MaxChunk {
		return errors.Errorf("frame carries %d body bytes, more than %d", len(f.Data), MaxChunk)
	}
	switch f.Type {
	case TypeHello, TypeProof:
		if f.Hello == nil || len(f.Hello.Instance) > MaxNameBytes {
			return errors.Errorf("frame type %d without a hello of bounded names", f.Type)
		}
	case TypeRequest:
		if f.Request == nil || f.Stream == 0 {
			return errors.New("request frame without head or stream")
		}
		if f.Request.Run == "" || len(f.Request.Run) > MaxNameBytes {
			return errors.New("request frame without a run id of bounded length")
		}
	case TypeAnswer:
		if f.Answer == nil || f.Stream == 0 {
			return errors.New("answer frame without head or stream")
		}
	case TypeResume:
		if f.Resume == nil || f.Stream == 0 || f.Resume.Run == "" {
			return errors.New("resume frame without run or stream")
		}
	case TypeData, TypeCredit, TypeCancel, TypeReset, TypeNotFound, TypeAck:
		if f.Stream == 0 {
			return errors.Errorf("frame type %d without stream", f.Type)
		}
	case TypePing, TypePong, TypeGoAway:
	default:
		return errors.Errorf("unknown frame type %d", f.Type)
	}
	return nil
}
