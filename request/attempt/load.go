package attempt

import (
	"fmt"
	"strconv"
	"strings"
)

// Load is what a gate reports about one target with each response.
type Load struct {
	Slots   int // as announced by the target
	Limit   int // concurrency limit in force, at most Slots
	Running int // requests in progress
	Queued  int // requests waiting at the gate

	// Long work is counted separately because short work does not wait behind it.
	RunningLong int // part of Running
	QueuedLong  int // part of Queued
}

// String formats the load for HeaderLoad.
func (l Load) String() string {
	b := make([]byte, 0, 24)
	for i, n := range [...]int{l.Slots, l.Limit, l.Running, l.Queued, l.RunningLong, l.QueuedLong} {
		if i > 0 {
			b = append(b, ' ')
		}
		b = strconv.AppendInt(b, int64(n), 10)
	}
	return string(b)
}

// ParseLoad parses the format of Load.String.
func ParseLoad(s string) (Load, error) {
	var l Load
	rest := s
	fields := [...]*int{&l.Slots, &l.Limit, &l.Running, &l.Queued, &l.RunningLong, &l.QueuedLong}
	for i, field := range fields {
		part, tail, found := strings.Cut(rest, " ")
		n, err := strconv.Atoi(part)
		if err != nil || found != (i < len(fields)-1) {
			return Load{}, fmt.Errorf("load %q: want %d numbers", s, len(fields))
		}
		*field, rest = n, tail
	}
	return l, nil
}
