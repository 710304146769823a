package class

import (
	"slices"
	"strings"
)

// Route assigns requests to a service and class.
type Route struct {
	ID         string
	Host       string // without port; empty matches any host
	PathPrefix string // starts with /; matches whole path segments
	Methods    []string
	Service    string
	Split      []SplitShare // divides the requests between services, in place of Service
	Class      string
	Public     bool // needs no API key
	Blocked    bool // its requests are refused
}

// SplitShare is the part of the requests of a split route that one service gets.
type SplitShare struct {
	Service string
	Weight  float64
}

// Match is the route found for a request.
type Match struct {
	Route     *Route
	PathGroup string // key of the Learner within the route
}

// RouteTable finds the route of a request. It is immutable and safe for concurrent use.
type RouteTable struct {
	anyHost *hostTable
	byHost  map[string]*hostTable
}

// hostTable holds the routes of one host, or those that match any host.
type hostTable struct {
	byPrefix  map[string][]*Route // routes that name a method come first
	maxPrefix int                 // length of the longest prefix, bytes
}

// NewRouteTable indexes the routes. Of routes equal in host, prefix and method the
// first takes precedence.
func NewRouteTable(routes []Route) *RouteTable {
	t := &RouteTable{anyHost: newHostTable(), byHost: map[string]*hostTable{}}
	for _, r := range routes {
		h := t.anyHost
		if r.Host != "" {
			name := strings.ToLower(r.Host)
			if t.byHost[name] == nil {
				t.byHost[name] = newHostTable()
			}
			h = t.byHost[name]
		}
		h.add(&r)
	}
	for _, h := range t.byHost {
		h.sort()
	}
	t.anyHost.sort()
	return t
}

func newHostTable() *hostTable { return &hostTable{byPrefix: map[string][]*Route{}} }

func (h *hostTable) add(r *Route) {
	h.byPrefix[r.PathPrefix] = append(h.byPrefix[r.PathPrefix], r)
	h.maxPrefix = max(h.maxPrefix, len(r.PathPrefix))
}

func (h *hostTable) sort() {
	for _, routes := range h.byPrefix {
		slices.SortStableFunc(routes, func(a, b *Route) int {
			return min(len(b.Methods), 1) - min(len(a.Methods), 1)
		})
	}
}

// Match returns the route with the longest prefix that matches method, host
// and path. Among equal prefixes a route that names the host takes precedence, then
// one that names the method. The path must be clean (no "." or ".." segments).
func (t *RouteTable) Match(method, host, path string) (Match, bool) {
	hostRoutes := t.byHost[hostName(host)]
	maxPrefix := t.anyHost.maxPrefix
	if hostRoutes != nil {
		maxPrefix = max(maxPrefix, hostRoutes.maxPrefix)
	}
	for end := len(path); end > 0; end = previousBoundary(path, end) {
		if end > maxPrefix {
			if end = boundaryWithin(path, maxPrefix); end == 0 {
				break
			}
		}
		prefix := path[:end]
		r := hostRoutes.find(prefix, method)
		if r == nil {
			r = t.anyHost.find(prefix, method)
		}
		if r != nil {
			return Match{Route: r, PathGroup: PathGroup(path, len(r.PathPrefix))}, true
		}
	}
	return Match{}, false
}

// find returns the first route with exactly this prefix that allows the method.
func (h *hostTable) find(prefix, method string) *Route {
	if h == nil || len(prefix) > h.maxPrefix {
		return nil
	}
	for _, r := range h.byPrefix[prefix] {
		if len(r.Methods) == 0 || slices.Contains(r.Methods, method) {
			return r
		}
	}
	return nil
}

// previousBoundary returns the next length below end at which a prefix of the path
// ends at a segment boundary, just after or just before a slash.
func previousBoundary(path string, end int) int {
	if path[end-1] == '/' {
		return end - 1
	}
	return strings.LastIndexByte(path[:end], '/') + 1
}

// boundaryWithin returns the greatest length of at most limit bytes at which a prefix
// of the path ends at a segment boundary.
func boundaryWithin(path string, limit int) int {
	if limit <= 0 {
		return 0
	}
	if path[limit] == '/' || path[limit-1] == '/' {
		return limit
	}
	return strings.LastIndexByte(path[:limit], '/') + 1
}

// hostName returns the host in lower case and without its port.
func hostName(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}

// groupSegments is the number of path segments after the route's prefix that make
// up a path group.
const groupSegments = 2

// PathGroup returns the group to which the Learner assigns a path: up to two
// segments after the route's prefix. A segment with a digit is taken as an identifier,
// of which only the file extension is kept.
func PathGroup(path string, prefixLen int) string {
	rest := strings.Trim(path[prefixLen:], "/")
	var b strings.Builder
	for n := 0; n < groupSegments && rest != ""; n++ {
		segment, tail, _ := strings.Cut(rest, "/")
		rest = tail
		if n > 0 {
			b.WriteByte('/')
		} else if rest == "" && !strings.ContainsAny(segment, "0123456789") {
			return segment
		}
		b.WriteString(generalizeSegment(segment))
	}
	return b.String()
}

const maxExtension = 6 // bytes, including the dot

// generalizeSegment replaces a segment that contains a digit by "*" and its extension.
func generalizeSegment(s string) string {
	if !strings.ContainsAny(s, "0123456789") {
		return s
	}
	if i := strings.LastIndexByte(s, '.'); i >= 0 && len(s)-i <= maxExtension {
		return "*" + s[i:]
	}
	return "*"
}
