package node

import (
	"context"
	"errors"
	"expvar"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/thejerf/suture/v4"

	"github.com/hyssopsill/hyssopsill/connection/quota"
	"github.com/hyssopsill/hyssopsill/connection/transfer"
	"github.com/hyssopsill/hyssopsill/eventlog"
	"github.com/hyssopsill/hyssopsill/finding"
	"github.com/hyssopsill/hyssopsill/process/control"
	"github.com/hyssopsill/hyssopsill/process/control/controlpb"
	"github.com/hyssopsill/hyssopsill/process/entry"
	"github.com/hyssopsill/hyssopsill/process/gate"
	"github.com/hyssopsill/hyssopsill/process/settings"
	"github.com/hyssopsill/hyssopsill/process/telemetry"
	"github.com/hyssopsill/hyssopsill/request/attempt"
	"github.com/hyssopsill/hyssopsill/request/poison"
	"github.com/hyssopsill/hyssopsill/request/record"
	"github.com/hyssopsill/hyssopsill/version/config"
	"github.com/hyssopsill/hyssopsill/version/distribute"
	"github.com/hyssopsill/hyssopsill/version/document"
)

// Options configure a Node.
type Options struct {
	Settings settings.Settings
	Log      zerolog.Logger
	// LogService is the platform's log service. Required.
	LogService eventlog.Store
	// HTTPProfile defines the header fields towards callers and targets. Default
	// attempt.DefaultHTTPProfile.
	HTTPProfile attempt.HTTPProfile
	// HostService is the service of the targets on this host. Requests from this
	// host carry it when the HTTP profile names a field for it.
	HostService string
	// Documents, if set, is where operators publish whole configurations. Without
	// it the configuration results from the changes in the log's stream.
	Documents *control.DocumentSource
	// AnnounceHandler returns the handler for announcements of targets. Default
	// gate.Gate.AnnounceHandler.
	AnnounceHandler func(*gate.Gate) http.Handler
	// Now is the clock. Default time.Now.
	Now func() time.Time
	// PanicOnViolation makes a violated invariant panic. Tests set it.
	PanicOnViolation bool
}

// Node is one node of the fleet.
type Node struct {
	options      Options
	now          func() time.Time
	log          zerolog.Logger
	listeners    listeners
	memory       *memory // of the connections of all listeners
	metrics      *telemetry.Metrics
	ring         *record.Ring
	exporter     *telemetry.Exporter
	recordLogger *telemetry.RecordLogger
	gate         *gate.Gate
	entry        *entry.Entry
	meter        *control.Meter
	client       *control.Client
	fleet        *fleetView
	config       configuration
	control      *control.Server
	version      atomic.Int64 // of the configuration in force
	inForce      atomic.Pointer[config.Config]
	runContext   context.Context // ends with the node, after its drain
	stop         context.CancelCauseFunc
	serving      atomic.Bool // the roles have started, with the final incarnation
	servers      servers
	supervisor   *suture.Supervisor
	draining     atomic.Bool
	drainTimer   drainTimer
	// drainStartedAt is set before drainTimer starts, and constant then.
	drainStartedAt time.Time
	failed         context.Context // ends when the node cannot continue, with the reason as its cause
	setFailed      context.CancelCauseFunc
}

