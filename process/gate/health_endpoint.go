package gate

import (
	"context"
	"net/http"
	"net/url"
	"time"
)

// healthReadInterval is the time between two reads of a target's health endpoint.
const healthReadInterval = 2 * time.Second

// readHealthEndpoints reads the health endpoints of the targets that announced one.
// Responses carry the result in HeaderHint. Entries treat it as the weakest evidence,
// since these endpoints lag and can be wrong.
func (g *Gate) readHealthEndpoints(ctx context.Context, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, t := range g.targets {
		if t.healthURL == "" || t.readingHealth || now.Sub(t.healthReadAt) < healthReadInterval {
			continue
		}
		u, err := url.Parse(t.healthURL)
		if err != nil {
			continue // not reached: the announcement was validated
		}
		t.readingHealth = true
		go g.readHealthEndpoint(ctx, t, u)
	}
}

func (g *Gate) readHealthEndpoint(ctx context.Context, t *target, u *url.URL) {
	g.countProbe(g.now(), t.ID)
	result := g.probeTarget(ctx, u.Host, u.RequestURI())
	g.mu.Lock()
	defer g.mu.Unlock()
	t.readingHealth, t.healthReadAt = false, g.now()
	t.unhealthy = result.Status < http.StatusOK || result.Status >= http.StatusMultipleChoices
}
