package telemetry

import "github.com/hyssopsill/hyssopsill/request/attempt"

// Status holds the fields of a node's /v1/status that the operators' client reads.
// The response may have more fields.
type Status struct {
	Node          string              `json:"node"`
	Domain        string              `json:"domain"` // failure domain
	Incarnation   attempt.Incarnation `json:"incarnation"`
	Ready         bool                `json:"ready"`
	Why           string              `json:"why,omitempty"` // why the node is not ready
	Draining      bool                `json:"draining"`
	ConfigVersion int64               `json:"config_version"`
	// ConfigLeftOut are findings for which parts of this version were left out.
	ConfigLeftOut []string `json:"config_left_out,omitempty"`
	// ConfigRefused tells why a newer document was refused as a whole.
	ConfigRefused string `json:"config_refused,omitempty"`
}

// TargetStatus is one target in the view of one node. The response of /v1/targets
// is an array of them.
type TargetStatus struct {
	ID      string `json:"id"`
	Node    string `json:"node"` // node of its gate
	Domain  string `json:"domain"`
	Service string `json:"service"`
	Slots   int    `json:"slots"`
	Leaving bool   `json:"leaving,omitempty"`
	// InSubset reports whether the responding node sends work to the target.
	InSubset      bool    `json:"in_subset"`
	Ejected       bool    `json:"ejected,omitempty"`
	Weight        float64 `json:"weight"`         // 0 to 1
	Suspicion     float64 `json:"suspicion"`      // 0 to 1
	PathSuspicion float64 `json:"path_suspicion"` // 0 to 1
	Why           string  `json:"why,omitempty"`
}
