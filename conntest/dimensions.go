package conntest

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"pgregory.net/rapid"

	"github.com/hyssopsill/hyssopsill/finding"
	"github.com/hyssopsill/hyssopsill/standin/peer"
)

// dimension is a property of a case that varies independently of the others.
type dimension struct {
	Name   string
	Values []string // the plainest first
}

// Names of dimensions.
const (
	callerVersion  = "caller.version"
	callerRequests = "caller.requests" // how many are sent behind each other
	callerKind     = "caller.kind"     // of the first request; the others are reads
	callerBehind   = "caller.behind"   // what follows the last request
	callerPace     = "caller.pace"     // of what it sends
	callerUpload   = "caller.upload"   // framing of the body of the first request
	callerReading  = "caller.reading"
	callerEnd      = "caller.end"    // how and when it ends the connection
	targetFaulty   = "target.faulty" // to which runs the other values of the target apply; the others are plain
	targetStatus   = "target.status"
	targetFraming  = "target.framing"
	targetField    = "target.field"
	targetInterim  = "target.interim"
	targetAnswers  = "target.answers" // when, relative to the upload
	targetUpload   = "target.upload"  // how it reads the upload
	targetDelay    = "target.delay"   // before the answer
	targetExtra    = "target.extra"   // what follows the answer
	targetEnd      = "target.end"     // how it ends the connection, and after which part of the answer
	bodySizes      = "size"           // of the bodies of the first request and of the answers
	nodeProfile    = "node.profile"   // what callers and targets agree on
	nodeTopology   = "node.topology"
	nodeFirst      = "node.first" // a disruption
	nodeSecond     = "node.second"
	nodeWhen       = "node.when" // the disruption that is not in force from the begin
)

// HTTP profiles beside the default one.
const (
	closeDelimited = "close-delimited" // an answer may end with its connection
	requestIDs     = "request-ids"     // callers name their requests, and targets repeat the name; close-delimited, too
)

// quiet is an end after which the target sends nothing more, on an open connection.
const quiet peer.End = "quiet"

// sizes of the bodies of requests and answers, bytes. A long answer is streamed; the others
// are buffered by the entry.
var sizes = map[string]struct{ upload, answer int }{
	"small": {1, 10}, "empty": {0, 0}, "medium": {5000, 5000}, "window": {1 << 20, 200_000},
	"long-upload": {4 << 20, 10}, "long-answer": {1, 600_000}, "long": {300_000, 600_000}, "longest": {4 << 20, 600_000},
}

// combine returns a value for each end at each stage.
func combine(ends []peer.End, stages ...string) []string {
	var out []string
	for _, end := range ends {
		for _, stage := range stages {
			out = append(out, string(end)+"/"+stage)
		}
	}
	return out
}

// end returns how and at which stage a side ends the connection; the stage is empty for one
// that stays.
func (c Case) end(name string) (peer.End, string) {
	end, stage, _ := strings.Cut(c.value(name), "/")
	return peer.End(end), stage
}

// Disruptions of the nodes.
const (
	noDisruption  = "none"
	drainEntry    = "drain-entry"
	drainGate     = "drain-gate"
	cutEntry      = "cut-entry" // a drain that does not wait for running requests
	cutGate       = "cut-gate"
	slotsFull     = "slots-full"     // the listener for callers has one slot left
	memoryRefused = "memory-refused" // connections hold the memory that the host allows
	routeMoved    = "route-moved"    // to another path, so that the request has no route
	routeChanged  = "route-changed"  // another deadline
	pathReset     = "path-reset"     // connections between entry and gate are reset, where these are two nodes
	pathSilent    = "path-silent"    // they stay open and carry nothing more
)

var disruptions = []string{noDisruption, drainEntry, drainGate, cutEntry, cutGate, slotsFull, memoryRefused, routeMoved, routeChanged, pathReset, pathSilent}

