package health

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
)

// ClaimTrickle claims the trickle slot of an ejected target, or of one in an
// unreachable failure domain. The request that uses it is sent on a new
// connection, since idle ones may have gone silent meanwhile, and ends with
// Evidence.Trickle set. One is in progress at a time.
func (t *Tracker) ClaimTrickle(now time.Time, id string) bool {
	g := t.targets[id]
	if g == nil || !(g.out || g.node.dom.unreachable) {
		return false
	}
	if g.trickleBusy && now.Sub(g.trickleTaken) < t.o.TrickleTimeout {
		return false
	}
	if now.Before(g.trickleDue) {
		return false
	}
	g.trickleTaken, g.trickleBusy = now, true
	t.scheduleTrickle(now, g)
	return true
}

// probesBeforeTrickle is the number of good probes in sequence since the
// ejection that lets work try a target that may not be run again.
const probesBeforeTrickle = 3

// ClaimProbedTrickle is ClaimTrickle for work that may not be run again: it also
// asks for good probes. Without it, the targets of a service without idempotent
// work would never return.
func (t *Tracker) ClaimProbedTrickle(now time.Time, id string) bool {
	g := t.targets[id]
	return g != nil && g.goodProbes >= probesBeforeTrickle && t.ClaimTrickle(now, id)
}

// scheduleTrickle sets the time of the next trickle request. Entries eject a
// target at nearly the same time, so each takes its own phase; otherwise their
// requests arrive together, 22 within half a second from 24 entries.
func (t *Tracker) scheduleTrickle(now time.Time, g *target) {
	interval := max(t.o.MinTrickleInterval, time.Duration(t.entries)*t.o.TrickleIntervalPerEntry)
	g.trickles++
	if t.o.off.trickleSpread {
		g.trickleDue = now.Add(interval)
		return
	}
	share := float64(t.trickleHash(g)>>11) / (1 << 53)
	if g.trickleTaken.Equal(now) {
		g.trickleDue = now.Add(time.Duration((0.75 + share/2) * float64(interval)))
		return
	}
	g.trickleDue = now.Add(time.Duration((0.25 + share) * float64(interval)))
}

func (t *Tracker) trickleHash(g *target) uint64 {
	var h xxhash.Digest
	h.Reset()
	_, _ = h.WriteString(t.self) // never fails
	_, _ = h.WriteString("\x00" + g.info.ID)
	_, _ = h.Write(binary.LittleEndian.AppendUint64(nil, uint64(g.trickles)))
	return h.Sum64()
}

const (
	// reportFrom is the suspicion from which own evidence is reported.
	reportFrom = 0.25
	// reportLimit bounds the reports of one round of gossip.
	reportLimit = 32
)

// Reports returns the own evidence from requests to targets, without what other entries reported.
func (t *Tracker) Reports(now time.Time) []Report {
	var list []Report
	for _, g := range t.order {
		share := g.traffic() / t.o.Threshold
		if share < reportFrom || len(list) == reportLimit {
			continue
		}
		list = append(list, Report{From: t.self, Target: g.info.ID, Incarnation: g.info.Incarnation,
			Suspicion: min(share, 1), At: now})
	}
	return list
}
