package settings

import (
	"fmt"
	"math"
	"net"
	"net/url"
	"os"
	"reflect"
	"strconv"
	"strings"
	"time"

	"github.com/hyssopsill/hyssopsill/finding"
)

// Default values of settings.
const (
	DefaultHeaderBytes       = 32 << 10
	DefaultBodyBytes         = 1 << 30
	DefaultReadHeaderTimeout = 5 * time.Second
	DefaultIdleTimeout       = 90 * time.Second
	DefaultConnections       = 10000
	DefaultWriteTimeout      = 5 * time.Second
	DefaultLogLevel          = "info"
	DefaultFloor             = 0.5
	DefaultRetryShare        = 0.1
	DefaultRetryWindow       = 10 * time.Second
	DefaultQueuePerSlot      = 4
	DefaultAccountWindow     = 5 * time.Second
	DefaultAccountOverage    = 0.1
	DefaultAccountSlack      = 20.0
	// DefaultDrainNotice is below the 3 s within which a leaving node stops
	// receiving new work.
	DefaultDrainNotice = time.Second

	// DefaultConnectionMemory bounds the memory that connections hold when the memory
	// of the host is not known.
	DefaultConnectionMemory = 64 << 20

	minTokenBytes = 16
	// MaxTokenBytes is what fits into the first call between two nodes.
	MaxTokenBytes = 3 << 10
	// minMemory leaves 16 MiB for connections, several times the largest request.
	minMemory = 32 << 20
)

// Settings holds the settings of one node.
type Settings struct {
	Node       string `toml:"node"`        // unique name
	Region     string `toml:"region"`      // may be empty
	Domain     string `toml:"domain"`      // failure domain
	FleetToken string `toml:"fleet_token"` // shared secret of all nodes
	// FleetTokenFile is read instead of FleetToken when it is set.
	FleetTokenFile string `toml:"fleet_token_file"`
	LogURL         string `toml:"log_url"` // the platform's log service
	// LogRetention is the time for which the log is guaranteed to keep records.
	// 0 means unknown: a node that starts after the stream of order bindings was
	// trimmed then refuses customer keys for 24 h.
	LogRetention time.Duration `toml:"log_retention"`
	// Seeds are control addresses of other nodes, in addition to those in the
	// log's stream of nodes.
	Seeds []string `toml:"seeds"`
	// DrainTimeout bounds the wait for running requests on SIGTERM; 0 is no
	// bound. Requests that still wait for a target in its last tenth get a
	// response without being sent to one, and requests that run at its end are
	// aborted.
	DrainTimeout time.Duration `toml:"drain_timeout"`
	// DrainNotice is the time for which a draining node still accepts new
	// connections, so that callers learn of the drain. Default 1s.
	DrainNotice time.Duration `toml:"drain_notice"`
	// DrainHandover is the time for which the gate of a draining node still accepts
	// work that ends well before the drain does. It is announced as leaving after
	// that. At most DrainNotice. Default 0: all work is refused at once.
	DrainHandover time.Duration `toml:"drain_handover"`
	// DecisionStream turns on writing decision records to the log's stream, in
	// addition to log lines. Default true.
	DecisionStream bool   `toml:"decision_stream"`
	LogLevel       string `toml:"log_level"` // debug, info, warn or error
	// HostService is the service of the targets on this host. It may be empty.
	HostService string    `toml:"host_service"`
	Listen      Listen    `toml:"listen"`
	Advertise   Advertise `toml:"advertise"`
	Limits      Limits    `toml:"limits"`
	Defaults    Defaults  `toml:"defaults"`
}

