package call

import (
	"testing"

	"github.com/matryer/is"
)

func TestOriginForm(t *testing.T) {
	for target, want := range map[string]string{
		"/a/b?c=d":                "/a/b?c=d",
		"//a/b":                   "//a/b",
		"/a://b":                  "/a://b",
		"http://h.example/x|y?z":  "/x|y?z",
		"http://h.example//x":     "//x",
		"http://h.example?z=/":    "/?z=/",
		"http://h.example":        "/",
		"*":                       "*",
		"https://h.example:8/%2F": "/%2F",
	} {
		is.New(t).Equal(OriginForm(target), want)
	}
}

// TestTargetURLKeepsTheTarget guards against a target that reaches the upstream changed,
// such as a path that begins with two slashes and loses its first segment.
func TestTargetURLKeepsTheTarget(t *testing.T) {
	is := is.New(t)
	for _, target := range []string{"/", "//", "//rulings/7", "///", "//a%2Fb//c?q=%20&&", "//a?", "/x|y", "/a:b", "//a:b/", "//user@host/", "/?", "//%41"} {
		u, err := TargetURL("http", "10.0.0.1:80", target)
		is.NoErr(err)
		is.Equal(u.RequestURI(), target)
		is.Equal(u.Host, "10.0.0.1:80")
	}
	for _, target := range []string{"", "*", "a/b", "//x|y", "//%zz"} {
		_, err := TargetURL("http", "10.0.0.1:80", target)
		is.True(err != nil)
	}
}
