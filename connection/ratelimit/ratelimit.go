package ratelimit

import (
	"math"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
	"golang.org/x/time/rate"

	"github.com/hyssopsill/hyssopsill/request/attempt"
)

// Options configure a Limiter. Zero values take the defaults.
type Options struct {
	MaxCustomers      int           // maximum number of (service, customer) buckets; default 65,536
	ServiceBurst      time.Duration // time at a service's rate that gives its burst; default 100 ms
	DefaultShare      float64       // share of the demand until one is reported, 1/N for N entries; default 1
	fullAfterEviction bool          // for tests: an evicted customer gets a full bucket again
	forgetRunning     bool          // for tests: eviction drops the count of requests in progress
}

// Limits holds the limits of one service over the whole fleet. Zero means no limit.
type Limits struct {
	Rate                float64 // requests/s
	Concurrency         int     // requests in progress
	CustomerRate        float64 // requests/s of one customer
	CustomerBurst       int     // burst of one customer in requests; default twice the rate, at least 1
	CustomerConcurrency int     // requests in progress of one customer
}

// Decision says whether a request is within the limits.
type Decision struct {
	Allowed    bool
	Reason     attempt.Reason // ReasonRateLimit or ReasonConcurrencyLimit when refused
	RetryAfter time.Duration  // time until a token is available; 0 when unknown
	Limit      string         // the limit that refused the request, such as service-rate or customer-rate
}

type service struct {
	limits  Limits
	share   float64 // this entry's share of the demand; 0 until reported
	bucket  *rate.Limiter
	running int
}

type customerKey struct{ service, customer string }

// bucket is the token bucket of one customer of a service.
type bucket struct {
	tokens    float64
	updatedAt time.Time
}

// Limiter enforces the limits at one entry. It is not safe for concurrent use.
type Limiter struct {
	options           Options
	services          map[string]*service
	buckets           *simplelru.LRU[customerKey, *bucket]
	runningByCustomer map[customerKey]int // has no more keys than requests in progress
	lastEvictedUse    time.Time           // latest use of any evicted bucket
}

// New returns a Limiter without services. Requests to unknown services are allowed.
func New(o Options) *Limiter {
	if o.MaxCustomers <= 0 {
		o.MaxCustomers = 65_536
	}
	if o.ServiceBurst <= 0 {
		o.ServiceBurst = 100 * time.Millisecond
	}
	if o.DefaultShare <= 0 || o.DefaultShare > 1 {
		o.DefaultShare = 1
	}
	l := &Limiter{options: o, services: map[string]*service{}, runningByCustomer: map[customerKey]int{}}
	l.buckets, _ = simplelru.NewLRU(o.MaxCustomers, func(key customerKey, b *bucket) { // fails only for a size below 1
		if b.updatedAt.After(l.lastEvictedUse) {
			l.lastEvictedUse = b.updatedAt
		}
		if o.forgetRunning {
			delete(l.runningByCustomer, key)
		}
	})
	return l
}

// SetServices replaces the limits of all services. Counts of requests in progress
// and tokens are kept.
func (l *Limiter) SetServices(now time.Time, limits map[string]Limits) {
	for name := range l.services {
		if _, ok := limits[name]; !ok {
			delete(l.services, name)
		}
	}
	for name, serviceLimits := range limits {
		s := l.services[name]
		if s == nil {
			s = &service{}
			l.services[name] = s
		}
		s.limits = serviceLimits
		l.updateBucket(now, s)
	}
}

// DividesLimits reports whether a service has a limit of which this entry applies its
// share of the demand.
func (l *Limiter) DividesLimits(name string) bool {
	s := l.services[name]
	return s != nil && s.limits != Limits{CustomerBurst: s.limits.CustomerBurst}
}

// SetShares sets this entry's share of the demand of each service, from 0 to 1.
// Services not in the map return to the default share.
func (l *Limiter) SetShares(now time.Time, shares map[string]float64) {
	for name, s := range l.services {
		s.share = shares[name]
		l.updateBucket(now, s)
	}
}

// SetDefaultShare sets the share used until one is reported, 1/N for N entries.
// Values outside (0, 1] are ignored.
func (l *Limiter) SetDefaultShare(now time.Time, share float64) {
	if share <= 0 || share > 1 {
		return
	}
	l.options.DefaultShare = share
	for _, s := range l.services {
		l.updateBucket(now, s)
	}
}

// updateBucket sets rate and burst of the service's token bucket from its limits
// and share.
func (l *Limiter) updateBucket(now time.Time, s *service) {
	if s.limits.Rate <= 0 {
		s.bucket = nil
		return
	}
	perSecond := l.localRate(s, s.limits.Rate)
	burst := max(1, int(perSecond*l.options.ServiceBurst.Seconds()))
	if s.bucket == nil {
		s.bucket = rate.NewLimiter(rate.Limit(perSecond), burst)
		s.bucket.AllowN(now, 0)
		return
	}
	s.bucket.SetLimitAt(now, rate.Limit(perSecond))
	s.bucket.SetBurstAt(now, burst)
}