// New binds the listeners of a node. Serve must be called to run it.
func New(o Options) (*Node, error) {
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.LogService == nil {
		return nil, errors.New("node: Options.LogService is missing")
	}
	if o.HTTPProfile == (attempt.HTTPProfile{}) {
		o.HTTPProfile = attempt.DefaultHTTPProfile
	}
	if o.AnnounceHandler == nil {
		o.AnnounceHandler = (*gate.Gate).AnnounceHandler
	}
	node := &Node{options: o, now: o.Now, log: o.Log, memory: newMemory(o.Settings.Limits, maxDescriptors(), o.HTTPProfile, o.Log)}
	if err := node.listeners.open(o.Settings, node.memory, o.Log); err != nil {
		return nil, err
	}
	node.runContext, node.stop = context.WithCancelCause(context.Background())
	node.failed, node.setFailed = context.WithCancelCause(context.Background())
	node.buildTelemetry()
	node.buildRoles()
	const _ = uint(control.MaxTokenBytes - settings.MaxTokenBytes) // settings that pass their check start
	node.client = control.NewClient(control.ClientOptions{Token: o.Settings.FleetToken, Meter: node.meter, Timeout: controlCallTimeout})
	node.fleet = newFleetView(node, node.client)
	node.config = node.newConfiguration()
	node.metrics.Set("config_log", expvar.Func(node.logStatusMetric))
	server, err := control.NewServer(control.ServerOptions{
		Token: o.Settings.FleetToken, Meter: node.meter, MaxConnections: o.Settings.Limits.Connections,
		HandshakeTimeout: o.Settings.Limits.ReadHeaderTimeout,
		OnPeer:           func(conn net.Conn) { conn.(*limitedConn).setPeer() },
		Log:              func(err error) { node.log.Debug().Msgf("node: %v", err) },
	}, peerHandler{node})
	if err != nil {
		node.listeners.close()
		return nil, err
	}
	node.control = server
	node.listeners.peerControl.closeWaiting = func() bool { return server.CloseUnauthenticated(headerWait) }
	node.supervise()
	return node, nil
}

// record passes a decision record to the exporter, counts it and writes its log
// line.
func (n *Node) record(r record.Record) {
	n.exporter.Record(r)
	n.metrics.ObserveRecord(r)
	n.recordLogger.Write(r)
}

func newRand() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

func (n *Node) buildTelemetry() {
	name := n.options.Settings.Node
	n.metrics = telemetry.New(telemetry.Options{
		Node: name, Invariants: telemetry.InvariantOptions{Panic: n.options.PanicOnViolation, Now: n.now},
	})
	n.ring = record.NewRing(record.RingOptions{})
	n.exporter = telemetry.NewExporter(telemetry.ExportOptions{Node: name, Incarnation: attempt.NewIncarnation(n.now(), newRand())}, n.ring, n.options.LogService, n.log)
	n.exporter.PublishMetrics(n.metrics)
	n.recordLogger = telemetry.NewRecordLogger(n.log)
	n.recordLogger.PublishMetrics(n.metrics)
	n.meter = control.NewMeter()
	n.metrics.Set("control", n.meter.Vars())
	n.metrics.Set("connection_memory", expvar.Func(n.memory.metric))
	n.metrics.Set("config_version", expvar.Func(func() any { return n.version.Load() }))
}

