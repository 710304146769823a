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

// TargetKey returns a name for a target that is unique in the fleet: two nodes may
// announce the same identity.
func TargetKey(node, id string) string { return id + "@" + node }

// target is an announced target and its state at this gate. Gate.mu guards its fields.
type target struct {
	membership.Target
	expiresAt        time.Time
	healthURL        string
	running          int
	down             bool // out of use until its next announcement: connections are refused or reach another process
	crashes          int  // crashes that were attributed to requests
	inFlight         map[*exchange]struct{}
	brokenExchanges  []brokenExchange // oldest first
	watchingForCrash bool             // background dials run

	sequence int64 // of the last announcement
	breaker  *breaker.Breaker

	probedAt  time.Time
	lastProbe ProbeResult

	healthReadAt  time.Time // last read of the health endpoint
	readingHealth bool
	unhealthy     bool // result of that read
}

// brokenExchange is an exchange whose connection broke and whose request may have
// crashed the target. That is known once the target refuses connections, announces a
// new incarnation or disappears.
type brokenExchange struct {
	request poison.Request
	at      time.Time
}

const (
	// crashAttributionWindow is the time in which a crashed target announces itself
	// again or expires. The crash is not attributed to older broken exchanges.
	crashAttributionWindow = 5 * time.Second
	maxBrokenExchanges     = 1024
)

var errTooManyTargets = errors.New("announcement: too many targets on this node")

// announce adds or renews a target and reports the changes.
func (g *Gate) announce(now time.Time, id string, a Announcement) (AnnounceStatus, error) {
	status, changes, changed, err := g.applyAnnouncement(now, id, a)
	g.reportPoisonChanges(changes)
	if changed {
		g.log.Info().Msgf("gate: target %s of service %s announced at %s with %d slots, incarnation %s",
			id, a.Service, a.Address, a.Slots, status.Target.Incarnation)
		g.options.OnTargetsChanged()
	}
	return status, err
}

// applyAnnouncement updates the targets. It returns the changes of suspected requests
// and whether a target changed.
func (g *Gate) applyAnnouncement(now time.Time, id string, a Announcement) (AnnounceStatus, []poison.Change, bool, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	t := g.targets[id]
	incarnation, err := g.announcedIncarnation(now, t, a)
	if err != nil {
		return AnnounceStatus{}, nil, false, err
	}
	if t != nil && incarnation == t.Incarnation && arrivedLate(a.Sequence, t.sequence) {
		return g.status(t), nil, false, nil
	}
	var changes []poison.Change
	if a.Incarnation != "" { // the target distinguishes its processes
		if changes, err = g.removeSuperseded(now, id, a.Address, incarnation); err != nil {
			return AnnounceStatus{}, nil, false, err
		}
	}
	isNew := t == nil
	if isNew && a.Incarnation != "" && g.withdrawals.cover(id, incarnation) {
		return AnnounceStatus{Target: membership.Target{ID: id, Service: a.Service, Incarnation: incarnation, Leaving: true}}, changes, false, nil
	}
	if isNew {
		if len(g.targets) >= maxTargets {
			return AnnounceStatus{}, nil, false, errTooManyTargets
		}
		t = &target{inFlight: map[*exchange]struct{}{}, breaker: breaker.New(breaker.Options{})}
		t.ID, t.Incarnation, t.AnnouncedAt = id, incarnation, now
		g.targets[id] = t
	}
	previous, wasDown := t.Target, t.down
	if incarnation.Compare(t.Incarnation) > 0 {
		changes = append(changes, g.attributeCrash(now, t)...)
		t.AnnouncedAt, t.Leaving = now, false
		t.breaker = breaker.New(breaker.Options{})
	}
	if a.Warm && isNew {
		t.AnnouncedAt = now.Add(-warmAge)
	}
	t.sequence = a.Sequence
	t.Service, t.Address, t.Slots, t.Incarnation = a.Service, a.Address, a.Slots, incarnation
	t.healthURL = a.HealthURL
	t.expiresAt = now.Add(time.Duration(a.TTLMS) * time.Millisecond)
	t.down = false
	if !t.Leaving {
		g.deliver(g.admission.SetTarget(now, g.admissionTarget(t)))
	}
	if a.Leaving && !t.Leaving {
		g.drainTarget(now, t)
	}
	return g.status(t), changes, previous != t.Target || wasDown, nil
}

