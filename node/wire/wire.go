// Package wire defines the protocol of the links between daemons: CBOR frames, one
// or more in a WebSocket message.
package wire

import (
	"net/http"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// Version is the protocol version.
const Version = 1

// Limits of the protocol.
const (
	// MaxNameBytes bounds the length of an instance id and of a run id, in bytes.
	MaxNameBytes = 256
	// MaxChunk is the maximum number of body bytes in one frame.
	MaxChunk = 16 << 10
	// MaxMessage is the maximum size of a WebSocket message, in bytes.
	MaxMessage = 256 << 10
	// InitialCredit is the number of body bytes that a sender may send on a stream
	// before the receiver grants more.
	InitialCredit = 64 << 10
	// MaxStreams is the maximum number of open streams of one link.
	MaxStreams = 4096
)

// Type is the type of a frame.
type Type uint8

// Types of frames.
const (
	// TypeHello is the first frame of each side. That of the serving side carries its
	// proof of the link key.
	TypeHello Type = 1
	// TypeProof carries the calling side's proof of the link key.
	TypeProof   Type = 2
	TypeRequest Type = 3
	TypeAnswer  Type = 4
	// TypeData carries a part of a body.
	TypeData Type = 5
	// TypeCredit lets the receiver of the frame send more bytes of a body.
	TypeCredit Type = 6
	// TypeCancel cancels a request.
	TypeCancel Type = 7
	// TypeReset reports that an answer stays incomplete.
	TypeReset Type = 8
	TypePing  Type = 9
	TypePong  Type = 10
	// TypeGoAway asks the calling side to open no stream and to close the link after
	// it has received all answers.
	TypeGoAway Type = 11
	// TypeResume requests, on a new link, the answer of a request that was sent on
	// a link that broke.
	TypeResume Type = 12
	// TypeNotFound replies to TypeResume if the serving side has no such run.
	TypeNotFound Type = 13
	// TypeAck acknowledges the answers of all streams below Frame.Stream as
	// received or cancelled, so that the serving side may release them.
	TypeAck Type = 14
)

// Frame is one protocol message of a link. Its Type determines which fields are
// set.
type Frame struct {
	Type    Type     `cbor:"1,keyasint"`
	Stream  uint64   `cbor:"2,keyasint,omitempty"`
	Hello   *Hello   `cbor:"3,keyasint,omitempty"`
	Request *Request `cbor:"4,keyasint,omitempty"`
	Answer  *Answer  `cbor:"5,keyasint,omitempty"`
	Data    []byte   `cbor:"6,keyasint,omitempty"`
	// End marks the last frame of a body.
	End bool `cbor:"7,keyasint,omitempty"`
	// Credit is the number of body bytes granted by TypeCredit.
	Credit uint32 `cbor:"8,keyasint,omitempty"`
	// Reason explains TypeReset and TypeGoAway.
	Reason string  `cbor:"9,keyasint,omitempty"`
	Resume *Resume `cbor:"10,keyasint,omitempty"`
	// NeverArrived is set in TypeNotFound if the request did not run and never
	// will. If it is not set, the request may have run.
	NeverArrived bool `cbor:"11,keyasint,omitempty"`
}

// Resume identifies a run whose link broke, and the part of its answer that the
// calling side has received.
type Resume struct {
	// Run is the id of the run.
	Run string `cbor:"1,keyasint"`
	// Session and Stream identify the link and stream on which the request was sent.
	Session []byte `cbor:"2,keyasint"`
	Stream  uint64 `cbor:"3,keyasint"`
	// Attempt counts the links on which the run was resumed, from 1. Of two
	// concurrent Resume frames the one with the higher Attempt takes effect.
	Attempt int `cbor:"4,keyasint"`
	// HeadReceived is set if the calling side has the head of the answer.
	HeadReceived bool `cbor:"5,keyasint,omitempty"`
	// Offset is the number of body bytes received and Granted the credit granted,
	// both since the start of the body.
	Offset  uint64 `cbor:"6,keyasint,omitempty"`
	Granted uint64 `cbor:"7,keyasint,omitempty"`
	// Cancel cancels the run instead of resuming it.
	Cancel bool `cbor:"8,keyasint,omitempty"`
}

// Hello introduces one side of a link.
type Hello struct {
	Version  int    `cbor:"1,keyasint"`
	Instance string `cbor:"2,keyasint"`
	Nonce    []byte `cbor:"3,keyasint"`
	// Proof is the HMAC-SHA256 with the link key over the sender's role, its
	// instance id and both nonces.
	Proof []byte `cbor:"4,keyasint,omitempty"`
	Class string `cbor:"5,keyasint,omitempty"`
}

// Request is the head of a request: everything except its body. Fields without a
// comment are those of call.Request.
type Request struct {
	ID      string `cbor:"1,keyasint"`
	Run     string `cbor:"2,keyasint"`
	Service string `cbor:"3,keyasint"`
	Method  string `cbor:"4,keyasint"`
	// Target is the path and query.
	Target string      `cbor:"5,keyasint"`
	Path   string      `cbor:"6,keyasint"`
	Header http.Header `cbor:"7,keyasint,omitempty"`
	Caller string      `cbor:"8,keyasint,omitempty"`
	Rank   string      `cbor:"9,keyasint,omitempty"`
	// Timeout is the time until the deadline, in microseconds.
	Timeout int64 `cbor:"10,keyasint"`
	// Retries is the retry budget of the request.
	Retries    int    `cbor:"11,keyasint,omitempty"`
	Idempotent bool   `cbor:"12,keyasint,omitempty"`
	Key        string `cbor:"13,keyasint,omitempty"`
	Nested     bool   `cbor:"14,keyasint,omitempty"`
	Host       string `cbor:"15,keyasint,omitempty"`
	// Label is the caller's own ID of the request.
	Label string `cbor:"17,keyasint,omitempty"`
	// Age is the time since the root request entered the fleet, in microseconds; 0
	// if unknown. CBOR key 16 was used by an earlier field.
	Age    int64 `cbor:"18,keyasint,omitempty"`
	Repeat bool  `cbor:"19,keyasint,omitempty"`
	// BodyLength is the size of the body in bytes if it takes more than one frame.
	BodyLength int     `cbor:"20,keyasint,omitempty"`
	RateLimit  float64 `cbor:"21,keyasint,omitempty"`
}

// Answer is the head of an answer: everything except its body. Fields without a
// comment are those of call.Answer.
type Answer struct {
	Status  int         `cbor:"1,keyasint"`
	Header  http.Header `cbor:"2,keyasint,omitempty"`
	Length  int64       `cbor:"3,keyasint"`
	Outcome string      `cbor:"4,keyasint"`
	Refusal string      `cbor:"5,keyasint,omitempty"`
	Detail  string      `cbor:"6,keyasint,omitempty"`
	// RetryAfter is the wait before another attempt, in milliseconds.
	RetryAfter    int64  `cbor:"7,keyasint,omitempty"`
	UnusedRetries int    `cbor:"8,keyasint,omitempty"`
	Level         uint32 `cbor:"9,keyasint,omitempty"`
	// Outstanding, Slots and ServiceTime are the load of the serving side: its
	// running and queued requests, its slots and the mean time of a run in
	// microseconds.
	Outstanding int   `cbor:"10,keyasint,omitempty"`
	Slots       int   `cbor:"11,keyasint,omitempty"`
	ServiceTime int64 `cbor:"12,keyasint,omitempty"`
	// RateLimit is the number of requests per second that the upstream takes, 0 if it
	// names no limit.
	RateLimit float64 `cbor:"13,keyasint,omitempty"`
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

// Known reports whether this version of the protocol has the type.
func (t Type) Known() bool { return t >= TypeHello && t <= TypeAck }

// Decode decodes the first frame of a message and returns the remaining bytes. It
// returns an error if the frame violates the protocol. The type of the frame may be
// unknown: a newer version may have sent it.
func Decode(message []byte) (Frame, []byte, error) {
	var f Frame
	rest, err := decMode.UnmarshalFirst(message, &f)
	if err != nil {
		return Frame{}, nil, errors.Wrap(err, "frame")
	}
	return f, rest, f.check()
}

// check returns an error if the frame violates the protocol.
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
	case 0:
		return errors.New("frame without type")
	}
	return nil
}
