package membership

import (
	"time"

	"github.com/hyssopsill/hyssopsill/request/attempt"
)

// NodeState is the state of a node in the view of another.
type NodeState string

const (
	NodeAlive       NodeState = "alive"
	NodeSuspect     NodeState = "suspect"     // did not respond to direct or indirect pings
	NodeUnreachable NodeState = "unreachable" // other nodes reach it, this node does not
	NodePaused      NodeState = "paused"      // declared that its process was paused
	NodeLeaving     NodeState = "leaving"     // takes no new work
	NodeLeft        NodeState = "left"
	NodeDead        NodeState = "dead"
)

// Target is an announced target of a node.
type Target struct {
	ID          string              `json:"id"`
	Service     string              `json:"service"`
	Address     string              `json:"address"` // host:port, reached by the gate on its host only
	Slots       int                 `json:"slots"`
	Incarnation attempt.Incarnation `json:"incarnation"`
	Leaving     bool                `json:"leaving,omitempty"`
	AnnouncedAt time.Time           `json:"announced_at"`
}

// Member is one node with its targets.
type Member struct {
	Node           string              `json:"node"`
	Region         string              `json:"region"`
	Domain         string              `json:"domain"` // failure domain
	Incarnation    attempt.Incarnation `json:"incarnation"`
	Version        uint64              `json:"version"`
	State          NodeState           `json:"state"`
	DataAddress    string              `json:"data_address"`    // gate, HTTP
	ControlAddress string              `json:"control_address"` // drpc
	ConfigVersion  int64               `json:"config_version"`
	Targets        []Target            `json:"targets,omitempty"`
	// Reports of the node's entry role, opaque to this package. Nil for a node that
	// is dead or has left.
	Reports []byte `json:"reports,omitempty"`
}

// View is an immutable list of the members of the fleet, sorted by node.
type View struct {
	Self    string   `json:"self"`
	Members []Member `json:"members"`
}