// Defaults holds the values for what a configuration does not set.
type Defaults struct {
	// Floor is the share of a service's targets, 0 to 1, that ejection always
	// leaves in rotation. Default 0.5.
	Floor float64 `toml:"floor"`
	// QueuePerSlot is the number of requests that may wait per slot of a target.
	// Default 4.
	QueuePerSlot int `toml:"queue_per_slot"`
	// RetryShare is the number of retries that may be sent per first attempt, 0
	// to 1. Default 0.1.
	RetryShare float64 `toml:"retry_share"`
	// AdditionalRetries is the number of additional retries that the whole fleet may
	// send to a service within RetryWindow. The gates of the service share this
	// budget. Default 0: each entry has its own budget, with one additional retry
	// per second.
	AdditionalRetries float64 `toml:"retry_slack"`
	// RetryWindow is the time window of the retry budget. Default 10s.
	RetryWindow time.Duration `toml:"retry_window"`
	// ShareLoads turns on the exchange of known loads of targets between nodes, in the
	// responses of gates. Default false.
	ShareLoads bool `toml:"share_loads"`
	// AccountWindow, AccountOverage and AccountSlack define by how much the fleet may exceed
	// the limit of an account: in each window at most (rate × AccountWindow + burst) ×
	// (1 + AccountOverage) + AccountSlack requests run. Defaults 5s, 0.1 and 20.
	AccountWindow  time.Duration `toml:"account_window"`
	AccountOverage float64       `toml:"account_overage"`
	AccountSlack   float64       `toml:"account_slack"`
}

// Listen holds the addresses of the listeners, host:port. Port 0 picks a free
// port.
type Listen struct {
	Caller      string `toml:"caller"`
	PeerData    string `toml:"peer_data"`
	PeerControl string `toml:"peer_control"`
	Announce    string `toml:"announce"`
	Admin       string `toml:"admin"`
	Metrics     string `toml:"metrics"` // only metrics; empty: metrics on Admin only
}

// Advertise holds the addresses at which other nodes reach this one. Empty means
// the address of the listener.
type Advertise struct {
	PeerData    string `toml:"peer_data"`
	PeerControl string `toml:"peer_control"`
}

// Limits bounds the resources that connections and requests use.
type Limits struct {
	HeaderBytes       int           `toml:"header_bytes"` // of a request or a response
	BodyBytes         int64         `toml:"body_bytes"`   // of a request; a class may allow less
	ReadHeaderTimeout time.Duration `toml:"read_header_timeout"`
	IdleTimeout       time.Duration `toml:"idle_timeout"`
	Connections       int           `toml:"connections"` // per listener
	// WriteTimeout is the time within which a client must read something of a
	// response that waits for it. A write that sent a part waits once more. Default 5s.
	WriteTimeout time.Duration `toml:"write_timeout"`
	// Memory is the memory of the host, such as "184MB". Half of it bounds what
	// connections hold. Default 0: not known.
	Memory ByteSize `toml:"memory"`
}

// ConnectionMemory returns the bound on the memory that connections hold, bytes.
func (l Limits) ConnectionMemory() int64 {
	if l.Memory == 0 {
		return DefaultConnectionMemory
	}
	return int64(l.Memory) / 2
}

// RuntimeMemory returns the soft limit for the memory of the Go runtime, bytes, or 0
// for no limit. The rest of the host's memory is for the program's pages, buffers of
// the kernel and garbage that is not collected yet.
func (l Limits) RuntimeMemory() int64 { return int64(l.Memory) / 4 * 3 }

// ByteSize is a number of bytes. In a settings file it is an integer, or a text with
// one of the units B, KB, MB, GB (powers of 1000), KiB, MiB and GiB.
type ByteSize int64

// UnmarshalText parses a number with a unit.
func (b *ByteSize) UnmarshalText(text []byte) error {
	digits := strings.TrimRight(string(text), "BKMGi ")
	number, err := strconv.ParseFloat(digits, 64)
	unit, known := byteUnits[strings.TrimSpace(string(text[len(digits):]))]
	if err != nil || !known || !(number >= 0 && number*unit < math.MaxInt64) {
		return fmt.Errorf("want a number of bytes such as 184MB, got %q", text)
	}
	*b = ByteSize(number * unit)
	return nil
}

var byteUnits = map[string]float64{"": 1, "B": 1, "KB": 1e3, "MB": 1e6, "GB": 1e9, "KiB": 1 << 10, "MiB": 1 << 20, "GiB": 1 << 30}

// Load reads and validates a settings file. The error is a finding.List when the
// content is invalid, and another error when the file cannot be read.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, fmt.Errorf("settings: %w", err)
	}
	s, findings := Parse(path, data)
	return s, findings.Err()
}

// Parse decodes settings, fills in default values and validates the result.
func Parse(file string, data []byte) (Settings, finding.List) {
	s := Settings{DecisionStream: true}
	doc := finding.Decode(file, data, &s)
	readTokenFile(doc, &s)
	s.fillDefaults()
	validate(doc, s)
	return s, doc.Findings()
}

