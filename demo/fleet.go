package demo

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hyssopsill/hyssopsill/eventlog"
	"github.com/hyssopsill/hyssopsill/process/node"
	"github.com/hyssopsill/hyssopsill/process/settings"
	"github.com/hyssopsill/hyssopsill/standin/logservice"
	"github.com/hyssopsill/hyssopsill/standin/target"
)

const (
	service           = "shop"
	anyPort           = "127.0.0.1:0"
	announcementTTL   = 2 * time.Second
	readHeaderTimeout = 5 * time.Second
	seedNodes         = 2
)

// fleet holds the log service, the nodes and their targets.
type fleet struct {
	options    Options
	logService *logservice.Service
	logURL     string
	seeds      []string // peer control addresses of the first nodes
	nodes      []*fleetNode

	nodesRunning    sync.WaitGroup
	standinsRunning sync.WaitGroup // log service and targets
	standinCtx      context.Context
	stopStandins    context.CancelFunc
}

// fleetNode is a node and the target on its host.
type fleetNode struct {
	name, domain string
	node         *node.Node
	addresses    settings.Listen
	ended        chan struct{}

	targetID string
	target   *target.Target
	server   *http.Server // of the target
	hanging  atomic.Bool

	mu       sync.Mutex
	arrivals []time.Time     // of requests at the target, without health checks
	hangCtx  context.Context // ends when the hang fault is cleared
	endHang  context.CancelFunc
}

func (n *fleetNode) adminURL(path string) string { return "http://" + n.addresses.Admin + path }

func (n *fleetNode) recordArrival(at time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.arrivals = append(n.arrivals, at)
}

// arrivalsSince returns the arrivals after a time.
func (n *fleetNode) arrivalsSince(t time.Time) []time.Time {
	n.mu.Lock()
	defer n.mu.Unlock()
	i := sort.Search(len(n.arrivals), func(i int) bool { return n.arrivals[i].After(t) })
	return slices.Clone(n.arrivals[i:])
}

// serveTarget serves a request at the target. Requests that hang are aborted when the
// fault is cleared, as by a restart of the hung part of a target.
func (n *fleetNode) serveTarget(w http.ResponseWriter, r *http.Request) {
	n.mu.Lock()
	hangCtx := n.hangCtx
	n.mu.Unlock()
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	hanging := n.hanging.Load()
	if hanging {
		defer context.AfterFunc(hangCtx, cancel)()
	}
	n.target.ServeHTTP(w, r.WithContext(ctx))
	if hanging && hangCtx.Err() != nil {
		panic(http.ErrAbortHandler)
	}
}

// setFaults replaces the faults of the target.
func (n *fleetNode) setFaults(f target.Faults) {
	n.target.SetFaults(f)
	if n.hanging.Swap(f.Hang) && !f.Hang {
		n.mu.Lock()
		defer n.mu.Unlock()
		n.endHang()
		n.hangCtx, n.endHang = context.WithCancel(context.WithoutCancel(n.hangCtx))
	}
}

// startFleet starts all parts. The nodes run until ctx ends. stop waits for them before
// it ends the log service and the targets, which the nodes need until they have ended.
func startFleet(ctx context.Context, o Options) (*fleet, error) {
	f := &fleet{options: o}
	f.standinCtx, f.stopStandins = context.WithCancel(context.WithoutCancel(ctx))
	f.logService = logservice.New(logservice.Options{})
	address, _, err := f.serve(f.logService.Handler())
	if err != nil {
		return nil, err
	}
	f.logURL = "http://" + address
	for i := range domains * nodesPerDomain {
		if err := f.startNode(ctx, i); err != nil {
			return nil, err
		}
	}
	return f, nil
}

// serve runs an HTTP server on a free port until standinCtx ends.
func (f *fleet) serve(h http.Handler) (string, *http.Server, error) {
	listener, err := net.Listen("tcp", anyPort)
	if err != nil {
		return "", nil, fmt.Errorf("demo: %w", err)
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout}
	f.standinsRunning.Go(func() { _ = server.Serve(listener) }) // ends with ErrServerClosed
	context.AfterFunc(f.standinCtx, func() { _ = server.Close() })
	return listener.Addr().String(), server, nil
}

func (f *fleet) startNode(ctx context.Context, i int) error {
	n := &fleetNode{
		name: fmt.Sprintf("n%d", i+1), domain: fmt.Sprintf("d%d", i%domains+1), targetID: fmt.Sprintf("t%d", i+1),
		ended: make(chan struct{}),
	}
	s, findings := settings.Parse("demo", fmt.Appendf(nil, `node = %q
domain = %q
fleet_token = "demo-fleet-token-0123456789"
log_url = %q
seeds = [%s]
[listen]
caller = %[5]q
peer_data = %[5]q
peer_control = %[5]q
announce = %[5]q
admin = %[5]q
`, n.name, n.domain, f.logURL, strings.Join(f.seeds, ", "), anyPort))
	if err := findings.Err(); err != nil {
		return err
	}
	var err error
	if n.node, err = node.New(node.Options{Settings: s, LogService: f.logService, Log: f.options.Log.With().Str("node", n.name).Logger()}); err != nil {
		return err
	}
	n.addresses = n.node.Addresses()
	if len(f.seeds) < seedNodes {
		f.seeds = append(f.seeds, strconv.Quote(n.addresses.PeerControl))
	}
	f.nodes = append(f.nodes, n)
	f.nodesRunning.Go(func() {
		defer close(n.ended)
		if err := n.node.Serve(ctx); err != nil {
			f.options.Log.Error().Err(err).Str("node", n.name).Msg("demo: node ended")
		}
	})
	return f.startTarget(n, uint64(i))
}

func (f *fleet) startTarget(n *fleetNode, seed uint64) error {
	address, server, err := f.serve(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/healthz" {
			n.recordArrival(time.Now())
		}
		n.serveTarget(w, r)
	}))
	if err != nil {
		return err
	}
	n.server = server
	n.hangCtx, n.endHang = context.WithCancel(f.standinCtx)
	n.target = target.New(target.Options{
		ID: n.targetID, Service: service, Slots: slots, TTL: announcementTTL, Seed: f.options.Seed + seed,
		Node: "http://" + n.addresses.Announce, Address: address,
	})
	f.standinsRunning.Go(func() {
		if err := n.target.Serve(f.standinCtx); !errors.Is(err, context.Canceled) {
			f.options.Log.Error().Err(err).Str("target", n.targetID).Msg("demo: target ended")
		}
	})
	return nil
}

// stop waits for the nodes, whose context has ended, and stops the rest. It closes
// the connections of the targets first, since a request that hangs would block the
// drain of its node forever.
func (f *fleet) stop() {
	for _, n := range f.nodes {
		_ = n.server.Close()
	}
	f.nodesRunning.Wait()
	f.stopStandins()
	f.standinsRunning.Wait()
}

func (f *fleet) log() eventlog.Log { return f.logService }
