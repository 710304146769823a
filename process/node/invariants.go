package node

import "github.com/hyssopsill/hyssopsill/process/telemetry"

// Invariants returns the checks and violations that the node counted so far.
// It may be called after Serve has ended.
func (n *Node) Invariants() telemetry.InvariantsSnapshot { return n.metrics.Invariants.Snapshot() }
