package gate

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/hyssopsill/hyssopsill/connection/breaker"
	"github.com/hyssopsill/hyssopsill/request/attempt"
	"github.com/hyssopsill/hyssopsill/request/poison"
	"github.com/hyssopsill/hyssopsill/request/record"
	"github.com/hyssopsill/hyssopsill/version/membership"
)

// TargetKey names a target in the fleet: two nodes may announce the same
// identity.
func TargetKey(node, id string) string { return id + "@" + node }

// target is an announced target with what the gate knows of it. Its fields are
// guarded by Gate.mu.
type target struct {
	membership.Target
	expires   time.Time
	healthURL string
	running   int
	down      bool // it refused connections; its next announcement ends that
	crashes   int  // times it went down
	inFlight  map[*exchange]struct{}
	broken    []brokenExchange // exchanges whose connection broke lately
	watched   bool             // whether it goes down

	sequence int64 // of the last announcement
	breaker  *breaker.Breaker

	probedAt time.Time
	probe    ProbeResult

	hintAt      time.Time // last read of the own health endpoint
	readingHint bool
	unhealthy   bool // what the endpoint said
}

// brokenExchange is an exchange that may have crashed the target: whether it
// did is known when the target announces a new incarnation or disappears.
type brokenExchange struct {
	digest poison.RequestDigest
	at     time.Time
}

const (
	brokenKept = 5 * time.Second // time in which a crashed target announces again or expires
	maxBroken  = 1024
)

var errTooManyTargets = errors.New("announcement: too many targets on this node")

// announce adds or renews a target.
func (g *Gate) announce(now time.Time, id string, a Announcement) (AnnounceStatus, error) {
	status, changes, changed, err := g.applyAnnouncement(now, id, a)
	g.poisonChanged(changes)
	if changed {
		g.log.Info().Msgf("gate: target %s of service %s announced at %s with %d slots, incarnation %s",
			id, a.Service, a.Address, a.Slots, status.Target.Incarnation)
		g.o.OnTargetsChanged()
	}
	return status, err
}

func (g *Gate) applyAnnouncement(now time.Time, id string, a Announcement) (AnnounceStatus, []poison.Change, bool, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	t := g.targets[id]
	incarnation, err := g.announcedIncarnation(now, t, a)
	if err != nil {
		return AnnounceStatus{}, nil, false, err
	}
	if t != nil && incarnation == t.Incarnation && a.Sequence > 0 && a.Sequence <= t.sequence {
		return g.status(t), nil, false, nil // overtaken by a later one
	}
	var changes []poison.Change
	if a.Incarnation != "" { // the announcer tells processes apart
		if changes, err = g.supersede(now, id, a.Address, incarnation); err != nil {
			return AnnounceStatus{}, nil, false, err
		}
	}
	fresh := t == nil
	if fresh {
		if len(g.targets) >= maxTargets {
			return AnnounceStatus{}, nil, false, errTooManyTargets
		}
		t = &target{inFlight: map[*exchange]struct{}{}, breaker: breaker.New(breaker.Options{})}
		t.ID, t.Incarnation, t.AnnouncedAt = id, incarnation, now
		g.targets[id] = t
	}
	before, wasDown := t.Target, t.down
	if incarnation.Compare(t.Incarnation) > 0 {
		changes = append(changes, g.attributeCrash(now, t)...)
		t.AnnouncedAt, t.Leaving = now, false
		t.breaker = breaker.New(breaker.Options{})
	}
	if a.Warm && fresh {
		t.AnnouncedAt = now.Add(-warmAge)
	}
	t.sequence = a.Sequence
	t.Service, t.Address, t.Slots, t.Incarnation = a.Service, a.Address, a.Slots, incarnation
	t.healthURL = a.HealthURL
	t.expires = now.Add(time.Duration(a.TTLMS) * time.Millisecond)
	t.down = false
	if !t.Leaving {
		g.deliver(g.admission.SetTarget(now, g.admissionTarget(t)))
	}
	if a.Leaving && !t.Leaving {
		g.drainTarget(now, t)
	}
	return g.status(t), changes, before != t.Target || wasDown, nil
}

// warmAge is the age given to a target that is known to be warm. It is longer
// than any slow start.
const warmAge = time.Hour

var errSuperseded = errors.New("announcement: a later process holds the address")

// supersede removes the targets that a new process at their address replaces. A
// process that is older than the one at its address is gone. g.mu is held.
func (g *Gate) supersede(now time.Time, id, address string, incarnation attempt.Incarnation) ([]poison.Change, error) {
	var changes []poison.Change
	for other, t := range g.targets {
		if other == id || t.Address != address {
			continue
		}
		if t.Incarnation.StartedMS > incarnation.StartedMS {
			return changes, errSuperseded
		}
		changes = append(changes, g.attributeCrash(now, t)...)
		g.deliver(g.admission.Remove(now, other).Refused)
		delete(g.targets, other)
		g.log.Info().Str("target", other).Str("successor", id).Msg("gate: target removed: another process holds its address")
	}
	return changes, nil
}

var errOldIncarnation = errors.New("announcement: incarnation is older than the announced one")

