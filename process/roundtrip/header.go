package roundtrip

import (
	"fmt"
	"net/http"
	"net/textproto"
	"strings"

	"golang.org/x/net/http/httpguts"
)

const fleetHeaderPrefix = "Hyssopsill-"

// isHopByHopHeader reports whether a field concerns one connection and is not
// forwarded (RFC 9110, section 7.6.1). Expect is not forwarded either: the server
// that reads the body responds to it.
func isHopByHopHeader(name string) bool {
	switch name {
	case "Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
		"Transfer-Encoding", "Upgrade", "Expect":
		return true
	}
	return false
}

// ForwardFilter returns a Skip function for the header of a message that is
// forwarded. It leaves out the fields that concern one connection and the fleet's
// own.
func ForwardFilter(h http.Header) func(name string) bool {
	named := connectionFields(h)
	if named == nil {
		return isNotForwarded
	}
	return func(name string) bool { return isNotForwarded(name) || named[name] }
}

func isNotForwarded(name string) bool {
	return isHopByHopHeader(name) || strings.HasPrefix(name, fleetHeaderPrefix)
}

// connectionFields returns the names in the Connection field, or nil without any.
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

// CopyHeader copies the fields that are forwarded.
func CopyHeader(to, from http.Header) {
	skip := ForwardFilter(from)
	for name, values := range from {
		if !skip(name) {
			to[name] = values
		}
	}
}

// CheckFieldNames returns an error for a name that is no token (RFC 9110, section 5.1).
// net/http accepts names with blanks, and so does not see a length in "Content-Length : 4".
func CheckFieldNames(h http.Header) error {
	for name := range h {
		if !httpguts.ValidHeaderFieldName(name) {
			return fmt.Errorf("the response has a malformed field name %q", name)
		}
	}
	return nil
}

// RequestURI returns the URI for the request line of a request that is forwarded.
func RequestURI(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") || r.RequestURI == "*" {
		return r.RequestURI
	}
	return r.URL.RequestURI()
}
