package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/hyssopsill/hyssopsill/process/periodic"
	"github.com/hyssopsill/hyssopsill/process/telemetry"
	"github.com/hyssopsill/hyssopsill/request/invariant"
	"github.com/hyssopsill/hyssopsill/version/config"
)

const (
	watchInterval = 50 * time.Millisecond
	adminTimeout  = 2 * time.Second
)

// watch polls the admin listeners of the nodes, as an operator would.
type watch struct {
	nodes  []*fleetNode
	ledger *ledger
	client *http.Client

	mu    sync.Mutex
	views map[string]*nodeView
	// ejectionExpected holds the targets with a fault, and those whose fault has ended
	// but that some entry still ejects, since its reports may make others eject them.
	ejectionExpected  map[string]bool
	faultEnded        map[string]bool // those of ejectionExpected whose fault has ended
	mistakenEjections []string
	leavingID         string // target of the draining node
}

// nodeView holds the last response of the admin listener of a node.
type nodeView struct {
	reachable bool
	status    telemetry.Status
	targets   map[string]telemetry.TargetStatus
}

func newWatch(nodes []*fleetNode, ledger *ledger) *watch {
	w := &watch{nodes: nodes, ledger: ledger, client: &http.Client{Timeout: adminTimeout, Transport: &http.Transport{}},
		views: map[string]*nodeView{}, ejectionExpected: map[string]bool{}, faultEnded: map[string]bool{}}
	for _, n := range nodes {
		w.views[n.name] = &nodeView{}
	}
	return w
}

func (w *watch) run(ctx context.Context) {
	var wg sync.WaitGroup
	for _, n := range w.nodes {
		wg.Go(func() {
			w.poll(ctx, n)
			_ = periodic.Run(ctx, watchInterval, func() { w.poll(ctx, n) }) // the end of ctx is no failure
		})
	}
	wg.Wait()
}

func (w *watch) poll(ctx context.Context, n *fleetNode) {
	var status telemetry.Status
	var targets []telemetry.TargetStatus
	err := w.getJSON(ctx, n.adminURL("/v1/status"), &status)
	if err == nil {
		err = w.getJSON(ctx, n.adminURL("/v1/targets"), &targets)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	v := w.views[n.name]
	if v.reachable = err == nil; !v.reachable {
		return
	}
	w.ledger.Check(invariant.ConfigForward, status.ConfigVersion >= v.status.ConfigVersion,
		"node %s went back from version %d to %d", n.name, v.status.ConfigVersion, status.ConfigVersion)
	v.status = status
	w.recordTargets(n.name, v, targets)
	w.clearReinstated()
}

// recordTargets checks the floor and records ejections of healthy targets. The caller
// holds w.mu.
func (w *watch) recordTargets(node string, v *nodeView, targets []telemetry.TargetStatus) {
	previous := v.targets
	v.targets = map[string]telemetry.TargetStatus{}
	known, inRotation := 0, 0
	for _, t := range targets {
		v.targets[t.ID] = t
		if t.Leaving || !t.InSubset {
			continue
		}
		known++
		if !t.Ejected {
			inRotation++
		} else if !previous[t.ID].Ejected && w.healthy(t.ID) {
			w.mistakenEjections = append(w.mistakenEjections, fmt.Sprintf("%s ejected %s: %s", node, t.ID, t.Why))
		}
	}
	if known > 0 {
		minInRotation := int(math.Ceil(floor * float64(known)))
		w.ledger.Check(invariant.Floor, inRotation >= minInRotation, "node %s has %d of %d targets in rotation", node, inRotation, known)
	}
}

// healthy reports whether the target has no fault and is not leaving, so that an ejection
// is a mistake. The caller holds w.mu.
func (w *watch) healthy(id string) bool {
	return !w.ejectionExpected[id] && id != w.leavingID
}

// setFaulty records that a fault was injected into a target, or that it was cleared.
func (w *watch) setFaulty(id string, faulty bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if faulty {
		w.ejectionExpected[id], w.faultEnded[id] = true, false
		return
	}
	w.faultEnded[id] = true
	w.clearReinstated()
}

// clearReinstated stops expecting ejections of targets whose fault has ended and that no
// entry ejects any more. The caller holds w.mu.
func (w *watch) clearReinstated() {
	for id := range w.faultEnded {
		ejected := slices.ContainsFunc(w.nodes, func(n *fleetNode) bool { return w.views[n.name].targets[id].Ejected })
		if w.faultEnded[id] && !ejected {
			delete(w.ejectionExpected, id)
			delete(w.faultEnded, id)
		}
	}
}

func (w *watch) getJSON(ctx context.Context, url string, out any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	resp, err := w.client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: %s", url, resp.Status)
	}
	return json.NewDecoder(resp.Body).Decode(out)
}

// ready returns the nodes that report that they are ready.
func (w *watch) ready() []*fleetNode {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(w.nodes), func(n *fleetNode) bool {
		v := w.views[n.name]
		return !v.reachable || !v.status.Ready
	})
}

// pick returns a random ready node, or any node when none is ready.
func (w *watch) pick(random *rand.Rand) *fleetNode {
	nodes := w.ready()
	if len(nodes) == 0 {
		nodes = w.nodes
	}
	return nodes[random.IntN(len(nodes))]
}

// pickOther returns a ready node other than n if there is one.
func (w *watch) pickOther(n *fleetNode) *fleetNode {
	nodes := w.ready()
	if i := slices.Index(nodes, n); i >= 0 && len(nodes) > 1 {
		return nodes[(i+1)%len(nodes)]
	}
	if len(nodes) > 0 {
		return nodes[0]
	}
	return n
}

// minTargetsInRotation returns the smallest number of targets in rotation at any node.
func (w *watch) minTargetsInRotation() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	minInRotation := math.MaxInt
	for _, v := range w.views {
		inRotation := 0
		for _, t := range v.targets {
			if t.InSubset && !t.Ejected {
				inRotation++
			}
		}
		minInRotation = min(minInRotation, inRotation)
	}
	return minInRotation
}

// countEjecting returns how many ready nodes have ejected a target and how many nodes
// are ready.
func (w *watch) countEjecting(id string) (ejected, ready int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, v := range w.views {
		if !v.reachable || !v.status.Ready {
			continue
		}
		ready++
		if v.targets[id].Ejected {
			ejected++
		}
	}
	return ejected, ready
}

// versions returns the versions of the last views, for a config.Publisher.
func (w *watch) versions(context.Context) ([]config.NodeVersion, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []config.NodeVersion
	for _, n := range w.nodes {
		out = append(out, config.NodeVersion{Node: n.name, Domain: n.domain, Version: w.views[n.name].status.ConfigVersion})
	}
	return out, nil
}

// minVersion returns the smallest version in force at any node.
func (w *watch) minVersion() int64 {
	nodes, _ := w.versions(context.Background()) // never fails
	version := int64(math.MaxInt64)
	for _, n := range nodes {
		version = min(version, n.Version)
	}
	return version
}

func (w *watch) listMistakenEjections() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.mistakenEjections)
}

func (w *watch) setLeaving(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.leavingID = id
}

func (w *watch) status(n *fleetNode) (telemetry.Status, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	v := w.views[n.name]
	return v.status, v.reachable
}

// ejectedShare returns the sum of the shares of the entries that have ejected a target.
func (w *watch) ejectedShare(id string, shares map[string]float64) float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	sum := 0.0
	for node, share := range shares {
		if w.views[node].targets[id].Ejected {
			sum += share
		}
	}
	return sum
}
