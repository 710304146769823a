package logfile

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/hyssopsill/hyssopsill/request/attempt"
	"github.com/hyssopsill/hyssopsill/request/record"
)

// Timeline holds what the logs contain about a request or a target, in order of
// time, and what is missing from the logs.
type Timeline struct {
	Records []record.Record `json:"records"`
	// Subrequests are the requests that targets made while they ran the request.
	// Their IDs begin with its ID and a separator.
	Subrequests []record.Record `json:"calls"`
	// NearbyChanges are the changes of the request's targets and nodes from shortly
	// before the request to shortly after it.
	NearbyChanges []record.Record `json:"around"`
	Notes         []Note          `json:"notes"`
	Nodes         []NodeCoverage  `json:"nodes"`
	Skipped       []Skipped       `json:"skipped"`
	Missing       []string        `json:"missing"`
}

// Changes within this time before and after a request may explain its outcome:
// nodes remember a target's failures for some seconds, and declare a node dead
// about 3 s after it stopped responding.
const (
	nearbyBefore = 5 * time.Second
	nearbyAfter  = 5 * time.Second
)

// RequestTimeline returns what the logs contain about a request.
func (l *Log) RequestTimeline(id attempt.RequestID) Timeline {
	timeline := l.newTimeline()
	var scope requestScope
	for i := range l.Records {
		r := &l.Records[i]
		switch {
		case r.Request != nil && r.Request.ID == id:
			timeline.Records = append(timeline.Records, *r)
			scope.add(r)
		case r.Request != nil && isSubrequest(r.Request.ID, id):
			timeline.Subrequests = append(timeline.Subrequests, *r)
			scope.add(r)
		case r.Change != nil && r.Change.Request == id:
			timeline.Records = append(timeline.Records, *r)
		}
	}
	for i := range l.Records {
		if r := &l.Records[i]; r.Change != nil && r.Change.Request != id && scope.includes(r.At, r.Node, r.Change) {
			timeline.NearbyChanges = append(timeline.NearbyChanges, *r)
		}
	}
	for _, n := range l.Notes {
		if n.Request == id || (n.Target != "" && scope.isNearby(n.At) && slices.Contains(scope.targets, n.Target)) {
			timeline.Notes = append(timeline.Notes, n)
		}
	}
	timeline.sort()
	timeline.Missing = append(l.missingCoverage(scope), timeline.Missing...)
	return timeline
}

// isSubrequest reports whether the ID of a request shows that a target made it while
// it ran parent.
func isSubrequest(id, parent attempt.RequestID) bool {
	rest, ok := strings.CutPrefix(string(id), string(parent))
	return ok && len(rest) > 1 && strings.ContainsAny(rest[:1], ".-_/:")
}

// TargetTimeline returns what the logs contain about a target in a time range. The
// end of the range is exclusive, and a zero time is no bound.
func (l *Log) TargetTimeline(target string, from, to time.Time) Timeline {
	timeline := l.newTimeline()
	for i := range l.Records {
		if r := &l.Records[i]; r.InRange(from, to) && r.Concerns(target) {
			timeline.Records = append(timeline.Records, *r)
		}
	}
	for _, n := range l.Notes {
		timeOnly := record.Record{At: n.At}
		if timeOnly.InRange(from, to) && (n.Target == target || strings.Contains(n.Message, target)) {
			timeline.Notes = append(timeline.Notes, n)
		}
	}
	timeline.sort()
	return timeline
}

// newTimeline returns a timeline without records. It holds the coverage of the nodes,
// the skipped lines, and the missing lines known from both.
func (l *Log) newTimeline() Timeline {
	timeline := Timeline{Records: []record.Record{}, Subrequests: []record.Record{}, NearbyChanges: []record.Record{}, Notes: []Note{}, Nodes: l.Coverages(), Skipped: l.Skipped, Missing: []string{}}
	if timeline.Skipped == nil {
		timeline.Skipped = []Skipped{}
	}
	for _, coverage := range timeline.Nodes {
		if coverage.Dropped > 0 {
			timeline.Missing = append(timeline.Missing, fmt.Sprintf("node %s dropped or lost %d log lines, the last before %s",
				coverage.Node, coverage.Dropped, coverage.LastDrop.UTC().Format(record.SentenceTimeLayout)))
		}
	}
	for _, s := range timeline.Skipped {
		timeline.Missing = append(timeline.Missing, fmt.Sprintf("%s: %d lines skipped, the first is line %d: %s", s.File, s.Lines, s.First, s.Reason))
	}
	return timeline
}

func (t *Timeline) sort() {
	byTime := func(x, y record.Record) int { return x.At.Compare(y.At) }
	slices.SortStableFunc(t.Records, byTime)
	slices.SortStableFunc(t.Subrequests, byTime)
	slices.SortStableFunc(t.NearbyChanges, byTime)
	slices.SortStableFunc(t.Notes, func(x, y Note) int { return x.At.Compare(y.At) })
}

// missingCoverage lists the nodes of a request without log lines, or whose lines end
// before the request.
func (l *Log) missingCoverage(scope requestScope) []string {
	out := []string{}
	for _, node := range scope.nodes {
		coverage, ok := l.Coverage(node)
		switch {
		case !ok:
			out = append(out, fmt.Sprintf("there is no log line of node %s, which took part in the request", node))
		case coverage.Last.Before(scope.from):
			out = append(out, fmt.Sprintf("the log lines of node %s, which took part in the request, end at %s, before the request",
				node, coverage.Last.UTC().Format(record.SentenceTimeLayout)))
		}
	}
	return out
}

// requestScope is the time range, the nodes and the targets of a request and of its
// subrequests.
type requestScope struct {
	from, to       time.Time
	nodes, targets []string
}

func (s *requestScope) add(r *record.Record) {
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

func (s *requestScope) addNode(node string) {
	if node != "" && !slices.Contains(s.nodes, node) {
		s.nodes = append(s.nodes, node)
	}
}

func (s *requestScope) isNearby(at time.Time) bool {
	return !s.from.IsZero() && !at.Before(s.from.Add(-nearbyBefore)) && !at.After(s.to.Add(nearbyAfter))
}

// includes reports whether a change that node recorded at that time may concern the
// request: it is a change of one of its targets, or a change that one of its nodes
// recorded about one of its nodes.
func (s *requestScope) includes(at time.Time, node string, c *record.Change) bool {
	if !s.isNearby(at) {
		return false
	}
	return slices.Contains(s.targets, c.Subject) || slices.Contains(s.nodes, c.Subject) && slices.Contains(s.nodes, node)
}