func readTokenFile(doc *finding.Document, s *Settings) {
	if s.FleetTokenFile == "" {
		return
	}
	if s.FleetToken != "" {
		doc.Add("fleet_token_file", "set either fleet_token or fleet_token_file")
		return
	}
	data, err := os.ReadFile(s.FleetTokenFile)
	if err != nil {
		doc.Add("fleet_token_file", "%v", err)
		return
	}
	s.FleetToken = strings.TrimSpace(string(data))
}

func (s *Settings) fillDefaults() {
	setDefault(&s.LogLevel, DefaultLogLevel)
	setDefault(&s.DrainNotice, DefaultDrainNotice)
	setDefault(&s.Listen.Announce, "127.0.0.1:7403")
	setDefault(&s.Listen.Admin, "127.0.0.1:7404")
	setDefault(&s.Defaults.Floor, DefaultFloor)
	setDefault(&s.Defaults.RetryShare, DefaultRetryShare)
	setDefault(&s.Defaults.RetryWindow, DefaultRetryWindow)
	setDefault(&s.Defaults.QueuePerSlot, DefaultQueuePerSlot)
	setDefault(&s.Defaults.AccountWindow, DefaultAccountWindow)
	setDefault(&s.Defaults.AccountOverage, DefaultAccountOverage)
	setDefault(&s.Defaults.AccountSlack, DefaultAccountSlack)
	setDefault(&s.Limits.HeaderBytes, DefaultHeaderBytes)
	setDefault(&s.Limits.BodyBytes, DefaultBodyBytes)
	setDefault(&s.Limits.ReadHeaderTimeout, DefaultReadHeaderTimeout)
	setDefault(&s.Limits.IdleTimeout, DefaultIdleTimeout)
	setDefault(&s.Limits.Connections, DefaultConnections)
	setDefault(&s.Limits.WriteTimeout, DefaultWriteTimeout)
}

func setDefault[T comparable](value *T, defaultValue T) {
	var zero T
	if *value == zero {
		*value = defaultValue
	}
}

func validate(doc *finding.Document, s Settings) {
	if s.Node == "" || strings.ContainsAny(s.Node, "/ \t\r\n") {
		doc.Add("node", "want a name without spaces or slashes")
	}
	if s.Domain == "" {
		doc.Add("domain", "failure domain is missing")
	}
	if n := len(s.FleetToken); n < minTokenBytes || n > MaxTokenBytes {
		doc.Add("fleet_token", "want %d to %d bytes, got %d", minTokenBytes, MaxTokenBytes, n)
	}
	if u, err := url.Parse(s.LogURL); err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
		doc.Add("log_url", "want an http or https URL, got %q", s.LogURL)
	}
	if s.LogRetention < 0 {
		doc.Add("log_retention", "want 0 or more, got %s", s.LogRetention)
	}
	for i, seed := range s.Seeds {
		checkAddress(doc, fmt.Sprintf("seeds[%d]", i), seed, false)
	}
	switch s.LogLevel {
	case "debug", "info", "warn", "error":
	default:
		doc.Add("log_level", "want debug, info, warn or error, got %q", s.LogLevel)
	}
	if s.DrainNotice < 0 {
		doc.Add("drain_notice", "must not be negative")
	}
	if s.DrainHandover < 0 || s.DrainHandover > s.DrainNotice {
		doc.Add("drain_handover", "want 0 to drain_notice (%s), got %s", s.DrainNotice, s.DrainHandover)
	}
	if s.DrainTimeout < 0 {
		doc.Add("drain_timeout", "must not be negative")
	}
	validateAddresses(doc, s)
	validateLimits(doc, s.Limits)
	validateDefaults(doc, s.Defaults)
}