func (n *Node) buildRoles() {
	s := n.options.Settings
	var loadsFor func(node, service, target string, load attempt.Load) string
	if s.Defaults.ShareLoads {
		loadsFor = func(node, service, target string, load attempt.Load) string {
			return n.entry.LoadsFor(node, service, target, load)
		}
	}
	n.gate = gate.New(gate.Options{
		Node: s.Node, Token: s.FleetToken, HeaderBytes: int64(s.Limits.HeaderBytes), HTTPProfile: n.options.HTTPProfile, QueuePerSlot: s.Defaults.QueuePerSlot,
		RetryShare: s.Defaults.RetryShare, AdditionalRetries: s.Defaults.AdditionalRetries, RetryWindow: s.Defaults.RetryWindow,
		Now: n.now, Rand: newRand(), Log: n.log, Reporter: n.metrics.Invariants, Record: n.record,
		OnPoisonChanges: func(cs []poison.Change) { n.entry.RetractCrashes(cs) },
		LoadsFor:        loadsFor,
	})
	n.entry = entry.New(entry.Options{
		Node: s.Node, Region: s.Region, Domain: s.Domain, Token: s.FleetToken, LogRetention: s.LogRetention,
		HTTPProfile: n.options.HTTPProfile, HostService: n.options.HostService, RetryShare: s.Defaults.RetryShare, GateControlsRetries: s.Defaults.AdditionalRetries > 0,
		ShareLoads:  s.Defaults.ShareLoads,
		HeaderBytes: int64(s.Limits.HeaderBytes), BodyBytes: s.Limits.BodyBytes,
		Now: n.now, Rand: newRand(), Log: n.log, Reporter: n.metrics.Invariants, LogService: n.options.LogService,
		Record: n.record, OnRequestEnd: n.metrics.ObserveRequest, Quarantined: n.gate.Quarantined,
		HostRetryShare: n.gate.RetryShare, HostRank: n.gate.MostUrgentRank, OnCalledRoom: n.gate.NoteCalledRoom, OnFailedRequest: n.gate.NoteFailedCall, OnCallRefused: n.gate.NoteRefusedCall,
		ConfigOutdated: func() bool { return n.config.Outdated() },
		OnCrash:        n.gate.MergePoison, OnAccountRefused: func() { n.metrics.Add("account_refused", 1) },
		AccountBounds: quota.Bounds{Window: s.Defaults.AccountWindow, Overage: s.Defaults.AccountOverage, Slack: s.Defaults.AccountSlack},
	})
	n.gate.SetQuota(n.entry.PeerQuota())
	n.metrics.Set("accounts_limited", expvar.Func(func() any { return n.entry.ThrottledAccounts() }))
	n.metrics.Set("gate_running", expvar.Func(func() any { return n.gate.Running() }))
	n.metrics.Set("gate_orders", expvar.Func(func() any { return n.gate.Usage() }))
	if s.Defaults.ShareLoads {
		n.metrics.Set("shared_loads", expvar.Func(func() any { return n.entry.LoadCounts() }))
	}
	n.metrics.Set("entry_active", expvar.Func(func() any { return n.entry.Active() }))
}

// Addresses returns the addresses of the listeners.
func (n *Node) Addresses() settings.Listen { return n.listeners.addresses() }

func (n *Node) supervise() {
	n.supervisor = suture.New("node "+n.options.Settings.Node, suture.Spec{EventHook: func(e suture.Event) {
		n.log.Warn().Msgf("node: %s", e)
	}})
	n.supervisor.Add(service{"gate", n.gate.Serve})
	n.supervisor.Add(service{"entry", n.entry.Serve})
	n.supervisor.Add(service{"account limits", n.entry.ServeQuota})
	if n.options.HTTPProfile.OrderKey != "" {
		n.supervisor.Add(service{"order bindings", n.entry.ServeBindings})
	}
	n.supervisor.Add(service{"membership", n.serveGossip})
	n.supervisor.Add(service{"fleet view", n.fleet.Serve})
	n.supervisor.Add(service{"seeds", n.fleet.ServeSeeds})
	n.supervisor.Add(service{"configuration", n.config.Serve})
	n.supervisor.Add(service{"start", n.startRoles})
	n.supervisor.Add(service{"listener peer_control", n.serveControl})
	if n.options.Settings.DecisionStream {
		n.supervisor.Add(n.exporter)
	}
	limits := n.options.Settings.Limits
	n.servers.caller = newHTTPService("caller", n.listeners.caller, n.entry, limits, n.log)
	n.servers.caller.server.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		return entry.ConnContext(connContext(ctx, conn), conn)
	}
	n.servers.peerData = newHTTPService("peer_data", n.listeners.peerData, n.gate.PeerHandler(), limits, n.log)
	n.servers.announce = newHTTPService("announce", n.listeners.announce, n.options.AnnounceHandler(n.gate), limits, n.log)
	n.servers.admin = newHTTPService("admin", n.listeners.admin, n.adminHandler(), limits, n.log)
	if n.listeners.metrics != nil {
		n.supervisor.Add(newHTTPService("metrics", n.listeners.metrics, n.metrics.Handler(), limits, n.log))
	}
	for _, s := range n.servers.all() {
		n.supervisor.Add(s)
	}
}

