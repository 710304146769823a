package admission

import "time"

const (
	// acceptedDecayTime is the time in which the rate of accepted work decays to 1/e. It
	// is about the time that work waits, so that the rate is that of the near future.
	acceptedDecayTime = time.Second
	// maxAcceptedKeys bounds the rates kept per target.
	maxAcceptedKeys = 64
	// minFreeShare bounds the share of the slots that the rate of work which goes first
	// leaves free, so that a short burst of it does not end all waiting.
	minFreeShare = 0.1
)

// acceptedWork measures how much work of each rank a target accepts. Work that arrives
// later and goes first delays waiting work: in a burst of urgent work, less urgent work
// would otherwise wait for a part of its objective behind it and then be refused. It
// holds only work for which canBeOvertaken is true.
type acceptedWork map[acceptedKey]*acceptedRate

type acceptedKey struct {
	rank int
	late bool
}

// acceptedRate is a decaying rate of service seconds per second, that is, of used slots.
type acceptedRate struct {
	slots float64
	at    time.Time
}

func (r *acceptedRate) value(now time.Time) float64 {
	return decayed(r.slots, now.Sub(r.at), acceptedDecayTime)
}

// canBeOvertaken reports whether acceptedWork delays the work: it is short and came with
// a rank. Without ranks the order is by priority and the expected wait as without this rate.
func (sub *submission) canBeOvertaken() bool { return sub.work.Rank >= 0 && !sub.long }

// add records work that starts or waits.
func (a acceptedWork) add(now time.Time, sub *submission) {
	if !sub.canBeOvertaken() {
		return
	}
	key := acceptedKey{sub.rank, sub.late}
	r := a[key]
	if r == nil {
		if len(a) >= maxAcceptedKeys {
			clear(a)
		}
		r = &acceptedRate{}
		a[key] = r
	}
	r.slots, r.at = r.value(now)+sub.class.expectedServiceTime(now).Seconds()/acceptedDecayTime.Seconds(), now
}

// before returns the slots that accepted work which goes before sub uses.
func (a acceptedWork) before(now time.Time, sub *submission) float64 {
	slots := 0.0
	for key, r := range a {
		if key.rank < sub.rank || key.rank == sub.rank && sub.late && !key.late {
			slots += r.value(now)
		}
	}
	return slots
}
