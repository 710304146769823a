package roundtrip

import (
	"net/http"
	"net/textproto"
	"strings"
)

const fleetPrefix = "Hyssopsill-"

// hopHeader reports whether a field concerns one connection and is not passed
// on (RFC 9110, section 7.6.1). Expect is answered by the server that reads
// the body.
func hopHeader(name string) bool {
	switch name {
	case "Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
		"Transfer-Encoding", "Upgrade", "Expect":
		return true
	}
	return false
}

// ForwardFilter returns a Skip function for the header of a message that is passed
// on: it leaves out fields that concern one connection and the fleet's own.
func ForwardFilter(h http.Header) func(name string) bool {
	named := connectionFields(h)
	if named == nil {
		return skipCommon
	}
	return func(name string) bool { return skipCommon(name) || named[name] }
}

func skipCommon(name string) bool { return hopHeader(name) || strings.HasPrefix(name, fleetPrefix) }

// connectionFields returns the fields that Connection names.
func connectionFields(h http.Header) map[string]bool {
	var named map[string]bool
	for _, value := range h["Connection"] {
		for _, name := range strings.Split(value, ",") {
			if name = textproto.TrimString(name); name != "" {
				if named == nil {
					named = map[string]bool{}
				}
				named[textproto.CanonicalMIMEHeaderKey(name)] = true
			}
		}
	}
	return named
}

// CopyHeader copies the fields that are passed on.
func CopyHeader(to, from http.Header) {
	skip := ForwardFilter(from)
	for name, values := range from {
		if !skip(name) {
			to[name] = values
		}
	}
}

// RequestURI returns the request line's target for passing a request on.
func RequestURI(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") || r.RequestURI == "*" {
		return r.RequestURI
	}
	return r.URL.RequestURI()
}
