package control_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/hyssopsill/hyssopsill/eventlog"
	"github.com/hyssopsill/hyssopsill/process/control"
	"github.com/hyssopsill/hyssopsill/process/control/controlpb"
	"github.com/hyssopsill/hyssopsill/request/attempt"
	"github.com/hyssopsill/hyssopsill/request/invariant"
	"github.com/hyssopsill/hyssopsill/standin/logservice"
	"github.com/hyssopsill/hyssopsill/version/config"
	"github.com/hyssopsill/hyssopsill/version/distribute"
	"github.com/hyssopsill/hyssopsill/version/membership"
)

// node runs the control services of one node over real sockets.
type node struct {
	*control.Gossip
	*control.Configuration
	name    string
	address string
	meter   *control.Meter
}

// handler serves the calls of a node. node cannot be the Handler itself, since
// it embeds two services whose methods have the same names.
type handler struct{ n *node }

func (h handler) Exchange(ctx context.Context, from string, m []byte) ([][]byte, error) {
	return h.n.Gossip.Exchange(ctx, from, m)
}

func (h handler) Configuration(ctx context.Context, r *controlpb.ConfigurationRequest) (*controlpb.ConfigurationResponse, error) {
	return h.n.Configuration.Configuration(ctx, r)
}

func (h handler) Document(ctx context.Context, r *controlpb.DocumentRequest, send func(*controlpb.DocumentPart) error) error {
	return h.n.Configuration.Document(ctx, r, send)
}

func (h handler) Snapshot(ctx context.Context, newerThan int64) ([]byte, error) {
	return h.n.Configuration.Snapshot(ctx, newerThan)
}

func (h handler) Explain(context.Context, []byte) ([]byte, error) { return []byte("[]"), nil }

func (h handler) Status(context.Context) (*controlpb.StatusResponse, error) {
	version, offset := h.n.Version()
	return &controlpb.StatusResponse{Node: h.n.name, ConfigVersion: version, ConfigOffset: offset, Ready: h.n.Ready()}, nil
}

func (n *node) peers() ([]distribute.Peer, bool) {
	var out []distribute.Peer
	for _, m := range n.View().Members {
		if m.State != membership.NodeDead && m.State != membership.NodeLeft && m.Node != n.name {
			out = append(out, distribute.Peer{Node: m.Node, Domain: m.Domain, Address: m.ControlAddress, Version: m.ConfigVersion})
		}
	}
	return out, true
}

func startNode(t testing.TB, name, domain string, seeds []string, log eventlog.Log) *node {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	n := &node{name: name, address: listener.Addr().String(), meter: control.NewMeter()}
	random := func(stream uint64) *rand.Rand { return rand.New(rand.NewPCG(uint64(len(name)), stream)) }
	client := control.NewClient(control.ClientOptions{Token: "secret", Meter: n.meter, Timeout: time.Second})
	m := membership.New(membership.Options{
		Node: name, Region: "r", Domain: domain, ControlAddress: n.address, Seeds: seeds,
		Incarnation: attempt.NewIncarnation(time.Now(), random(1)),
	}, random(2), invariant.PanicReporter{})
	n.Gossip = control.NewGossip(name, m, client)
	n.Configuration = control.NewConfiguration(control.ConfigurationOptions{
		Distribute: distribute.Options{Node: name, Domain: domain, OnConfig: func(c *config.Config) { _ = c.CustomerHeader }},
		Log:        log, Client: client, Peers: n.peers, Random: random(3), Reporter: invariant.PanicReporter{},
	})
	server, err := control.NewServer(control.ServerOptions{Token: "secret", Meter: n.meter}, handler{n})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var wait sync.WaitGroup
	wait.Go(func() { _ = server.Serve(ctx, listener) })
	wait.Go(func() { _ = n.Gossip.Serve(ctx) })
	wait.Go(func() { _ = n.Configuration.Serve(ctx) })
	wait.Go(func() {
		for ctx.Err() == nil {
			version, _ := n.Version()
			n.WithLock(func(m *membership.Membership) { m.SetLocal(time.Now(), membership.Local{ConfigVersion: version}) })
			time.Sleep(100 * time.Millisecond)
		}
	})
	t.Cleanup(func() { cancel(); wait.Wait(); _ = client.Close() })
	return n
}

func waitFor(t testing.TB, limit time.Duration, description string, condition func() bool) {
	t.Helper()
	for startedAt := time.Now(); !condition(); time.Sleep(20 * time.Millisecond) {
		if time.Since(startedAt) > limit {
			t.Fatalf("%s: not within %s", description, limit)
		}
	}
}

