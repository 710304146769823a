package entry

import (
	"github.com/hyssopsill/hyssopsill/connection/loadview"
	"github.com/hyssopsill/hyssopsill/process/gate"
	"github.com/hyssopsill/hyssopsill/request/attempt"
)

// LoadsFor takes note of the load of a target of this host and returns the freshest known
// loads of other targets of its service, which the gate adds to its response to the entry of
// a node. See attempt.HeaderLoads. It returns "" for nodes of other failure domains: bytes
// to them are billed, and in the balance pattern of the bench loads that cross domains make
// the choice no better.
func (e *Entry) LoadsFor(node, service, target string, load attempt.Load) string {
	key := gate.TargetKey(e.options.Node, target)
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.now()
	e.selector.ObserveLoad(now, key, load)
	requester := e.fleet.Load().members[node]
	if node == e.options.Node || requester == nil || requester.Domain != e.options.Domain {
		return ""
	}
	return e.selector.FreshestLoads(now, service, key)
}

// LoadCounts returns the counts of the loads that gates passed on.
func (e *Entry) LoadCounts() loadview.Counts {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.selector.LoadCounts()
}
