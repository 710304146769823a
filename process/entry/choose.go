package entry

import (
	"slices"
	"time"

	"github.com/hyssopsill/hyssopsill/process/gate"
	"github.com/hyssopsill/hyssopsill/request/record"
	"github.com/hyssopsill/hyssopsill/version/membership"
)

func targetKeyOf(m *membership.Member, id string) string { return gate.TargetKey(m.Node, id) }

func contains(list []string, s string) bool { return slices.Contains(list, s) }

// evidence is what records say of the targets of a service. Records of one
// interval share it, so that a request does not copy it.
type evidence struct {
	at   time.Time
	list []record.Candidate
}

// evidenceInterval is the age up to which records share evidence.
const evidenceInterval = 100 * time.Millisecond

// evidenceOf returns the evidence on the targets of a service. e.mu is held.
func (e *Entry) evidenceOf(now time.Time, f *fleet, service string) []record.Candidate {
	if ev, ok := e.evidence[service]; ok && now.Sub(ev.at) < evidenceInterval {
		return ev.list
	}
	ev := evidence{at: now}
	for _, c := range e.selector.Subset(service) {
		s := e.health.State(c.Target)
		rc := record.Candidate{Target: f.targets[c.Target].target.ID, Weight: s.Weight, Suspicion: max(s.Suspicion, s.PathSuspicion), Ejected: s.Ejected}
		if s.Ejected || s.EjectionBlocked || s.DomainUnreachable {
			rc.Why = s.Why
		}
		if c.Leaving {
			rc.Why = "leaving"
		}
		ev.list = append(ev.list, rc)
	}
	e.evidence[service] = ev
	return ev.list
}
