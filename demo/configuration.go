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

// floor is the share of targets that ejection leaves in rotation.
const floor = 0.5

// configText is the configuration; offersText is what the change adds.
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

// publish makes text the configuration and waits until it is accepted.
func (s *scenario) publish(ctx context.Context, id, text string) (int64, error) {
	want, findings := config.Parse("demo.toml", []byte(text))
	if err := findings.Err(); err != nil {
		return 0, err
	}
	log := s.fleet.log()
	fold, err := config.Load(ctx, log)
	if err != nil {
		return 0, err
	}
	change, err := fold.ChangeTo(want, id, "demo")
	if err != nil {
		return 0, err
	}
	publisher := config.Publisher{Log: log, Versions: s.watch.versions, PollInterval: watchInterval}
	ctx, cancel := context.WithTimeout(ctx, configWait)
	defer cancel()
	accepted, err := publisher.Publish(ctx, fold, change)
	if errors.Is(err, config.ErrNotAccepted) {
		err = nil // the wait for all nodes reports it
	}
	return accepted.Result.Offset, err
}

// changeConfiguration adds a route and waits until all nodes serve it.
func (s *scenario) changeConfiguration(ctx context.Context) error {
	begun := time.Now()
	s.events.add("a route for %s is published", offersPath)
	version, err := s.publish(ctx, "add-offers", configText+offersText)
	if err != nil {
		return fmt.Errorf("demo: publish: %w", err)
	}
	s.summary.Config.Version = version
	inForce := s.await(ctx, configWait-time.Since(begun), func() bool { return s.watch.leastVersion() >= version })
	took := time.Since(begun)
	s.ledger.Check(invariant.ConfigForward, inForce, "version %d is not in force everywhere after %s", version, took)
	if !inForce {
		return nil
	}
	s.summary.Config.InForceMS = milliseconds(took)
	s.events.add("version %d is in force on all nodes after %s", version, took.Round(time.Millisecond))
	for _, n := range s.fleet.nodes {
		status := s.probeRoute(ctx, n)
		s.ledger.Check(invariant.ConfigForward, status != http.StatusNotFound,
			"node %s says version %d and has no route %s", n.name, version, offersPath)
	}
	return nil
}

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