func validateDefaults(doc *finding.Document, d Defaults) {
	if !(d.Floor >= 0 && d.Floor <= 1) {
		doc.Add("defaults.floor", "want a share from 0 to 1, got %v", d.Floor)
	}
	if d.QueuePerSlot < 0 {
		doc.Add("defaults.queue_per_slot", "must not be negative")
	}
	if !(d.RetryShare >= 0 && d.RetryShare <= 1) {
		doc.Add("defaults.retry_share", "want a share from 0 to 1, got %v", d.RetryShare)
	}
	if !(d.AdditionalRetries >= 0) || math.IsInf(d.AdditionalRetries, 0) {
		doc.Add("defaults.retry_slack", "want 0 or more, got %v", d.AdditionalRetries)
	}
	if d.RetryWindow < time.Second {
		doc.Add("defaults.retry_window", "want 1s or more, got %s", d.RetryWindow)
	}
	if d.AccountWindow < time.Second {
		doc.Add("defaults.account_window", "want 1s or more, got %s", d.AccountWindow)
	}
	if !(d.AccountOverage >= 0) || math.IsInf(d.AccountOverage, 0) {
		doc.Add("defaults.account_overage", "want 0 or more, got %v", d.AccountOverage)
	}
	if !(d.AccountSlack >= 0) || math.IsInf(d.AccountSlack, 0) {
		doc.Add("defaults.account_slack", "want 0 or more, got %v", d.AccountSlack)
	}
}

func validateAddresses(doc *finding.Document, s Settings) {
	used := map[string]string{}
	for _, listener := range []struct{ key, address string }{
		{"listen.caller", s.Listen.Caller},
		{"listen.peer_data", s.Listen.PeerData},
		{"listen.peer_control", s.Listen.PeerControl},
		{"listen.announce", s.Listen.Announce},
		{"listen.admin", s.Listen.Admin},
		{"listen.metrics", s.Listen.Metrics},
	} {
		if listener.key == "listen.metrics" && listener.address == "" {
			continue
		}
		if !checkAddress(doc, listener.key, listener.address, true) {
			continue
		}
		if other, ok := used[listener.address]; ok && !strings.HasSuffix(listener.address, ":0") {
			doc.Add(listener.key, "address %s is also used by %s", listener.address, other)
		}
		used[listener.address] = listener.key
	}
	if s.Advertise.PeerData != "" {
		checkAddress(doc, "advertise.peer_data", s.Advertise.PeerData, false)
	}
	if s.Advertise.PeerControl != "" {
		checkAddress(doc, "advertise.peer_control", s.Advertise.PeerControl, false)
	}
}

func checkAddress(doc *finding.Document, key, address string, allowZeroPort bool) bool {
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		doc.Add(key, "want host:port, got %q", address)
		return false
	}
	if host == "" || net.ParseIP(host) == nil {
		doc.Add(key, "want an IP address, got %q", host)
		return false
	}
	number, err := strconv.ParseUint(port, 10, 16)
	if err != nil || (number == 0 && !allowZeroPort) {
		doc.Add(key, "want a port number up to 65535, got %q", port)
		return false
	}
	return true
}

func validateLimits(doc *finding.Document, l Limits) {
	if l.HeaderBytes < 1024 || l.HeaderBytes > 1<<20 {
		doc.Add("limits.header_bytes", "want 1024 to 1048576, got %d", l.HeaderBytes)
	}
	if l.BodyBytes < 0 {
		doc.Add("limits.body_bytes", "must not be negative")
	}
	if l.ReadHeaderTimeout < 0 {
		doc.Add("limits.read_header_timeout", "must not be negative")
	}
	if l.IdleTimeout < 0 {
		doc.Add("limits.idle_timeout", "must not be negative")
	}
	if l.Connections < 0 {
		doc.Add("limits.connections", "must not be negative")
	}
	if l.WriteTimeout < 0 {
		doc.Add("limits.write_timeout", "must not be negative")
	}
	if l.Memory != 0 && l.Memory < minMemory {
		doc.Add("limits.memory", "want 0 or at least %d bytes, got %d", minMemory, l.Memory)
	}
}

// ChangedKeys returns the top-level keys in which two settings differ, without
// fleet_token, so that logs do not reveal that the token changed.
func (s Settings) ChangedKeys(other Settings) []string {
	var keys []string
	a, b := reflect.ValueOf(s), reflect.ValueOf(other)
	for i := range a.NumField() {
		key := a.Type().Field(i).Tag.Get("toml")
		if key != "fleet_token" && !reflect.DeepEqual(a.Field(i).Interface(), b.Field(i).Interface()) {
			keys = append(keys, key)
		}
	}
	return keys
}