// Guards against services that do not work together over real sockets: a change
// must be accepted and in force on all nodes, and a node that starts while the
// log is down must get it from its peers.
func TestFleetOverSockets(t *testing.T) {
	log := logservice.New(logservice.Options{})
	nodes := []*node{startNode(t, "n0", "d0", nil, log)}
	for i := range 4 {
		nodes = append(nodes, startNode(t, fmt.Sprint("n", i+1), fmt.Sprint("d", (i+1)%3), []string{nodes[0].address}, log))
	}
	waitFor(t, 10*time.Second, "all know each other", func() bool {
		for _, n := range nodes {
			if peers, _ := n.peers(); len(peers) != 4 || !n.Ready() {
				return false
			}
		}
		return true
	})

	client := control.NewClient(control.ClientOptions{Token: "secret"})
	defer client.Close()
	publisher := &config.Publisher{Log: log, Versions: func(ctx context.Context) ([]config.NodeVersion, error) {
		peers, _ := nodes[0].peers()
		return control.FetchVersions(ctx, client, peers), nil
	}}
	log.SetFaults(logservice.Faults{LoseAppends: 1, DuplicateReads: true})
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	edit := config.Edit{Object: config.ObjectCustomers, Value: `customer_header = "X-Account"`}
	change := config.Change{ChangeID: "one", Author: "ana", Edits: []config.Edit{edit}}
	accepted, err := publisher.Publish(ctx, config.NewState(), change)
	if err != nil || !accepted.Accepted {
		t.Fatalf("%+v, %v", accepted, err)
	}
	change.ChangeID = "two" // on the same base as change one, so it is rejected
	var rejected *config.RejectedError
	if _, err := publisher.Publish(ctx, config.NewState(), change); !errors.As(err, &rejected) {
		t.Fatalf("got %v, want a rejected change", err)
	}
	waitFor(t, 10*time.Second, "change is in force on all nodes", func() bool {
		for _, n := range nodes {
			if n.Config().CustomerHeader != "X-Account" {
				return false
			}
		}
		return true
	})

	log.SetFaults(logservice.Faults{Outage: true})
	freshNode := startNode(t, "fresh", "d1", []string{nodes[1].address}, log)
	waitFor(t, 15*time.Second, "fresh node is ready", freshNode.Ready)
	if got := freshNode.Config().CustomerHeader; got != "X-Account" {
		t.Fatalf("fresh node is ready with %q", got)
	}
	if bytesIn := nodes[0].meter.Vars().Get("Exchange.bytes_in"); bytesIn == nil || nodes[0].meter.Bytes() == 0 {
		t.Fatalf("meter: %s", nodes[0].meter.Vars())
	}
}

// Guards against nodes that do not write a lost change again over real sockets, or
// that do not agree, after the log came back from an older copy.
func TestFleetWritesLostChangesAgain(t *testing.T) {
	log := logservice.New(logservice.Options{})
	nodes := []*node{startNode(t, "n0", "d0", nil, log)}
	for i := range 4 {
		nodes = append(nodes, startNode(t, fmt.Sprint("n", i+1), fmt.Sprint("d", (i+1)%3), []string{nodes[0].address}, log))
	}
	publish := func(header string) {
		t.Helper()
		state, err := config.Load(t.Context(), log)
		if err != nil {
			t.Fatal(err)
		}
		edit := config.Edit{Object: config.ObjectCustomers, BaseVersion: state.ObjectVersion(config.ObjectCustomers), Value: fmt.Sprintf("customer_header = %q", header)}
		data, err := config.Change{ChangeID: header, Author: "ana", Edits: []config.Edit{edit}}.Encode()
		if err != nil {
			t.Fatal(err)
		}
		if _, err := log.Append(t.Context(), eventlog.StreamConfig, data); err != nil {
			t.Fatal(err)
		}
	}
	allHave := func(header string, era int64) func() bool {
		return func() bool {
			for _, n := range nodes {
				if version, _ := n.Version(); n.Config().CustomerHeader != header || config.PositionOf(version).Era != era {
					return false
				}
			}
			return true
		}
	}
	publish("X-Kept")
	waitFor(t, 20*time.Second, "first change is in force", allHave("X-Kept", 0))
	log.Checkpoint()
	publish("X-Lost")
	waitFor(t, 20*time.Second, "second change is in force", allHave("X-Lost", 0))
	log.Restore()
	waitFor(t, 20*time.Second, "second change is in force in era 1", allHave("X-Lost", 1))
	publish("X-New")
	waitFor(t, 20*time.Second, "third change is in force", allHave("X-New", 1))
}