func (g *Gate) announcedIncarnation(now time.Time, t *target, a Announcement) (attempt.Incarnation, error) {
	if a.Incarnation != "" {
		incarnation, err := attempt.ParseIncarnation(a.Incarnation)
		if err == nil && t != nil && incarnation.Compare(t.Incarnation) < 0 {
			err = errOldIncarnation
		}
		return incarnation, err
	}
	if t == nil || t.Leaving || t.down {
		return attempt.NewIncarnation(now, g.rand), nil
	}
	return t.Incarnation, nil
}

func (g *Gate) status(t *target) AnnounceStatus {
	load := g.admission.Load(t.ID)
	return AnnounceStatus{Target: t.Target, Running: t.running, Queued: load.Queued}
}

// DrainTarget refuses further work for a target. Running requests finish.
func (g *Gate) DrainTarget(now time.Time, id string) (AnnounceStatus, bool) {
	g.mu.Lock()
	t := g.targets[id]
	if t == nil {
		g.mu.Unlock()
		return AnnounceStatus{}, false
	}
	first := !t.Leaving
	g.drainTarget(now, t)
	status := g.status(t)
	g.mu.Unlock()
	if first {
		g.o.OnTargetsChanged()
	}
	return status, true
}

// drainTarget makes a target leave. g.mu is held.
func (g *Gate) drainTarget(now time.Time, t *target) {
	if t.Leaving {
		return
	}
	t.Leaving = true
	g.deliver(g.admission.Drain(now, t.ID).Refused)
	g.log.Info().Msgf("gate: target %s is leaving with %d requests in progress", t.ID, t.running)
	g.record(record.KindDrain, t.ID, t.Service, "leaving", fmt.Sprintf("withdrawn with %d requests in progress", t.running))
}

// Targets returns the announced targets, sorted by identity. A target that
// refuses connections counts as leaving until it announces again.
func (g *Gate) Targets() []membership.Target {
	g.mu.Lock()
	defer g.mu.Unlock()
	out := make([]membership.Target, 0, len(g.targets))
	for _, t := range g.targets {
		view := t.Target
		view.Leaving = view.Leaving || g.leaving || t.down
		out = append(out, view)
	}
	slices.SortFunc(out, func(a, b membership.Target) int { return strings.Compare(a.ID, b.ID) })
	return out
}

// expire removes targets whose announcement has run out.
func (g *Gate) expire(now time.Time) {
	var gone []string
	var changes []poison.Change
	g.mu.Lock()
	for id, t := range g.targets {
		if now.Before(t.expires) {
			continue
		}
		changes = append(changes, g.attributeCrash(now, t)...)
		g.deliver(g.admission.Remove(now, id).Refused)
		delete(g.targets, id)
		gone = append(gone, id)
	}
	g.mu.Unlock()
	g.poisonChanged(changes)
	for _, id := range gone {
		g.log.Info().Msgf("gate: target %s removed: its announcement expired", id)
	}
	if len(gone) > 0 {
		g.o.OnTargetsChanged()
	}
}

// attributeCrash attributes a crash to the exchanges whose connection broke, once the target
// is known to have gone down. g.mu is held.
func (g *Gate) attributeCrash(now time.Time, t *target) []poison.Change {
	var digests []poison.RequestDigest
	for _, b := range t.broken {
		if now.Sub(b.at) < brokenKept {
			digests = append(digests, b.digest)
		}
	}
	t.broken = nil
	if len(digests) == 0 {
		return nil
	}
	t.crashes++
	return g.poison.Crash(now, TargetKey(g.o.Node, t.ID), digests)
}

// targetDown notes that a target refuses connections. Everything in flight
// there crashed with it. g.mu is held.
func (g *Gate) targetDown(now time.Time, t *target) []poison.Change {
	if t.down {
		return nil
	}
	t.down = true
	for x := range t.inFlight {
		t.addBroken(now, x.digest)
	}
	g.deliver(g.admission.Remove(now, t.ID).Refused)
	return g.attributeCrash(now, t)
}

func (t *target) addBroken(now time.Time, d poison.RequestDigest) {
	if len(t.broken) >= maxBroken {
		t.broken = t.broken[1:]
	}
	t.broken = append(t.broken, brokenExchange{d, now})
}

// poisonChanged records and passes on what the attribution of crashes found.
func (g *Gate) poisonChanged(changes []poison.Change) {
	if len(changes) == 0 {
		return
	}
	for _, c := range changes {
		if c.Kind == poison.ChangeQuarantine {
			g.record(record.KindQuarantine, fmt.Sprintf("%016x", uint64(c.Digest)), "", "quarantined",
				"a second target crashed while it ran; it ends at "+c.Until.UTC().Format(record.SentenceTimeLayout))
		}
	}
	g.o.OnPoisonChanges(changes)
}

func (g *Gate) record(kind record.Kind, subject, service, to, why string) {
	g.o.Record(record.Record{At: g.now(), Node: g.o.Node, Kind: kind,
		Change: &record.Change{Subject: subject, Service: service, To: to, Why: why}})
}
