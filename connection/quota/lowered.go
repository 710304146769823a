package quota

import "time"

// HeldLimit is a limit that an account may still use after a version lowered it.
type HeldLimit struct {
	Limit Limit
	Until time.Time
}

// HoldLowered returns the limits that apply beside those of a new version, by account. A
// lowered limit binds one window after the version came into force at this node: callers
// that keep to the limit that they know are not refused meanwhile. held are the limits held
// before, which it does not change. An account that a version adds has no earlier limit.
func HoldLowered(now time.Time, window time.Duration, held map[string][]HeldLimit, from, to map[string]Limit) map[string][]HeldLimit {
	out := map[string][]HeldLimit{}
	for account, limit := range to {
		var kept []HeldLimit
		for _, h := range held[account] {
			if now.Before(h.Until) {
				kept = append(kept, h)
			}
		}
		if before, ok := from[account]; ok && higher(before, limit) != limit {
			kept = append(kept, HeldLimit{before, now.Add(window)})
		}
		if kept != nil {
			out[account] = kept
		}
	}
	return out
}

// Effective returns the limit that applies now: the highest of the held ones and that of
// the version in force.
func Effective(now time.Time, held []HeldLimit, limit Limit) Limit {
	for _, h := range held {
		if now.Before(h.Until) {
			limit = higher(limit, h.Limit)
		}
	}
	return limit
}

// higher returns the higher rate and burst of two limits. A rate of 0 is no limit.
func higher(a, b Limit) Limit {
	if a.Rate <= 0 || b.Rate <= 0 {
		return Limit{}
	}
	return Limit{max(a.Rate, b.Rate), max(a.Burst, b.Burst)}
}
