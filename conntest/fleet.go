package conntest

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/hyssopsill/hyssopsill/eventlog"
	"github.com/hyssopsill/hyssopsill/process/node"
	"github.com/hyssopsill/hyssopsill/process/settings"
	"github.com/hyssopsill/hyssopsill/process/telemetry"
	"github.com/hyssopsill/hyssopsill/request/attempt"
	"github.com/hyssopsill/hyssopsill/soak"
	"github.com/hyssopsill/hyssopsill/standin/logservice"
	"github.com/hyssopsill/hyssopsill/standin/peer"
	standintarget "github.com/hyssopsill/hyssopsill/standin/target"
	"github.com/hyssopsill/hyssopsill/version/config"
)

const (
	requestDeadline = 1500 * time.Millisecond
	targetSlots     = 4
	targetTTL       = 30 * time.Second // a case is over before
	// readyWait bounds the start of the nodes of a case on a busy machine.
	readyWait    = 30 * time.Second
	pollInterval = 5 * time.Millisecond
	drainTimeout = 6 * time.Second
	drainNotice  = 50 * time.Millisecond
	// cutDrainTimeout ends running requests.
	cutDrainTimeout = 80 * time.Millisecond
	connections     = 64
	// callerSlots is the number of connections of a listener without a free slot, of which
	// the caller gets the last one.
	callerSlots = 4
	// scarceMemory is the memory of a host that the heads of scarceHolders fill.
	scarceMemory  = 512 << 10
	scarceHolders = 12
	holderBytes   = 24 << 10
)

const configText = `[services.shop]
floor = 0.5
slow_start = "1ms"
[services.shop.classes.browse]
idempotent = true
deadline = %[1]q
max_body = 8388608
[services.shop.classes.order]
priority = "order"
deadline = %[1]q
max_body = 8388608
[[routes]]
id = "browse"
path_prefix = %[2]q
service = "shop"
class = "browse"
[[routes]]
id = "orders"
path_prefix = %[3]q
service = "shop"
class = "order"
`

// fleet holds the nodes of a case: the entry, and the gate unless that is the same node.
type fleet struct {
	address string // of listeners
	profile attempt.HTTPProfile
	log     *logservice.Service
	state   *config.State
	entry   *member
	gate    *member
	proxy   *soak.Proxy // between entry and gate; nil where they are one node
	running sync.WaitGroup
	holders []net.Conn // connections that use up slots or memory
}

// member is a node.
type member struct {
	*node.Node
	stop context.CancelFunc
}

func httpProfile(c Case) attempt.HTTPProfile {
	profile := attempt.DefaultHTTPProfile
	profile.CloseDelimited = !c.is(nodeProfile, "default")
	profile.CallerRequestIDs = c.is(nodeProfile, requestIDs)
	return profile
}

// caseNumber counts the cases of this process.
var caseNumber atomic.Uint32

// newAddress returns an address with a free port for the listeners of a case. Each case has a
// loopback address of its own: a node that ends late must not reach the listener of another
// case at a port that its peer has just left.
func newAddress() string {
	const hosts = 254 // .0 and .255 are left out
	n := caseNumber.Add(1)
	return fmt.Sprintf("127.%d.%d.%d:0", 1+os.Getpid()%hosts, n/hosts%256, 1+n%hosts)
}

// startFleet starts the nodes of a case, which listen on an address, with the target at
// another one.
func startFleet(ctx context.Context, c Case, address, targetAddress string) (*fleet, error) {
	f := &fleet{address: address, profile: httpProfile(c), log: logservice.New(logservice.Options{}), state: config.NewState()}
	if err := f.publish(ctx, "c1", requestDeadline, "/kits", "/orders"); err != nil {
		return f, err
	}
	apart := c.is(nodeTopology, "apart")
	var err error
	if apart {
		if f.proxy, err = soak.NewProxy(); err != nil {
			return f, err
		}
	}
	if f.entry, err = f.startNode(ctx, "n1", nil, func(s *settings.Settings) {
		if c.disrupted(slotsFull) {
			s.Limits.Connections = callerSlots
		}
		if c.disrupted(memoryRefused) {
			s.Limits.Memory = scarceMemory
		}
		if c.disrupted(cutEntry) || (c.disrupted(cutGate) && !apart) {
			s.DrainTimeout = cutDrainTimeout
		}
	}); err != nil {
		return f, err
	}
	f.gate = f.entry
	if apart {
		seeds := []string{f.entry.Addresses().PeerControl}
		if f.gate, err = f.startNode(ctx, "n2", seeds, func(s *settings.Settings) {
			s.Advertise.PeerData = f.proxy.Address()
			if c.disrupted(cutGate) {
				s.DrainTimeout = cutDrainTimeout
			}
		}); err != nil {
			return f, err
		}
		f.proxy.SetTarget(f.gate.Addresses().PeerData)
	}
	return f, f.awaitTarget(ctx, targetAddress)
}

