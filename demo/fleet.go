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

// fleet is the log, the nodes and their targets.
type fleet struct {
	o      Options
	store  *logservice.Service
	logURL string
	seeds  []string // control addresses of the first nodes
	nodes  []*fleetNode

	running     sync.WaitGroup // nodes
	wg          sync.WaitGroup // log and targets
	outside     context.Context
	stopOutside context.CancelFunc
}

// fleetNode is a node with the target on its host.
type fleetNode struct {
	name, domain string
	node         *node.Node
	addresses    settings.Listen
	ended        chan struct{}

	id     string // of the target
	target *target.Target
	server *http.Server // of the target
	hangs  atomic.Bool

	mu       sync.Mutex
	arrivals []time.Time     // requests that reached the target, without health checks
	stuck    context.Context // ends when a fault ends
	unstick  context.CancelFunc
}

func (n *fleetNode) admin(path string) string { return "http://" + n.addresses.Admin + path }

func (n *fleetNode) arrived(at time.Time) {
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

// serveTarget breaks off what hangs when the fault ends, as a restart of the
// stuck part of a target does.
func (n *fleetNode) serveTarget(w http.ResponseWriter, r *http.Request) {
	n.mu.Lock()
	stuck := n.stuck
	n.mu.Unlock()
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	hanging := n.hangs.Load()
	if hanging {
		defer context.AfterFunc(stuck, cancel)()
	}
	n.target.ServeHTTP(w, r.WithContext(ctx))
	if hanging && stuck.Err() != nil {
		panic(http.ErrAbortHandler)
	}
}

// setFaults replaces the faults of the target.
func (n *fleetNode) setFaults(f target.Faults) {
	n.target.SetFaults(f)
	if n.hangs.Swap(f.Hang) && !f.Hang {
		n.mu.Lock()
		defer n.mu.Unlock()
		n.unstick()
		n.stuck, n.unstick = context.WithCancel(context.WithoutCancel(n.stuck))
	}
}

// startFleet starts all parts. The nodes run until ctx ends; stop waits for
// them and ends the log and the targets, which the nodes need to the last.
func startFleet(ctx context.Context, o Options) (*fleet, error) {
	f := &fleet{o: o}
	f.outside, f.stopOutside = context.WithCancel(context.WithoutCancel(ctx))
	f.store = logservice.New(logservice.Options{})
	address, _, err := f.serve(f.store.Handler())
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

// serve runs an HTTP server on a free port until stop.
func (f *fleet) serve(h http.Handler) (string, *http.Server, error) {
	l, err := net.Listen("tcp", anyPort)
	if err != nil {
		return "", nil, fmt.Errorf("demo: %w", err)
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout}
	f.wg.Go(func() { _ = server.Serve(l) }) // ends with ErrServerClosed
	context.AfterFunc(f.outside, func() { _ = server.Close() })
	return l.Addr().String(), server, nil
}

func (f *fleet) startNode(ctx context.Context, i int) error {
	n := &fleetNode{
		name: fmt.Sprintf("n%d", i+1), domain: fmt.Sprintf("d%d", i%domains+1), id: fmt.Sprintf("t%d", i+1),
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
	if n.node, err = node.New(node.Options{Settings: s, LogService: f.store, Log: f.o.Log.With().Str("node", n.name).Logger()}); err != nil {
		return err
	}
	n.addresses = n.node.Addresses()
	if len(f.seeds) < seedNodes {
		f.seeds = append(f.seeds, strconv.Quote(n.addresses.PeerControl))
	}
	f.nodes = append(f.nodes, n)
	f.running.Go(func() {
		defer close(n.ended)
		if err := n.node.Serve(ctx); err != nil {
			f.o.Log.Error().Err(err).Str("node", n.name).Msg("demo: node ended")
		}
	})
	return f.startTarget(n, uint64(i))
}

func (f *fleet) startTarget(n *fleetNode, seed uint64) error {
	address, server, err := f.serve(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/healthz" {
			n.arrived(time.Now())
		}
		n.serveTarget(w, r)
	}))
	if err != nil {
		return err
	}
	n.server = server
	n.stuck, n.unstick = context.WithCancel(f.outside)
	n.target = target.New(target.Options{
		ID: n.id, Service: service, Slots: slots, TTL: announcementTTL, Seed: f.o.Seed + seed,
		Node: "http://" + n.addresses.Announce, Address: address,
	})
	f.wg.Go(func() {
		if err := n.target.Serve(f.outside); !errors.Is(err, context.Canceled) {
			f.o.Log.Error().Err(err).Str("target", n.id).Msg("demo: target ended")
		}
	})
	return nil
}

// stop waits for the nodes, whose context has ended, and stops the rest.
// Targets close their connections first: a request that hangs would hold up
// the drain of its node without end.
func (f *fleet) stop() {
	for _, n := range f.nodes {
		_ = n.server.Close()
	}
	f.running.Wait()
	f.stopOutside()
	f.wg.Wait()
}

func (f *fleet) log() eventlog.Log { return f.store }