var dimensions = []dimension{
	{callerVersion, []string{"1.1", "1.0"}},
	{callerRequests, []string{"1", "2", "3"}},
	{callerKind, []string{"read", "order"}},
	{callerBehind, []string{"nothing", "empty-line", "part"}},
	{callerPace, []string{"prompt", "slow"}},
	{callerUpload, []string{"none", "length", "chunks", "expect"}},
	{callerReading, []string{"prompt", "slow", "small-window"}},
	{callerEnd, append([]string{string(peer.Stays)}, combine([]peer.End{peer.Closes, peer.Resets, peer.HalfClose}, "sent", "head", "upload", "response")...)},
	{targetFaulty, []string{"always", "once"}},
	{targetStatus, []string{"200", "204", "304", "404", "500", "000"}},
	{targetFraming, []string{"length", "chunks", "both", "connection", "chunks-http10"}},
	{targetField, []string{"plain", "empty", "blank-in-name", "repeated", "long"}},
	{targetInterim, []string{"none", "100", "103"}},
	{targetAnswers, []string{"after-upload", "before-upload", "during-upload"}},
	{targetUpload, []string{"reads", "leaves", "slow"}},
	{targetDelay, []string{"0ms", "60ms", "700ms"}},
	{targetExtra, []string{"none", "bytes", "copy", "late-copy"}},
	{targetEnd, append([]string{string(peer.Stays)}, append(combine([]peer.End{peer.Closes, peer.Resets}, "whole", "none", "head", "body"), combine([]peer.End{quiet}, "none", "body")...)...)},
	{bodySizes, []string{"small", "empty", "medium", "window", "long-upload", "long-answer", "long", "longest"}},
	{nodeProfile, []string{"default", closeDelimited, requestIDs}},
	{nodeTopology, []string{"together", "apart"}},
	{nodeFirst, disruptions},
	{nodeSecond, disruptions},
	{nodeWhen, []string{"start", "run", "answer"}},
}

// Case is a value for each dimension. A dimension without one has its plainest value.
type Case map[string]string

func (c Case) value(name string) string {
	if v, ok := c[name]; ok {
		return v
	}
	i := slices.IndexFunc(dimensions, func(d dimension) bool { return d.Name == name })
	return dimensions[i].Values[0]
}

func (c Case) is(name, value string) bool { return c.value(name) == value }

// disrupted reports whether one of the disruptions occurs in a case.
func (c Case) disrupted(by ...string) bool {
	return slices.Contains(by, c.value(nodeFirst)) || slices.Contains(by, c.value(nodeSecond))
}

// check returns the dimensions and values that do not exist.
func (c Case) check(file string) finding.List {
	var out finding.List
	for _, name := range slices.Sorted(maps.Keys(c)) {
		i := slices.IndexFunc(dimensions, func(d dimension) bool { return d.Name == name })
		if i < 0 {
			out = append(out, finding.Finding{File: file, Key: "case." + name, Message: "this dimension does not exist"})
		} else if values := dimensions[i].Values; !slices.Contains(values, c[name]) {
			out = append(out, finding.Finding{File: file, Key: "case." + name, Message: fmt.Sprintf("want one of %s, got %q", strings.Join(values, ", "), c[name])})
		}
	}
	return out
}

// has reports whether a case has all values of a description that String returned.
func (c Case) has(description string) bool {
	for _, v := range strings.Fields(description) {
		if name, value, ok := strings.Cut(v, "="); ok && !c.is(name, value) {
			return false
		}
	}
	return true
}

// String returns the values that are not the plainest.
func (c Case) String() string {
	var out []string
	for _, d := range dimensions {
		if v := c.value(d.Name); v != d.Values[0] {
			out = append(out, d.Name+"="+v)
		}
	}
	if out == nil {
		return "plain"
	}
	return strings.Join(out, " ")
}

// plainShares are the shares of the dimensions of a side that keep their plainest value, in
// tenths. A case in which all sides are odd seldom gets far enough for two odd things to
// meet.
var plainShares = []int{0, 4, 10, 10}

// A side is the part of a dimension's name before the dot.
const sideSeparator = "."

// neutral are the dimensions that seldom break an exchange off or end it early. They do not
// keep their plainest value, as most faults need a transfer that takes its time.
var neutral = []string{callerUpload, callerPace, callerReading, targetFraming, targetAnswers, targetUpload, nodeProfile, nodeTopology, bodySizes}

var caseGenerator = rapid.Custom(func(t *rapid.T) Case {
	c, shares := Case{}, map[string]int{}
	for _, d := range dimensions {
		side, _, _ := strings.Cut(d.Name, sideSeparator)
		if _, ok := shares[side]; !ok {
			shares[side] = rapid.SampledFrom(plainShares).Draw(t, side)
		}
		if !slices.Contains(neutral, d.Name) && rapid.IntRange(0, 9).Draw(t, "plain") < shares[side] {
			continue
		}
		c[d.Name] = rapid.SampledFrom(d.Values).Draw(t, d.Name)
	}
	return c
})

// Draw draws a case from a seed.
func Draw(seed uint64) Case { return caseGenerator.Example(int(seed)) }
