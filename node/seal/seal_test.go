package seal_test

import (
	"net/netip"
	"testing"

	"github.com/matryer/is"

	"fuchsiavane.org/node/seal"
)

func TestOpen(t *testing.T) {
	is := is.New(t)
	far, near := netip.MustParseAddr("10.0.0.1"), netip.MustParseAddr("127.0.0.1")
	keyed, other, open := seal.New([]byte("k")), seal.New([]byte("x")), seal.New(nil)
	message, err := keyed.Open("p", keyed.Seal("p", []byte("m")), far)
	is.NoErr(err)
	is.Equal(string(message), "m")
	for _, refused := range []struct {
		by      *seal.Sealer
		purpose string
		sealed  []byte
		from    netip.Addr
	}{
		{other, "p", keyed.Seal("p", []byte("m")), far},
		{keyed, "q", keyed.Seal("p", []byte("m")), far},
		{keyed, "p", append(keyed.Seal("p", []byte("m")), 0), far},
		{keyed, "p", []byte("short"), far},
		{open, "p", open.Seal("p", []byte("m")), far},
	} {
		_, err := refused.by.Open(refused.purpose, refused.sealed, refused.from)
		is.Equal(err, seal.ErrRefused)
	}
	_, err = open.Open("p", open.Seal("p", []byte("m")), near)
	is.NoErr(err) // without a key loopback is taken
}
