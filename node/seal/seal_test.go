package seal_test

import (
	"net/netip"
	"testing"

	"github.com/matryer/is"

	"fuchsiavane.org/node/seal"
)

func TestOpen(t *testing.T) {
	is := is.New(t)
	remote, loopback := netip.MustParseAddr("10.0.0.1"), netip.MustParseAddr("127.0.0.1")
	keyed, otherKey, keyless := seal.New([]byte("k")), seal.New([]byte("x")), seal.New(nil)
	message, err := keyed.Open("p", keyed.Seal("p", []byte("m")), remote)
	is.NoErr(err)
	is.Equal(string(message), "m")
	for _, refused := range []struct {
		sealer  *seal.Sealer
		purpose string
		sealed  []byte
		from    netip.Addr
	}{
		{otherKey, "p", keyed.Seal("p", []byte("m")), remote},
		{keyed, "q", keyed.Seal("p", []byte("m")), remote},
		{keyed, "p", append(keyed.Seal("p", []byte("m")), 0), remote},
		{keyed, "p", []byte("short"), remote},
		{keyless, "p", keyless.Seal("p", []byte("m")), remote},
	} {
		_, err := refused.sealer.Open(refused.purpose, refused.sealed, refused.from)
		is.Equal(err, seal.ErrRefused)
	}
	_, err = keyless.Open("p", keyless.Seal("p", []byte("m")), loopback)
	is.NoErr(err) // without a key, messages from loopback are accepted
}