func (f *fleet) startNode(ctx context.Context, name string, seeds []string, change func(*settings.Settings)) (*member, error) {
	s := settings.Settings{Node: name, Domain: "d1", FleetToken: "token-of-a-generated-case", LogURL: "http://127.0.0.1:1", Seeds: seeds,
		DrainTimeout: drainTimeout, DrainNotice: drainNotice,
		Listen: settings.Listen{Caller: f.address, PeerData: f.address, PeerControl: f.address, Announce: f.address, Admin: f.address},
		Limits: settings.Limits{HeaderBytes: settings.DefaultHeaderBytes, BodyBytes: 8 << 20, ReadHeaderTimeout: settings.DefaultReadHeaderTimeout,
			IdleTimeout: settings.DefaultIdleTimeout, WriteTimeout: settings.DefaultWriteTimeout, Connections: connections}}
	change(&s)
	n, err := node.New(node.Options{Settings: s, Log: zerolog.Nop(), LogService: f.log, HTTPProfile: f.profile})
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(context.WithoutCancel(ctx))
	f.running.Go(func() { _ = n.Serve(ctx) }) // its drain is part of the case
	return &member{Node: n, stop: stop}, nil
}

// publish puts a configuration in force.
func (f *fleet) publish(ctx context.Context, change string, deadline time.Duration, kits, orders string) error {
	parsed, findings := config.Parse("case.toml", fmt.Appendf(nil, configText, deadline.String(), kits, orders))
	if err := findings.Err(); err != nil {
		return err
	}
	c, err := f.state.ChangeTo(parsed, change, "conntest")
	if err != nil {
		return err
	}
	data, err := c.Encode()
	if err != nil {
		return err
	}
	offset, err := f.log.Append(ctx, eventlog.StreamConfig, data)
	if err == nil {
		f.state.Apply(eventlog.Record{Offset: offset, Data: data})
	}
	return err
}

// awaitTarget announces the target at the gate and waits until the entry may use it.
func (f *fleet) awaitTarget(ctx context.Context, address string) error {
	announcer := standintarget.New(standintarget.Options{ID: "t1", Service: "shop", Slots: targetSlots, TTL: targetTTL,
		Node: "http://" + f.gate.Addresses().Announce, Address: address})
	announced := false
	err := errors.New("it was not asked")
	for end := time.Now().Add(readyWait); time.Now().Before(end) && ctx.Err() == nil; time.Sleep(pollInterval) {
		if !announced {
			if err = announcer.Announce(ctx); err != nil {
				continue
			}
			announced = true
		}
		if err = f.usesTarget(ctx); err == nil {
			return nil
		}
	}
	return fmt.Errorf("the entry does not know the target within %s: %w", readyWait, err)
}

// usesTarget returns an error unless both nodes are ready and the entry has the target in
// rotation.
func (f *fleet) usesTarget(ctx context.Context) error {
	for _, n := range []*member{f.gate, f.entry} {
		var status node.Status
		if err := getJSON(ctx, n, "/v1/status", &status); err != nil {
			return err
		}
		if !status.Ready {
			return errors.New("a node is not ready")
		}
	}
	var targets []telemetry.TargetStatus
	if err := getJSON(ctx, f.entry, "/v1/targets", &targets); err != nil {
		return err
	}
	for _, t := range targets {
		if !t.Ejected && !t.Leaving {
			return nil
		}
	}
	return errors.New("no target is in rotation")
}

// getJSON reads a page of a node's admin listener.
func getJSON(ctx context.Context, n *member, page string, out any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.Addresses().Admin+page, http.NoBody)
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	return json.NewDecoder(resp.Body).Decode(out)
}

// prepare puts those disruptions in force that a caller finds when it connects.
func (f *fleet) prepare(ctx context.Context, c Case) error {
	held, count := "", 0
	if c.disrupted(memoryRefused) {
		held, count = "GET / HTTP/1.1\r\nX: "+strings.Repeat("x", holderBytes), scarceHolders
	}
	if c.disrupted(slotsFull) {
		count = callerSlots - 1
	}
	for range count {
		conn, err := peer.Dial(ctx, f.entry.Addresses().Caller, 0)
		if err != nil {
			return err
		}
		f.holders = append(f.holders, conn)
		_, _ = conn.Write([]byte(held)) // fails only if the node has closed it, which is its right
	}
	return nil
}

// disrupt puts a disruption in force.
func (f *fleet) disrupt(ctx context.Context, disruption string) error {
	switch disruption {
	case drainEntry, cutEntry:
		f.entry.Drain()
	case drainGate, cutGate:
		f.gate.Drain()
	case routeMoved:
		return f.publish(ctx, "moved", requestDeadline, "/moved-kits", "/moved-orders")
	case routeChanged:
		return f.publish(ctx, "changed", 2*requestDeadline, "/kits", "/orders")
	case pathReset:
		if f.proxy != nil {
			f.proxy.Reset()
		}
	case pathSilent:
		if f.proxy != nil {
			f.proxy.Silence()
		}
	}
	return nil
}

// stop ends all nodes and waits for them.
func (f *fleet) stop() {
	for _, conn := range f.holders {
		_ = conn.Close()
	}
	if f.entry != nil {
		f.entry.stop()
	}
	if f.gate != nil {
		f.gate.stop()
	}
	f.running.Wait()
	if f.proxy != nil {
		f.proxy.Close()
	}
}
