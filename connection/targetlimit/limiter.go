package targetlimit

import (
	"math"
	"strconv"
	"strings"
	"time"
)

const (
	// maxRate is the rate in requests/s from which on a limit binds no target.
	maxRate = 1e6
	// minRate is the rate in requests/s at which a target that takes none is tried, so
	// that the gate learns when it takes requests again.
	minRate = 0.2
	// burstTime is the time at the rate that gives the burst. The target counts
	// requests a second.
	burstTime = time.Second
)

// Parse returns the rate in requests/s that a header field value names. It is false
// for anything but a decimal number that is not negative.
func Parse(value string) (float64, bool) {
	value = strings.TrimSpace(value)
	if strings.Trim(value, "0123456789.") != "" {
		return 0, false // signs, exponents, Inf and NaN
	}
	rate, err := strconv.ParseFloat(value, 64)
	if err != nil && !math.IsInf(rate, 1) {
		return 0, false
	}
	return rate, true
}

// Limiter is a token bucket at the rate that a target names. The zero value has no
// limit. It is not safe for concurrent use.
type Limiter struct {
	limited   bool
	rate      float64 // requests/s, as named
	namedAt   time.Time
	observed  bool // a response of the target was observed
	tokens    float64
	updatedAt time.Time
}

// Rate returns the rate in requests/s that the target names. It is false without one.
func (l *Limiter) Rate() (float64, bool) { return l.rate, l.limited }

// Observe records what a response of the target to a request sent at sentAt says.
// named is false without a rate. It reports whether the limit changed.
//
// A response without a rate ends the limit only if its request was sent after the last
// response that named one: an earlier response may have been overtaken.
func (l *Limiter) Observe(now, sentAt time.Time, rate float64, named bool) bool {
	l.observed = true
	switch {
	case named && rate < maxRate:
		l.namedAt = now
		return l.set(now, rate)
	case l.limited && sentAt.After(l.namedAt):
		l.limited, l.rate = false, 0
		return true
	}
	return false
}

// Adopt takes over a rate that another process learned, unless the target has said
// itself what it takes. It reports whether the limit changed.
func (l *Limiter) Adopt(now time.Time, rate float64) bool {
	if l.observed || l.limited || rate >= maxRate {
		return false
	}
	l.namedAt = now
	return l.set(now, rate)
}

// set changes the rate. A new limit starts without tokens, since requests of the last
// second are in progress.
func (l *Limiter) set(now time.Time, rate float64) bool {
	if l.limited && rate == l.rate {
		return false
	}
	l.refill(now)
	if !l.limited {
		l.tokens, l.updatedAt = 0, now
	}
	l.limited, l.rate = true, rate
	l.tokens = min(l.tokens, l.burst())
	return true
}

// pace returns the rate in requests/s at which requests are sent.
func (l *Limiter) pace() float64 { return max(l.rate, minRate) }

func (l *Limiter) burst() float64 { return max(1, l.pace()*burstTime.Seconds()) }

func (l *Limiter) refill(now time.Time) {
	if elapsed := now.Sub(l.updatedAt); l.limited && elapsed > 0 {
		l.tokens = min(l.burst(), l.tokens+elapsed.Seconds()*l.pace())
	}
	l.updatedAt = now
}

// tolerance is the part of a token by which rounding may fall short of a whole one.
const tolerance = 1e-6

// Available returns how many requests may be sent now, -1 without a limit.
func (l *Limiter) Available(now time.Time) int {
	if !l.limited {
		return -1
	}
	l.refill(now)
	return max(0, int(l.tokens+tolerance))
}

// Wait returns the time until the n-th request from now may be sent.
func (l *Limiter) Wait(now time.Time, n int) time.Duration {
	if !l.limited {
		return 0
	}
	l.refill(now)
	return time.Duration(max(0, (float64(n)-l.tokens)/l.pace()) * float64(time.Second))
}

// Take counts a request that is sent. Requests that cannot wait, such as probes, may be
// sent without a token; those after them wait longer.
func (l *Limiter) Take(now time.Time) {
	if l.limited {
		l.refill(now)
		l.tokens--
	}
}

// Return takes back a request that was not sent.
func (l *Limiter) Return(now time.Time) {
	if l.limited {
		l.refill(now)
		l.tokens = min(l.burst(), l.tokens+1)
	}
}
