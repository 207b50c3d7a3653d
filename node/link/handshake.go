package link

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"time"

	"github.com/gorilla/websocket"
	"github.com/pkg/errors"

	"fuchsiavane.org/node/wire"
)

// Class is the traffic class of a link. Each class has its own connection.
type Class string

// Classes of links. If there are several ranks, calls of the least urgent one are
// bulk and the others urgent.
const (
	ClassUrgent Class = "urgent"
	ClassBulk   Class = "bulk"
)

// Identity is the identity that a daemon proves to its peers.
type Identity struct {
	// Instance is the instance id.
	Instance string
	// Key is the shared secret; empty for links on loopback only.
	Key []byte
}

const nonceBytes = 16

// Roles in a proof. They keep one side's proof from being replayed as the other's.
const (
	roleCalling = "calling"
	roleServing = "serving"
)

func newNonce() []byte {
	nonce := make([]byte, nonceBytes)
	_, _ = rand.Read(nonce) // crypto/rand.Read never fails
	return nonce
}

// prove returns the HMAC that proves knowledge of the key.
func (id Identity) prove(role, instance string, callingNonce, servingNonce []byte) []byte {
	mac := hmac.New(sha256.New, id.Key)
	mac.Write([]byte(role))
	mac.Write([]byte{0})
	mac.Write([]byte(instance))
	mac.Write([]byte{0})
	mac.Write(callingNonce)
	mac.Write(servingNonce)
	return mac.Sum(nil)
}

// handshakeCalling performs the calling side of the handshake and returns the
// session id, which is the serving side's nonce.
func handshakeCalling(ws *websocket.Conn, id Identity, class Class) ([]byte, error) {
	nonce := newNonce()
	hello := &wire.Hello{Version: wire.Version, Instance: id.Instance, Nonce: nonce, Class: string(class)}
	if err := writeHello(ws, wire.TypeHello, hello); err != nil {
		return nil, err
	}
	peer, err := readHello(ws, wire.TypeHello)
	if err != nil {
		return nil, err
	}
	if !hmac.Equal(peer.Proof, id.prove(roleServing, peer.Instance, nonce, peer.Nonce)) {
		return nil, errors.Wrapf(ErrRefused, "instance %q does not prove the link key", peer.Instance)
	}
	if len(peer.Nonce) != nonceBytes {
		return nil, errors.Wrapf(ErrMalformed, "nonce of %d bytes", len(peer.Nonce))
	}
	proof := id.prove(roleCalling, id.Instance, nonce, peer.Nonce)
	answer := &wire.Hello{Version: wire.Version, Instance: id.Instance, Proof: proof}
	return peer.Nonce, writeHello(ws, wire.TypeProof, answer)
}

// handshakeServing performs the serving side of the handshake and returns the
// peer's hello and the session id.
func handshakeServing(ws *websocket.Conn, id Identity) (*wire.Hello, []byte, error) {
	peer, err := readHello(ws, wire.TypeHello)
	if err != nil {
		return nil, nil, err
	}
	if peer.Version != wire.Version || len(peer.Nonce) != nonceBytes {
		return nil, nil, errors.Wrapf(ErrRefused, "instance %q speaks version %d, not %d", peer.Instance, peer.Version, wire.Version)
	}
	nonce := newNonce()
	hello := &wire.Hello{
		Version: wire.Version, Instance: id.Instance, Nonce: nonce,
		Proof: id.prove(roleServing, id.Instance, peer.Nonce, nonce),
	}
	if err := writeHello(ws, wire.TypeHello, hello); err != nil {
		return nil, nil, err
	}
	proof, err := readHello(ws, wire.TypeProof)
	if err != nil {
		return nil, nil, err
	}
	if !hmac.Equal(proof.Proof, id.prove(roleCalling, peer.Instance, peer.Nonce, nonce)) {
		return nil, nil, errors.Wrapf(ErrRefused, "instance %q does not prove the link key", peer.Instance)
	}
	return peer, nonce, nil
}

func writeHello(ws *websocket.Conn, t wire.Type, h *wire.Hello) error {
	c := newConn(ws)
	return c.send(&wire.Frame{Type: t, Hello: h})
}

func readHello(ws *websocket.Conn, t wire.Type) (*wire.Hello, error) {
	ws.SetReadLimit(wire.MaxChunk)
	if err := ws.SetReadDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return nil, errors.Wrap(err, "link: handshake")
	}
	_, message, err := ws.ReadMessage()
	if err != nil {
		return nil, errors.Wrap(err, "link: handshake")
	}
	f, rest, err := wire.Decode(message)
	if err != nil || f.Type != t || len(rest) > 0 {
		return nil, errors.Wrap(ErrMalformed, "handshake")
	}
	return f.Hello, errors.Wrap(ws.SetReadDeadline(time.Time{}), "link: handshake")
}
