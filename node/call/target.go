package call

import (
	"net/url"
	"strings"

	"github.com/pkg/errors"
)

// OriginForm returns the path and query of a request target, byte for byte. A target in
// absolute form, as for a proxy, loses its scheme and authority.
// Source: RFC 9112, section 3.2.
func OriginForm(target string) string {
	if strings.HasPrefix(target, "/") {
		return target
	}
	_, rest, absolute := strings.Cut(target, "://")
	if !absolute {
		return target
	}
	switch i := strings.IndexAny(rest, "/?"); {
	case i < 0:
		return "/"
	case rest[i] == '?':
		return "/" + rest[i:]
	default:
		return rest[i:]
	}
}

// TargetURL returns the URL at a host that net/http sends as exactly the given target in
// origin form. It fails for a target that net/http would change.
func TargetURL(scheme, host, target string) (*url.URL, error) {
	if !strings.HasPrefix(target, "/") {
		return nil, errors.Errorf("target %q does not begin with a slash", target)
	}
	if !strings.HasPrefix(target, "//") {
		return &url.URL{Scheme: scheme, Host: host, Opaque: target}, nil
	}
	// An opaque target with two slashes at its start would be sent in absolute form.
	rawPath, query, hasQuery := strings.Cut(target, "?")
	path, err := url.PathUnescape(rawPath)
	if err != nil {
		return nil, errors.Wrap(err, "target")
	}
	u := &url.URL{Scheme: scheme, Host: host, Path: path, RawPath: rawPath, RawQuery: query, ForceQuery: hasQuery && query == ""}
	if u.RequestURI() != target {
		return nil, errors.Errorf("target %q begins with two slashes and has characters that must be escaped", target)
	}
	return u, nil
}
