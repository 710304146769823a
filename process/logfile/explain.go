package logfile

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/hyssopsill/hyssopsill/request/attempt"
	"github.com/hyssopsill/hyssopsill/request/record"
)

// Timeline tells what the logs hold about a request or a target, in order of
// time, and what they lack.
type Timeline struct {
	Records []record.Record `json:"records"`
	// Subrequests are the requests that targets made while they ran the request. Their
	// names begin with its name, followed by a separator.
	Subrequests []record.Record `json:"calls"`
	// NearbyChanges are changes that concern the targets and nodes of the request, from
	// shortly before it to shortly after.
	NearbyChanges []record.Record `json:"around"`
	Notes         []Note          `json:"notes"`
	Nodes         []NodeCoverage  `json:"nodes"`
	Skipped       []Skipped       `json:"skipped"`
	Missing       []string        `json:"missing"`
}

// Changes this long before and after a request may explain it: a failing target
// is known for some seconds, and a node is declared dead about 3 s after it went
// silent.
const (
	aroundBefore = 5 * time.Second
	aroundAfter  = 5 * time.Second
)

// RequestTimeline returns what the logs hold about a request.
func (l *Log) RequestTimeline(id attempt.RequestID) Timeline {
	a := l.account()
	var parts scope
	for i := range l.Records {
		r := &l.Records[i]
		switch {
		case r.Request != nil && r.Request.ID == id:
			a.Records = append(a.Records, *r)
			parts.add(r)
		case r.Request != nil && isCall(r.Request.ID, id):
			a.Subrequests = append(a.Subrequests, *r)
			parts.add(r)
		case r.Change != nil && r.Change.Request == id:
			a.Records = append(a.Records, *r)
		}
	}
	for i := range l.Records {
		if r := &l.Records[i]; r.Change != nil && r.Change.Request != id && parts.has(r.At, r.Node, r.Change) {
			a.NearbyChanges = append(a.NearbyChanges, *r)
		}
	}
	for _, n := range l.Notes {
		if n.Request == id || (n.Target != "" && parts.inTime(n.At) && slices.Contains(parts.targets, n.Target)) {
			a.Notes = append(a.Notes, n)
		}
	}
	a.sort()
	a.Missing = append(l.lacking(parts), a.Missing...)
	return a
}

// isCall reports whether a request is a call made for another one, by its name.
func isCall(id, parent attempt.RequestID) bool {
	rest, ok := strings.CutPrefix(string(id), string(parent))
	return ok && len(rest) > 1 && strings.ContainsAny(rest[:1], ".-_/:")
}

// TargetTimeline tells what happened to a target in a range of time; to is exclusive,
// and a zero time is open.
func (l *Log) TargetTimeline(target string, from, to time.Time) Timeline {
	a := l.account()
	for i := range l.Records {
		if r := &l.Records[i]; r.InRange(from, to) && r.Concerns(target) {
			a.Records = append(a.Records, *r)
		}
	}
	for _, n := range l.Notes {
		at := record.Record{At: n.At}
		if at.InRange(from, to) && (n.Target == target || strings.Contains(n.Message, target)) {
			a.Notes = append(a.Notes, n)
		}
	}
	a.sort()
	return a
}

// account returns an account with what all questions share.
func (l *Log) account() Timeline {
	a := Timeline{Records: []record.Record{}, Subrequests: []record.Record{}, NearbyChanges: []record.Record{}, Notes: []Note{}, Nodes: l.Coverages(), Skipped: l.Skipped, Missing: []string{}}
	if a.Skipped == nil {
		a.Skipped = []Skipped{}
	}
	for _, s := range a.Nodes {
		if s.Dropped > 0 {
			a.Missing = append(a.Missing, fmt.Sprintf("node %s left out %d lines above its bounds, the last before %s",
				s.Node, s.Dropped, s.LastDrop.UTC().Format(record.SentenceTimeLayout)))
		}
	}
	for _, s := range a.Skipped {
		a.Missing = append(a.Missing, fmt.Sprintf("%s: %d lines skipped, the first is line %d: %s", s.File, s.Lines, s.First, s.Reason))
	}
	return a
}

func (a *Timeline) sort() {
	byTime := func(x, y record.Record) int { return x.At.Compare(y.At) }
	slices.SortStableFunc(a.Records, byTime)
	slices.SortStableFunc(a.Subrequests, byTime)
	slices.SortStableFunc(a.NearbyChanges, byTime)
	slices.SortStableFunc(a.Notes, func(x, y Note) int { return x.At.Compare(y.At) })
}

// lacking names the nodes that the request met and that no line is of.
func (l *Log) lacking(parts scope) []string {
	out := []string{}
	for _, node := range parts.nodes {
		s, ok := l.Coverage(node)
		switch {
		case !ok:
			out = append(out, fmt.Sprintf("no line is of node %s, which the request met", node))
		case s.Last.Before(parts.from):
			out = append(out, fmt.Sprintf("the lines of node %s, which the request met, end at %s, before it",
				node, s.Last.UTC().Format(record.SentenceTimeLayout)))
		}
	}
	return out
}

// scope is what a request met.
type scope struct {
	from, to       time.Time
	nodes, targets []string
}

func (s *scope) add(r *record.Record) {
	from, to := r.At, r.At.Add(time.Duration(r.Request.DurationMS*float64(time.Millisecond)))
	if s.from.IsZero() || from.Before(s.from) {
		s.from = from
	}
	if to.After(s.to) {
		s.to = to
	}
	s.addNode(r.Node)
	for i := range r.Request.Attempts {
		a := &r.Request.Attempts[i]
		s.addNode(a.Node)
		if !slices.Contains(s.targets, a.Target) {
			s.targets = append(s.targets, a.Target)
		}
	}
}

func (s *scope) addNode(node string) {
	if node != "" && !slices.Contains(s.nodes, node) {
		s.nodes = append(s.nodes, node)
	}
}

func (s *scope) inTime(at time.Time) bool {
	return !s.from.IsZero() && !at.Before(s.from.Add(-aroundBefore)) && !at.After(s.to.Add(aroundAfter))
}

// has reports whether a change that node told of concerns the request: its
// targets and nodes, and what its entry and gates went through.
func (s *scope) has(at time.Time, node string, c *record.Change) bool {
	if !s.inTime(at) {
		return false
	}
	return slices.Contains(s.targets, c.Subject) || slices.Contains(s.nodes, c.Subject) && slices.Contains(s.nodes, node)
}
