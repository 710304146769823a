package health

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
)

// ClaimTrickle claims the trickle slot of an ejected target, or of one in an
// unreachable failure domain. The request that uses it is sent on a new
// connection, since idle ones may have been lost meanwhile, and ends with
// Evidence.Trickle set. Each target has one trickle request in progress at a time.
func (t *Tracker) ClaimTrickle(now time.Time, id string) bool {
	tgt := t.targets[id]
	if tgt == nil || !(tgt.ejected || tgt.node.dom.unreachable) {
		return false
	}
	if tgt.trickleInProgress && now.Sub(tgt.trickleClaimedAt) < t.opts.TrickleTimeout {
		return false
	}
	if now.Before(tgt.nextTrickleAt) {
		return false
	}
	tgt.trickleClaimedAt, tgt.trickleInProgress = now, true
	t.scheduleTrickle(now, tgt)
	return true
}

// probesBeforeTrickle is the number of consecutive good probes since the ejection
// after which non-idempotent work may be sent to an ejected target.
const probesBeforeTrickle = 3

// ClaimProbedTrickle is ClaimTrickle for non-idempotent work: it also requires
// good probes. Without it, the targets of a service without idempotent work would
// never return.
func (t *Tracker) ClaimProbedTrickle(now time.Time, id string) bool {
	tgt := t.targets[id]
	return tgt != nil && tgt.goodProbes >= probesBeforeTrickle && t.ClaimTrickle(now, id)
}

// scheduleTrickle sets the time of the next trickle request. Entries eject a
// target at nearly the same time, so each spreads its requests by a hash of its
// name. Otherwise they arrive together: 22 within half a second from 24 entries.
func (t *Tracker) scheduleTrickle(now time.Time, tgt *target) {
	interval := max(t.opts.MinTrickleInterval, time.Duration(t.entries)*t.opts.TrickleIntervalPerEntry)
	tgt.trickleCount++
	if t.opts.disabled.trickleSpread {
		tgt.nextTrickleAt = now.Add(interval)
		return
	}
	share := float64(t.trickleHash(tgt)>>11) / (1 << 53)
	if tgt.trickleClaimedAt.Equal(now) {
		tgt.nextTrickleAt = now.Add(time.Duration((0.75 + share/2) * float64(interval)))
		return
	}
	tgt.nextTrickleAt = now.Add(time.Duration((0.25 + share) * float64(interval)))
}

func (t *Tracker) trickleHash(tgt *target) uint64 {
	var h xxhash.Digest
	h.Reset()
	_, _ = h.WriteString(t.self) // writing to a Digest never fails
	_, _ = h.WriteString("\x00" + tgt.info.ID)
	_, _ = h.Write(binary.LittleEndian.AppendUint64(nil, uint64(tgt.trickleCount)))
	return h.Sum64()
}

const (
	// reportThreshold is the suspicion from which own evidence is reported, and the
	// growth after which it is reported again.
	reportThreshold = 0.25
	// reportLimit is the largest number of reports in one round of gossip.
	reportLimit = 32
)

// Reports returns this entry's evidence from requests to targets, without what
// other entries have reported.
func (t *Tracker) Reports(now time.Time) []Report {
	var list []Report
	for _, tgt := range t.targetOrder {
		share := tgt.trafficEvidence() / t.opts.Threshold
		if share < reportThreshold || len(list) == reportLimit {
			continue
		}
		list = append(list, Report{From: t.self, Target: tgt.info.ID, Incarnation: tgt.info.Incarnation,
			Suspicion: min(share, 1), At: now})
	}
	return list
}
