package settings

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

const routesDocument = `{
  "settings": {"timeout_ms": 2000},
  "services": {"registry": {"settings": {"attempts": 2}}},
  "routes": [
    {"host": "a.example", "prefix": "/x/", "services": {"registry": 1}, "settings": {"timeout_ms": 800}},
    {"host": "a.example", "prefix": "/x/y/", "services": {"registry": 90, "desk": 10}},
    {"host": "b.example", "prefix": "/", "services": {"desk": 1}}
  ]
}`

func TestRouteIsTheLongestPrefixOfItsHost(t *testing.T) {
	d, findings := Parse([]byte(routesDocument))
	is.New(t).Equal(len(findings), 0)
	for _, c := range []struct{ host, path, want string }{
		{"a.example", "/x/1", "/x/"},
		{"a.example", "/x/", "/x/"},
		{"a.example", "/x", ""},
		{"a.example", "/x/y/z/1?q=/x/y/", "/x/y/"},
		{"a.example", "/x/yy/1", "/x/"},
		{"a.example", "/other/", ""},
		{"b.example", "/x/y/", "/"},
		{"c.example", "/x/", ""},
		{"a.example", "*", ""},
	} {
		t.Run(c.host+c.path, func(t *testing.T) {
			got := ""
			if r := d.Route(c.host, c.path); r != nil {
				got = r.Prefix
			}
			is.New(t).Equal(got, c.want)
		})
	}
}

func TestRouteInheritsFromItsService(t *testing.T) {
	is := is.New(t)
	d, _ := Parse([]byte(routesDocument))
	plain := d.Route("a.example", "/x/").Choose(0).Values()
	is.Equal(plain.Timeout, 800*time.Millisecond)
	is.Equal(plain.Attempts, 2)
	split := d.Route("a.example", "/x/y/")
	is.Equal(split.Choose(0.05).Service, "desk")
	is.Equal(split.Choose(0.05).Values().Attempts, Defaults().Attempts)
	is.Equal(split.Choose(0.5).Service, "registry")
	is.Equal(split.Choose(0.999).Values().Timeout, 2*time.Second)
}

func TestSplitSharesFollowTheWeights(t *testing.T) {
	is := is.New(t)
	d, _ := Parse([]byte(routesDocument))
	split := d.Route("a.example", "/x/y/")
	const draws = 1000
	chosen := map[string]int{}
	for n := range draws {
		chosen[split.Choose((float64(n)+0.5)/draws).Service]++
	}
	is.Equal(chosen, map[string]int{"registry": 900, "desk": 100})
}

func TestRouteFindings(t *testing.T) {
	for _, c := range []struct{ route, want string }{
		{`{"prefix": "/x/", "services": {"a": 1}}`, "no host"},
		{`{"host": "h", "prefix": "/x", "services": {"a": 1}}`, "begin and end with a slash"},
		{`{"host": "h", "prefix": "/x/", "services": {"a": 0}}`, "no service with a weight"},
		{`{"host": "h", "prefix": "/x/"}`, "no service with a weight"},
		{`{"host": "h", "prefix": "/x/", "services": {"a": -1}}`, "outside"},
		{`{"host": "h", "prefix": "/x/", "services": {"a": 1}, "settings": {"slots": 1}}`, "not a setting"},
		{`{"host": "h", "prefix": "/x/", "services": {"a": 1}}, {"host": "h", "prefix": "/x/", "services": {"b": 1}}`, "duplicate route of host"},
	} {
		t.Run(c.want, func(t *testing.T) {
			_, findings := Parse([]byte(fmt.Sprintf(`{"routes": [%s]}`, c.route)))
			if !strings.Contains(findings.Error(), c.want) {
				t.Fatalf("findings %q, want %q", findings, c.want)
			}
		})
	}
}