// Serve runs the node until ctx ends, then drains: running requests finish
// within the drain timeout of the settings.
func (n *Node) Serve(ctx context.Context) error {
	defer n.listeners.close()
	defer n.gate.Close()
	defer n.entry.Close()
	defer func() { _ = n.client.Close() }() // all calls have ended
	a := n.Addresses()
	n.log.Info().Str("caller", a.Caller).Str("peer_data", a.PeerData).Str("peer_control", a.PeerControl).
		Str("announce", a.Announce).Str("admin", a.Admin).Str("metrics", a.Metrics).Msg("node: listening")
	stopDrain := context.AfterFunc(ctx, n.Drain)
	defer stopDrain()
	err := n.supervisor.Serve(n.runContext)
	if cause := context.Cause(n.runContext); cause != nil && !errors.Is(cause, errDrained) {
		return cause
	}
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

var errDrained = errors.New("node: drained")

// fail drains the node and makes Serve return err. Running requests finish.
func (n *Node) fail(err error) {
	n.log.Error().Err(err).Msg("node: cannot continue, draining")
	n.setFailed(err)
	n.Drain()
}

// endCause returns why the node ends after its drain.
func (n *Node) endCause() error {
	if err := context.Cause(n.failed); err != nil {
		return err
	}
	return errDrained
}

const startPollInterval = 20 * time.Millisecond

// startRoles starts the roles once the node has a configuration and has joined,
// so that its incarnation is the highest known under its name.
func (n *Node) startRoles(ctx context.Context) error {
	ticker := time.NewTicker(startPollInterval)
	defer ticker.Stop()
	for !(n.fleet.joined() && n.config.Ready()) {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
	if !n.serving.Load() {
		incarnation := n.fleet.incarnation()
		n.gate.Start(incarnation)
		n.entry.Start(incarnation)
		n.serving.Store(true)
		n.log.Info().Msgf("node: serving as incarnation %s", incarnation)
	}
	<-ctx.Done()
	return ctx.Err()
}

// serveGossip runs the membership. It drains the node when another process has
// taken over its name.
func (n *Node) serveGossip(ctx context.Context) error {
	err := n.fleet.gossip.Serve(ctx)
	if errors.Is(err, control.ErrSuperseded) {
		n.fail(err)
	}
	return err
}

// configuration keeps the configuration of this node up to date and gives it to
// peers.
type configuration interface {
	suture.Service
	// Ready reports whether the configuration allows the node to serve.
	Ready() bool
	// Version returns the version in force and the offset up to which the source
	// was read.
	Version() (version, offset int64)
	Configuration(context.Context, *controlpb.ConfigurationRequest) (*controlpb.ConfigurationResponse, error)
	Document(ctx context.Context, r *controlpb.DocumentRequest, send func(*controlpb.DocumentPart) error) error
	Snapshot(ctx context.Context, newerThan int64) ([]byte, error)
	LogStatus() control.LogStatus
	// Outdated reports whether another node is known to have a newer version.
	Outdated() bool
}

// logStatusMetric is the metric config_log.
type logStatusMetric struct {
	Reader         bool    `json:"reader"`
	Watcher        bool    `json:"watcher"`
	LastReadAgeSec float64 `json:"last_read_age_s"` // -1 without a successful read

	Sender              string  `json:"sender"`     // of the document in force
	Refused             bool    `json:"refused"`    // a document was refused since then
	LeftOut             int     `json:"left_out"`   // findings for which parts of the configuration in force were left out
	InForceSec          float64 `json:"in_force_s"` // -1 without a document
	FailedAnnouncements int64   `json:"failed_announcements"`

	Transfers transfer.Counts `json:"transfers"`
}

func (n *Node) logStatusMetric() any {
	status := n.config.LogStatus()
	metric := logStatusMetric{Reader: status.Reader, Watcher: status.Watcher, LastReadAgeSec: -1,
		Sender: status.Sender, Refused: status.Refused != "", LeftOut: len(n.leftOut()), InForceSec: -1, FailedAnnouncements: status.FailedAnnouncements, Transfers: status.Transfers}
	if !status.LastRead.IsZero() {
		metric.LastReadAgeSec = n.now().Sub(status.LastRead).Seconds()
	}
	if !status.InForceSince.IsZero() {
		metric.InForceSec = n.now().Sub(status.InForceSince).Seconds()
	}
	return metric
}

func (n *Node) newConfiguration() configuration {
	s := n.options.Settings
	if n.options.Documents != nil {
		return control.NewDocuments(control.DocumentOptions{
			Core:   document.Options{Node: s.Node, Domain: s.Domain, Decode: n.options.Documents.Decode, OnConfig: n.setConfig},
			Source: *n.options.Documents, Client: n.client, Peers: n.fleet.peers, Random: newRand(), Reporter: n.metrics.Invariants, Log: n.log,
			Record: n.record, OnAccess: n.fleet.setAccess,
		})
	}
	return control.NewConfiguration(control.ConfigurationOptions{
		Distribute: distribute.Options{Node: s.Node, Domain: s.Domain, OnConfig: n.setConfig, OnResult: n.logResult, OnEvent: n.logConfigEvent},
		Log:        n.options.LogService, Client: n.client, Peers: n.fleet.peers, Random: newRand(), Reporter: n.metrics.Invariants,
		OnAccess: n.fleet.setAccess,
	})
}

// setConfig puts a configuration in force. Calls come in the order of versions.
func (n *Node) setConfig(c *config.Config) {
	previous := n.version.Swap(c.Version)
	n.entry.SetConfig(c)
	n.gate.SetConfig(c)
	n.inForce.Store(c)
	n.logLeftOut(c)
	n.record(record.Record{At: n.now(), Node: n.options.Settings.Node, Kind: record.KindVersion, Change: &record.Change{
		Subject: "configuration", From: strconv.FormatInt(previous, 10), To: strconv.FormatInt(c.Version, 10), Why: "published by an operator",
	}})
}

// maxLeftOutReported bounds the findings of one configuration that are logged and shown.
const maxLeftOutReported = 20

// leftOut returns the findings for which parts of the configuration in force were left out.
func (n *Node) leftOut() finding.List {
	c := n.inForce.Load()
	if c == nil {
		return nil
	}
	return c.LeftOut
}

func (n *Node) logLeftOut(c *config.Config) {
	for i, f := range c.LeftOut {
		if i == maxLeftOutReported {
			n.log.Warn().Int64("version", c.Version).Msgf("config: %d further findings", len(c.LeftOut)-i)
			return
		}
		n.log.Warn().Int64("version", c.Version).Msgf("config: left out: %s", f)
	}
}

func (n *Node) logResult(r config.Result) {
	switch r.Outcome {
	case config.OutcomeApplied, config.OutcomeOld, config.OutcomeDuplicate, config.OutcomeGap:
	default:
		n.log.Warn().Msgf("config: change %q at offset %d is not in force: %s", r.ChangeID, r.Offset, r.Reason())
	}
}

// logConfigEvent logs that the log came back from an older copy, or is followed again.
func (n *Node) logConfigEvent(text string) { n.log.Warn().Msg("config: " + text) }

// serveControl serves the control calls of peers. The listener stays open when the
// supervisor restarts the service.
func (n *Node) serveControl(ctx context.Context) error {
	return n.control.Serve(ctx, n.listeners.peerControl)
}

// service is a named function that the supervisor runs.
type service struct {
	name  string
	serve func(context.Context) error
}

func (s service) Serve(ctx context.Context) error { return s.serve(ctx) }
func (s service) String() string                  { return s.name }