// maxLateSequences is the number of later announcements that may arrive before one. A
// greater difference means that the last number was not that of the target.
const maxLateSequences = 1000

// arrivedLate reports whether an announcement was sent before the last one.
func arrivedLate(sequence, last int64) bool {
	return sequence > 0 && sequence <= last && last-sequence < maxLateSequences
}

// warmAge is the age given to a target that announces itself as warm. It is longer
// than any slow start.
const warmAge = time.Hour

var errSuperseded = errors.New("announcement: a newer process is announced at the address")

// removeSuperseded removes other targets at the address of a new process. It returns
// errSuperseded when the announced process is older than the one at its address.
// The caller holds g.mu.
func (g *Gate) removeSuperseded(now time.Time, id, address string, incarnation attempt.Incarnation) ([]poison.Change, error) {
	var changes []poison.Change
	for otherID, t := range g.targets {
		if otherID == id || t.Address != address {
			continue
		}
		if t.Incarnation.StartedMS > incarnation.StartedMS {
			return changes, errSuperseded
		}
		changes = append(changes, g.attributeCrash(now, t)...)
		g.deliver(g.admission.Remove(now, otherID).Refused)
		delete(g.targets, otherID)
		g.log.Info().Str("target", otherID).Str("successor", id).Msg("gate: target removed: another process is announced at its address")
	}
	return changes, nil
}

var (
	errOldIncarnation    = errors.New("announcement: incarnation is older than the announced one")
	errFutureIncarnation = errors.New("announcement: the process starts in the future")
)

// maxClockLead is the time by which the clock of a target may be ahead of this host's.
// An announced process that starts later would make those of the real one too old.
const maxClockLead = time.Hour

// announcedIncarnation returns the incarnation of an announcement. Without one the
// known target keeps its own, unless it is leaving or down. The caller holds g.mu.
func (g *Gate) announcedIncarnation(now time.Time, t *target, a Announcement) (attempt.Incarnation, error) {
	if a.Incarnation != "" {
		incarnation, err := attempt.ParseIncarnation(a.Incarnation)
		if err == nil && t != nil && incarnation.Compare(t.Incarnation) < 0 {
			err = errOldIncarnation
		}
		if err == nil && incarnation.StartedMS > now.Add(maxClockLead).UnixMilli() {
			err = errFutureIncarnation
		}
		return incarnation, err
	}
	if t == nil || t.Leaving || t.down {
		return attempt.NewIncarnation(now, g.rand), nil
	}
	return t.Incarnation, nil
}

func (g *Gate) status(t *target) AnnounceStatus {
	load := g.admission.Load(g.now(), t.ID)
	return AnnounceStatus{Target: t.Target, Running: t.running, Queued: load.Queued}
}

// DrainTarget refuses queued and further work for a target. Running requests finish.
// It returns false when the target is not announced; a late announcement then does not
// add it.
func (g *Gate) DrainTarget(now time.Time, id string) (AnnounceStatus, bool) {
	return g.DrainProcess(now, id, 0)
}

// DrainProcess is like DrainTarget for the process of the target that started at a
// Unix time in milliseconds, if it is not 0. It has no effect on a later process.
func (g *Gate) DrainProcess(now time.Time, id string, startedMS int64) (AnnounceStatus, bool) {
	g.mu.Lock()
	t := g.targets[id]
	if t == nil {
		g.withdrawals.add(now, id, startedMS)
		g.mu.Unlock()
		return AnnounceStatus{}, false
	}
	if startedMS > 0 && startedMS < t.Incarnation.StartedMS {
		defer g.mu.Unlock()
		return g.status(t), true
	}
	newlyLeaving := !t.Leaving
	g.drainTarget(now, t)
	status := g.status(t)
	g.mu.Unlock()
	if newlyLeaving {
		g.options.OnTargetsChanged()
	}
	return status, true
}

