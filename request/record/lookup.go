package record

import (
	"fmt"
	"time"
	"unsafe"

	"github.com/hyssopsill/hyssopsill/request/attempt"
)

// Identity identifies a record, also when its batch was appended more than once.
type Identity struct {
	Node        string
	Incarnation string
	Sequence    uint64
}

// Identity returns the identity that the exporter gave to the record. It is valid
// only when Sequence is not 0.
func (r *Record) Identity() Identity {
	return Identity{Node: r.Node, Incarnation: r.Incarnation, Sequence: r.Sequence}
}

// String formats the identity as node/incarnation/sequence.
func (i Identity) String() string { return fmt.Sprintf("%s/%s/%d", i.Node, i.Incarnation, i.Sequence) }

// InRange reports whether from <= At < to. A zero time is no bound.
func (r *Record) InRange(from, to time.Time) bool {
	return (from.IsZero() || !r.At.Before(from)) && (to.IsZero() || r.At.Before(to))
}

// Concerns reports whether the record is about the target: an attempt or
// candidate of a request, or the subject of a change. Gap and pause records
// concern every target. An empty target stands for all.
func (r *Record) Concerns(target string) bool {
	if target == "" || r.Kind == KindGap || r.Kind == KindPause {
		return true
	}
	if r.Change != nil && r.Change.Subject == target {
		return true
	}
	if r.Request == nil {
		return false
	}
	for i := range r.Request.Attempts {
		a := &r.Request.Attempts[i]
		if a.Target == target {
			return true
		}
		for j := range a.Candidates {
			if a.Candidates[j].Target == target {
				return true
			}
		}
	}
	return false
}

// PlainSuccess reports whether the record is a request that was answered at the
// first attempt without reaching a limit. Only such records are sampled.
func (r *Record) PlainSuccess() bool {
	request := r.Request
	return r.Kind == KindRequest && request != nil && request.Outcome == attempt.Answered && request.Reason == attempt.ReasonNone &&
		len(request.Attempts) <= 1 && len(request.Limits) == 0 && request.Status < 500
}

// Size estimates the memory of the record in bytes. In requests it leaves out the
// names of routes, services, classes and candidates, which records share.
func (r *Record) Size() int {
	size := int(unsafe.Sizeof(*r)) + len(r.Node) + len(r.Incarnation)
	if c := r.Change; c != nil {
		size += int(unsafe.Sizeof(*c)) + len(c.Subject) + len(c.Node) + len(c.Service) + len(c.From) + len(c.To) + len(c.Why)
	}
	request := r.Request
	if request == nil {
		return size
	}
	size += int(unsafe.Sizeof(*request)) + len(request.ID) + len(request.Customer) + len(request.OrderKey) + len(request.Detail)
	size += cap(request.Limits)*int(unsafe.Sizeof("")) + cap(request.Attempts)*int(unsafe.Sizeof(Attempt{}))
	for _, limit := range request.Limits {
		size += len(limit)
	}
	for i := range request.Attempts {
		a := &request.Attempts[i]
		size += len(a.Target) + len(a.Node) + len(a.Why) + len(a.Next) + cap(a.Candidates)*int(unsafe.Sizeof(Candidate{}))
		for j := range a.Candidates {
			size += len(a.Candidates[j].Why)
		}
	}
	return size
}
