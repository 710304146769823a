package node

import (
	"time"

	"github.com/hyssopsill/hyssopsill/version/distribute"
	"github.com/hyssopsill/hyssopsill/version/membership"
)

// remoteReports holds the last reports of the other nodes. In a fleet of full
// size nearly each round of gossip gives a new view that differs in few reports.
// So only changed reports are decoded, and the demand of all nodes is kept as a
// sum.
type remoteReports struct {
	nodes  map[string]*remoteReport
	demand map[uint32]float64 // requests/s of all other nodes, by hash of the service
}

type remoteReport struct {
	encoded string
	demand  map[uint32]float32
	access  distribute.Access
	round   uint64 // number of the last view that had the node
}

const (
	// minDemand is in requests/s. A smaller sum is the rounding error that is
	// left after the demand of all nodes has ended.
	minDemand = 1e-6
	// maxDemand is in requests/s. No node can have that demand.
	maxDemand = 1e9
)

func newRemoteReports() *remoteReports {
	return &remoteReports{nodes: map[string]*remoteReport{}, demand: map[uint32]float64{}}
}

// update applies a view. It returns the reports that changed and decode, and the
// number of changed reports that are malformed, which it takes as empty. It drops
// the reports of nodes that are dead, have left or are missing from the view.
func (r *remoteReports) update(now time.Time, v membership.View, round uint64) (changed []reports, malformed int) {
	for i := range v.Members {
		m := &v.Members[i]
		if m.Node == v.Self || m.State == membership.NodeDead || m.State == membership.NodeLeft {
			continue
		}
		previous := r.nodes[m.Node]
		if previous != nil && previous.encoded == string(m.Reports) {
			previous.round = round
			continue
		}
		decoded, err := decodeReports(m.Node, now, m.Reports)
		if err != nil {
			malformed++
		} else {
			changed = append(changed, decoded)
		}
		if previous != nil {
			r.addDemand(previous.demand, -1)
		}
		r.addDemand(decoded.demand, 1)
		r.nodes[m.Node] = &remoteReport{encoded: string(m.Reports), demand: decoded.demand, access: decoded.access, round: round}
	}
	for name, previous := range r.nodes {
		if previous.round != round {
			r.addDemand(previous.demand, -1)
			delete(r.nodes, name)
		}
	}
	return changed, malformed
}

func (r *remoteReports) addDemand(demand map[uint32]float32, sign float64) {
	for service, rate := range demand {
		if !(rate > 0 && rate < maxDemand) { // an infinite or NaN rate would stay in the sum
			continue
		}
		sum := r.demand[service] + sign*float64(rate)
		if sum < minDemand {
			delete(r.demand, service)
			continue
		}
		r.demand[service] = sum
	}
}

// access returns which nodes can read the log service, by their reports.
func (r *remoteReports) access() map[string]distribute.Access {
	access := make(map[string]distribute.Access, len(r.nodes))
	for name, report := range r.nodes {
		access[name] = report.access
	}
	return access
}

// shares returns this node's share of the demand of each service.
func (r *remoteReports) shares(own map[string]float64) map[string]float64 {
	shares := make(map[string]float64, len(own))
	for service, rate := range own {
		if total := rate + r.demand[serviceHash(service)]; total > 0 {
			shares[service] = rate / total
		}
	}
	return shares
}
