package entry

import (
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/time/rate"

	"github.com/hyssopsill/hyssopsill/request/attempt"
)

// Bounds of the log lines about requests. Requests that were answered well are
// not logged one by one; the metrics count them.
const (
	outcomeLinesPerSecond = 20
	outcomeLinesBurst     = 100
)

// outcomeLog writes one line for each request that was refused, failed or needed
// more than one attempt. Lines above the bound are counted and the count is part
// of the next line.
type outcomeLog struct {
	logger  zerolog.Logger
	limit   *rate.Limiter
	dropped atomic.Int64
}

func newOutcomeLog(l zerolog.Logger) *outcomeLog {
	return &outcomeLog{logger: l, limit: rate.NewLimiter(outcomeLinesPerSecond, outcomeLinesBurst)}
}

func (o *outcomeLog) log(q *request, took time.Duration) {
	r := &q.rec
	if r.Outcome == attempt.Answered && r.Status < http.StatusInternalServerError && len(r.Attempts) < 2 {
		return
	}
	if !o.limit.Allow() {
		o.dropped.Add(1)
		return
	}
	attempts := zerolog.Arr()
	for i := range r.Attempts {
		a := &r.Attempts[i]
		attempts.Dict(zerolog.Dict().Str("target", a.Target).Str("node", a.Node).Str("why", a.Why).
			Str("verdict", string(a.Verdict)).Str("reason", string(a.Reason)).Int("status", a.Status).
			Float64("duration_ms", a.DurationMS).Str("next", a.Next))
	}
	o.logger.Info().Str("request", string(r.ID)).Str("route", r.Route).Str("service", r.Service).
		Int64("config_version", r.ConfigVersion).Int64("deadline_ms", r.DeadlineMS).
		Str("outcome", string(r.Outcome)).Str("reason", string(r.Reason)).Int("status", r.Status).Str("detail", r.Detail).
		Float64("duration_ms", float64(took)/float64(time.Millisecond)).Array("attempts", attempts).
		Int64("lines_dropped", o.dropped.Swap(0)).Msg("entry: request ended")
}