// drainTarget marks a target as leaving and refuses its queued work. The caller holds
// g.mu.
func (g *Gate) drainTarget(now time.Time, t *target) {
	if t.Leaving {
		return
	}
	t.Leaving = true
	g.deliver(g.admission.Drain(now, t.ID).Refused)
	g.log.Info().Msgf("gate: target %s is leaving with %d requests in progress", t.ID, t.running)
	g.record(record.KindDrain, t.ID, t.Service, "leaving", fmt.Sprintf("withdrawn with %d requests in progress", t.running))
}

// Targets returns the announced targets, sorted by identity. A target that is down is
// listed as leaving until it announces itself again.
func (g *Gate) Targets() []membership.Target {
	g.mu.Lock()
	defer g.mu.Unlock()
	targets := make([]membership.Target, 0, len(g.targets))
	for _, t := range g.targets {
		view := t.Target
		view.Leaving = view.Leaving || g.leaving || t.down
		targets = append(targets, view)
	}
	slices.SortFunc(targets, func(a, b membership.Target) int { return strings.Compare(a.ID, b.ID) })
	return targets
}

// expireTargets removes targets whose announcement has expired.
func (g *Gate) expireTargets(now time.Time) {
	var expired []string
	var changes []poison.Change
	g.mu.Lock()
	g.withdrawals.expire(now)
	for id, t := range g.targets {
		if now.Before(t.expiresAt) {
			continue
		}
		changes = append(changes, g.attributeCrash(now, t)...)
		g.deliver(g.admission.Remove(now, id).Refused)
		delete(g.targets, id)
		if t.Leaving {
			g.withdrawals.add(now, id, t.Incarnation.StartedMS)
		}
		expired = append(expired, id)
	}
	g.mu.Unlock()
	g.reportPoisonChanges(changes)
	for _, id := range expired {
		g.log.Info().Msgf("gate: target %s removed: its announcement expired", id)
	}
	if len(expired) > 0 {
		g.options.OnTargetsChanged()
	}
}

// attributeCrash attributes the crash of a target to the requests whose connection
// broke within crashAttributionWindow. The caller holds g.mu.
func (g *Gate) attributeCrash(now time.Time, t *target) []poison.Change {
	var requests []poison.Request
	for _, b := range t.brokenExchanges {
		if now.Sub(b.at) < crashAttributionWindow {
			requests = append(requests, b.request)
		}
	}
	t.brokenExchanges = nil
	if len(requests) == 0 {
		return nil
	}
	t.crashes++
	return g.poison.Crash(now, TargetKey(g.options.Node, t.ID), requests)
}

// setTargetDown marks a target that refuses connections as down, and records its
// requests in flight as broken exchanges. The caller holds g.mu.
func (g *Gate) setTargetDown(now time.Time, t *target) []poison.Change {
	if t.down {
		return nil
	}
	t.down = true
	for e := range t.inFlight {
		t.addBrokenExchange(now, e.poison)
	}
	g.deliver(g.admission.Remove(now, t.ID).Refused)
	return g.attributeCrash(now, t)
}

func (t *target) addBrokenExchange(now time.Time, r poison.Request) {
	if len(t.brokenExchanges) >= maxBrokenExchanges {
		t.brokenExchanges = t.brokenExchanges[1:]
	}
	t.brokenExchanges = append(t.brokenExchanges, brokenExchange{r, now})
}

// reportPoisonChanges records new quarantines and calls Options.OnPoisonChanges.
func (g *Gate) reportPoisonChanges(changes []poison.Change) {
	if len(changes) == 0 {
		return
	}
	for _, c := range changes {
		if c.Kind != poison.ChangeQuarantine {
			continue
		}
		cause := "a second target crashed while the request ran"
		if c.Shared {
			cause = "targets crashed while equal requests of different callers ran"
		}
		g.record(record.KindQuarantine, fmt.Sprintf("%016x", uint64(c.Digest)), "", "quarantined",
			cause+"; the quarantine ends at "+c.Until.UTC().Format(record.SentenceTimeLayout))
	}
	g.options.OnPoisonChanges(changes)
}

func (g *Gate) record(kind record.Kind, subject, service, to, why string) {
	g.options.Record(record.Record{At: g.now(), Node: g.options.Node, Kind: kind,
		Change: &record.Change{Subject: subject, Service: service, To: to, Why: why}})
}
