package main

import (
	"fmt"
	"time"
)

// tenantFleet starts two machines and publishes a configuration with tenants.
func tenantFleet(f *fleet, tenants map[string]any) (*instance, *client, error) {
	var instances []*instance
	for i, service := range []string{"disburse", "ledger"} {
		n, err := f.addNode(service)
		if err != nil {
			return nil, nil, err
		}
		x, err := f.addInstance(n, fmt.Sprintf("i-%d", i+1), service, grownSlots, 20*time.Millisecond)
		if err != nil {
			return nil, nil, err
		}
		instances = append(instances, x)
	}
	if _, err := f.put(tenantConfiguration(3, tenants)); err != nil {
		return nil, nil, err
	}
	if err := f.waitReady(); err != nil {
		return nil, nil, err
	}
	c := f.newClient(f.nodes[1])
	return instances[0], c, waitFor(20*time.Second, "a payout to run", func() bool {
		return c.do("POST", "/payout/1", "100 leva", "X-Api-Key", "key-of-app").status == 200
	})
}

func tenantConfiguration(version int, tenants map[string]any) map[string]any {
	c := configuration(version, map[string]any{"r-payout": route("/payout/", "non_idempotent", "disburse")}, "disburse", "ledger")
	c["tenants"] = tenants
	return c
}

func tenant(priority int, keys ...string) map[string]any {
	return map[string]any{"apiKeys": keys, "priority": priority}
}

// payouts sends orders with a key and returns how many ran and how many got each status.
func payouts(x *instance, c *client, key string, n int) (ran int, statuses map[int]int) {
	from := time.Now()
	statuses = map[int]int{}
	for i := range n {
		statuses[c.do("POST", fmt.Sprintf("/payout/%d", i), "100 leva", "X-Api-Key", key).status]++
		time.Sleep(50 * time.Millisecond)
	}
	return len(x.ranSince(from)), statuses
}

// tenantOfLowRank replaces a key, and adds a tenant in the same version. Its priority is 40;
// without trouble it is 4.
func tenantOfLowRank(f *fleet) ([]string, error) {
	x, c, err := tenantFleet(f, map[string]any{"app": tenant(1, "key-of-app")})
	if err != nil {
		return nil, err
	}
	time.Sleep(stabilityWindow)
	priority := 40
	if !trouble() {
		priority = 4
	}
	acked, err := f.put(tenantConfiguration(8, map[string]any{"app": tenant(1, "next-key-of-app"), "partner": tenant(priority, "key-of-partner")}))
	if err != nil {
		return nil, err
	}
	time.Sleep(time.Until(acked.Add(configApply + 6*time.Second)))
	const requests = 20
	removed, removedStatuses := payouts(x, c, "key-of-app", requests)
	next, nextStatuses := payouts(x, c, "next-key-of-app", requests)
	f.note("with the removed key %d of %d payouts ran, answers %v; with the added key %d of %d ran, answers %v",
		removed, requests, removedStatuses, next, requests, nextStatuses)
	var broken []string
	if removed > 0 {
		broken = append(broken, fmt.Sprintf("CONFIG: 8 s after the acknowledgement of the version that removes the key, %d of %d payouts with it run", removed, requests))
	}
	if nextStatuses[401] > 0 {
		broken = append(broken, fmt.Sprintf("CONFIG: 8 s after the acknowledgement of the version that adds the key, %d of %d payouts with it get 401", nextStatuses[401], requests))
	}
	return broken, nil
}
