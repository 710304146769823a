package gate

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/hyssopsill/hyssopsill/request/attempt"
	"github.com/hyssopsill/hyssopsill/version/membership"
)

// Limits of an announcement.
const (
	maxAnnouncementBytes = 16 << 10
	minTTL               = 100 * time.Millisecond
	maxTTL               = 10 * time.Minute
	defaultTTL           = 10 * time.Second
	maxSlots             = 100000
	maxTargets           = membership.MaxTargets // more would not reach other nodes
	maxNameBytes         = 128
)

// Announcement is the body with which a target registers itself at the gate of its host.
type Announcement struct {
	Service string `json:"service"`
	Address string `json:"address"` // host:port, reached from this host
	Slots   int    `json:"slots"`
	// TTLMS is the time in milliseconds after which the announcement expires
	// unless it is renewed. Default 10000.
	TTLMS int64 `json:"ttl_ms"`
	// Incarnation distinguishes processes of the target: start time in milliseconds
	// and random bits, both hexadecimal, joined by '-'. Empty: the gate assigns one.
	Incarnation string `json:"incarnation"`
	HealthURL   string `json:"health_url"`
	// Sequence grows with each announcement of an incarnation, so that the gate
	// ignores one that arrives out of order. 0: not numbered.
	Sequence int64 `json:"sequence"`
	// Leaving means that the target takes no new work from now on.
	Leaving bool `json:"leaving"`
	// Warm means that the target has passed its slow start and gets its whole
	// share of work at once.
	Warm bool `json:"warm"`
}

// AnnounceStatus is the response to an announcement or to its withdrawal.
type AnnounceStatus struct {
	Target  membership.Target `json:"target"`
	Running int               `json:"running"` // requests in progress
	Queued  int               `json:"queued"`
}

// AnnounceHandler serves the announcement API to the targets of the host.
func (g *Gate) AnnounceHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /v1/targets/{id}", g.putTarget)
	mux.HandleFunc("DELETE /v1/targets/{id}", g.deleteTarget)
	mux.HandleFunc("GET /v1/targets", g.listTargets)
	return mux
}

// Announce adds or renews a target that was announced through an interface other
// than AnnounceHandler. A validation error lists all faults of the announcement.
func (g *Gate) Announce(id string, a Announcement) (AnnounceStatus, error) {
	if err := a.validate(id); err != nil {
		return AnnounceStatus{}, err
	}
	return g.announce(g.now(), id, a)
}

func (g *Gate) putTarget(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	a, err := decodeAnnouncement(http.MaxBytesReader(w, r.Body, maxAnnouncementBytes))
	if err == nil {
		err = a.validate(id)
	}
	if err != nil {
		announceProblem(w, attempt.ReasonBadRequest, err.Error())
		return
	}
	status, err := g.announce(g.now(), id, a)
	if err != nil {
		announceProblem(w, attempt.ReasonBadRequest, err.Error())
		return
	}
	writeJSON(w, http.StatusOK, status)
}

func (g *Gate) deleteTarget(w http.ResponseWriter, r *http.Request) {
	status, ok := g.DrainTarget(g.now(), r.PathValue("id"))
	if !ok {
		announceProblem(w, attempt.ReasonNoRoute, "target "+r.PathValue("id")+" is not announced here")
		return
	}
	writeJSON(w, http.StatusOK, status)
}

func (g *Gate) listTargets(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, map[string]any{"targets": g.Targets()})
}

func announceProblem(w http.ResponseWriter, reason attempt.Reason, detail string) {
	attempt.NewProblem("", attempt.NotRun, reason, detail, 0).Write(w)
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // fails only if the client is gone
}

func decodeAnnouncement(body io.Reader) (Announcement, error) {
	var a Announcement
	decoder := json.NewDecoder(body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&a); err != nil {
		var syntax *json.SyntaxError
		var wrongType *json.UnmarshalTypeError
		switch {
		case errors.As(err, &syntax):
			return a, fmt.Errorf("announcement: byte %d: %w", syntax.Offset, err)
		case errors.As(err, &wrongType):
			return a, fmt.Errorf("announcement: byte %d, key %s: want %s, got %s",
				wrongType.Offset, wrongType.Field, wrongType.Type, wrongType.Value)
		}
		return a, fmt.Errorf("announcement: %w", err)
	}
	return a, nil
}

func (a *Announcement) validate(id string) error {
	if a.TTLMS == 0 {
		a.TTLMS = defaultTTL.Milliseconds()
	}
	var faults []string
	addFault := func(format string, args ...any) { faults = append(faults, fmt.Sprintf(format, args...)) }
	if !validName(id) {
		addFault("id: want up to %d letters, digits, '.', '_' and '-'", maxNameBytes)
	}
	if !validName(a.Service) {
		addFault("service: want up to %d letters, digits, '.', '_' and '-'", maxNameBytes)
	}
	if !membership.ValidAddress(a.Address) {
		addFault("address: want the IP address of a host and a port from 1 to 65535, got %q", a.Address)
	}
	if a.Slots < 1 || a.Slots > maxSlots {
		addFault("slots: want 1 to %d, got %d", maxSlots, a.Slots)
	}
	if ttl := time.Duration(a.TTLMS) * time.Millisecond; a.TTLMS < 0 || a.TTLMS > maxTTL.Milliseconds() || ttl < minTTL {
		addFault("ttl_ms: want %d to %d, got %d", minTTL.Milliseconds(), maxTTL.Milliseconds(), a.TTLMS)
	}
	if a.Incarnation != "" {
		if _, err := attempt.ParseIncarnation(a.Incarnation); err != nil {
			addFault("incarnation: %v", err)
		}
	}
	if a.HealthURL != "" {
		if u, err := url.Parse(a.HealthURL); err != nil || u.Scheme != "http" || u.Host == "" {
			addFault("health_url: want an http URL, got %q", a.HealthURL)
		}
	}
	if len(faults) > 0 {
		return errors.New("announcement: " + strings.Join(faults, "; "))
	}
	return nil
}

func validName(s string) bool {
	if s == "" || len(s) > maxNameBytes {
		return false
	}
	for _, c := range []byte(s) {
		switch {
		case c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z', c >= '0' && c <= '9', c == '.', c == '_', c == '-':
		default:
			return false
		}
	}
	return true
}
