package call

import "net/http"

// hopByHop lists the headers that apply to a single connection. Source: RFC 9110,
// section 7.6.1.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// RemoveHopByHop deletes the headers that apply to a single connection, including
// those named by Connection.
func RemoveHopByHop(h http.Header) {
	for _, name := range connectionTokens(h["Connection"]) {
		h.Del(name)
	}
	for _, name := range hopByHop {
		delete(h, name)
	}
}

func connectionTokens(values []string) []string {
	var names []string
	for _, value := range values {
		start := 0
		for i := 0; i <= len(value); i++ {
			if i < len(value) && value[i] != ',' {
				continue
			}
			if name := trimSpace(value[start:i]); name != "" {
				names = append(names, name)
			}
			start = i + 1
		}
	}
	return names
}

func trimSpace(s string) string {
	for s != "" && (s[0] == ' ' || s[0] == '\t') {
		s = s[1:]
	}
	for s != "" && (s[len(s)-1] == ' ' || s[len(s)-1] == '\t') {
		s = s[:len(s)-1]
	}
	return s
}

// HeaderBytes returns the total size of a header's names and values.
func HeaderBytes(h http.Header) int {
	total := 0
	for name, values := range h {
		for _, value := range values {
			total += len(name) + len(value)
		}
	}
	return total
}

// HeaderFields returns the number of fields in a header.
func HeaderFields(h http.Header) int {
	total := 0
	for _, values := range h {
		total += len(values)
	}
	return total
}