func (l *Limiter) shareOf(s *service) float64 {
	if s.share > 0 {
		return min(1, s.share)
	}
	return l.options.DefaultShare
}

// localRate returns this entry's part of a rate limit, at least one request/s
// unless the limit is lower.
func (l *Limiter) localRate(s *service, limit float64) float64 {
	return min(limit, max(1, limit*l.shareOf(s)))
}

// localConcurrency returns this entry's part of a concurrency limit, at least one.
func (l *Limiter) localConcurrency(s *service, limit int) int {
	return max(1, int(float64(limit)*l.shareOf(s)))
}

// Allow checks all limits for one request. If the request is allowed, Allow takes
// a token from each bucket and counts the request as in progress until Release. A
// refused request takes no token and must not be released.
func (l *Limiter) Allow(now time.Time, name, customer string) Decision {
	s := l.services[name]
	if s == nil {
		return Decision{Allowed: true}
	}
	key := customerKey{name, customer}
	if limit := s.limits.Concurrency; limit > 0 && s.running >= l.localConcurrency(s, limit) {
		return Decision{Reason: attempt.ReasonConcurrencyLimit, Limit: "service-concurrency"}
	}
	if limit := s.limits.CustomerConcurrency; limit > 0 && l.runningByCustomer[key] >= l.localConcurrency(s, limit) {
		return Decision{Reason: attempt.ReasonConcurrencyLimit, Limit: "customer-concurrency"}
	}
	if s.bucket != nil {
		if missingTokens := 1 - s.bucket.TokensAt(now); missingTokens > 1e-9 {
			return Decision{Reason: attempt.ReasonRateLimit, Limit: "service-rate", RetryAfter: timeUntilTokens(missingTokens, float64(s.bucket.Limit()))}
		}
	}
	if s.limits.CustomerRate > 0 {
		perSecond := l.localRate(s, s.limits.CustomerRate)
		b := l.customerBucket(now, key, perSecond, l.customerBurst(s))
		if b.tokens < 1-1e-9 {
			return Decision{Reason: attempt.ReasonRateLimit, Limit: "customer-rate", RetryAfter: timeUntilTokens(1-b.tokens, perSecond)}
		}
		b.tokens = max(0, b.tokens-1)
	}
	if s.bucket != nil {
		s.bucket.AllowN(now, 1)
	}
	s.running++
	if s.limits.CustomerConcurrency > 0 {
		l.runningByCustomer[key]++
	}
	return Decision{Allowed: true}
}

// timeUntilTokens returns the time in which the missing tokens are earned.
func timeUntilTokens(missingTokens, perSecond float64) time.Duration {
	return time.Duration(math.Ceil(missingTokens / perSecond * float64(time.Second)))
}

// customerBurst returns this entry's part of the burst of one customer.
func (l *Limiter) customerBurst(s *service) float64 {
	burst := float64(s.limits.CustomerBurst)
	if burst <= 0 {
		burst = 2 * s.limits.CustomerRate
	}
	return max(1, burst*l.shareOf(s))
}

// customerBucket returns the bucket of a customer with its tokens as of now, and
// creates it if necessary.
func (l *Limiter) customerBucket(now time.Time, key customerKey, perSecond, burst float64) *bucket {
	b, ok := l.buckets.Get(key)
	if !ok {
		b = &bucket{tokens: burst, updatedAt: now}
		if !l.lastEvictedUse.IsZero() && !l.options.fullAfterEviction {
			b.tokens = min(burst, max(0, now.Sub(l.lastEvictedUse).Seconds()*perSecond))
		}
		l.buckets.Add(key, b)
		return b
	}
	if elapsed := now.Sub(b.updatedAt); elapsed > 0 { // a clock that steps back earns no tokens
		b.tokens += elapsed.Seconds() * perSecond
		b.updatedAt = now
	}
	b.tokens = min(burst, b.tokens)
	return b
}

// Release marks a request that Allow allowed as ended.
func (l *Limiter) Release(_ time.Time, name, customer string) {
	if s := l.services[name]; s != nil {
		s.running = max(0, s.running-1)
	}
	key := customerKey{name, customer}
	if n := l.runningByCustomer[key]; n > 1 {
		l.runningByCustomer[key] = n - 1
	} else {
		delete(l.runningByCustomer, key)
	}
}

// Customers returns the number of customer buckets in memory.
func (l *Limiter) Customers() int { return l.buckets.Len() }
