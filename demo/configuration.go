package demo

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/hyssopsill/hyssopsill/request/invariant"
	"github.com/hyssopsill/hyssopsill/version/config"
)

// floor is the share of targets that ejection must leave in rotation.
const floor = 0.5

// configText is the first configuration. changeConfiguration adds offersText to it.
var configText = fmt.Sprintf(`[services.shop]
floor = %v
slow_start = "500ms"
[services.shop.classes.browse]
idempotent = true
deadline = %q
[services.shop.classes.price]
idempotent = true
deadline = %q
[services.shop.classes.order]
priority = "order"
deadline = %q
[services.shop.classes.download]
priority = "background"
idempotent = true
long = true
deadline = %q
[[routes]]
id = "kits"
path_prefix = "/kits"
service = "shop"
class = "browse"
[[routes]]
id = "prices"
path_prefix = "/prices"
service = "shop"
class = "price"
[[routes]]
id = "orders"
path_prefix = "/orders"
methods = ["POST"]
service = "shop"
class = "order"
[[routes]]
id = "guides"
path_prefix = "/guides"
service = "shop"
class = "download"
`, floor, deadlines[browse].String(), deadlines[price].String(), deadlines[order].String(), deadlines[download].String())

const (
	offersPath = "/offers"
	offersText = `[[routes]]
id = "offers"
path_prefix = "/offers"
service = "shop"
class = "browse"
`
)

// publish publishes text as the configuration and waits until it is accepted or
// configWait has passed. It returns the version.
func (s *scenario) publish(ctx context.Context, id, text string) (int64, error) {
	wanted, findings := config.Parse("demo.toml", []byte(text))
	if err := findings.Err(); err != nil {
		return 0, err
	}
	log := s.fleet.log()
	state, err := config.Load(ctx, log)
	if err != nil {
		return 0, err
	}
	change, err := state.ChangeTo(wanted, id, "demo")
	if err != nil {
		return 0, err
	}
	publisher := config.Publisher{Log: log, Versions: s.watch.versions, PollInterval: watchInterval}
	ctx, cancel := context.WithTimeout(ctx, configWait)
	defer cancel()
	accepted, err := publisher.Publish(ctx, state, change)
	if errors.Is(err, config.ErrNotAccepted) {
		err = nil // changeConfiguration checks the version of all nodes
	}
	return accepted.Result.Offset, err
}

// changeConfiguration adds a route and waits until all nodes serve it.
func (s *scenario) changeConfiguration(ctx context.Context) error {
	startedAt := time.Now()
	s.events.add("a route for %s is published", offersPath)
	version, err := s.publish(ctx, "add-offers", configText+offersText)
	if err != nil {
		return fmt.Errorf("demo: publish: %w", err)
	}
	s.summary.Config.Version = version
	inForce := s.waitUntil(ctx, configWait-time.Since(startedAt), func() bool { return s.watch.minVersion() >= version })
	elapsed := time.Since(startedAt)
	s.ledger.Check(invariant.ConfigForward, inForce, "version %d is not in force everywhere after %s", version, elapsed)
	if !inForce {
		return nil
	}
	s.summary.Config.InForceMS = milliseconds(elapsed)
	s.events.add("version %d is in force on all nodes after %s", version, elapsed.Round(time.Millisecond))
	for _, n := range s.fleet.nodes {
		status := s.probeRoute(ctx, n)
		s.ledger.Check(invariant.ConfigForward, status != http.StatusNotFound,
			"node %s reports version %d but has no route %s", n.name, version, offersPath)
	}
	return nil
}

// probeRoute returns the status of a request for the new route, 0 without a response.
func (s *scenario) probeRoute(ctx context.Context, n *fleetNode) int {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.addresses.Caller+offersPath, nil)
	if err != nil {
		return 0
	}
	resp, err := s.watch.client.Do(req)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}
