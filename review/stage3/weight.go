package main

import (
	"fmt"
	"time"
)

// partWithoutWeight publishes a version that ends a gradual move: the part of the old
// service gets the weight 0.
func partWithoutWeight(f *fleet) ([]string, error) {
	services := []string{"orders", "orders-next", "shopfront"}
	var instances []*instance
	for i, service := range services {
		n, err := f.addNode(service)
		if err != nil {
			return nil, err
		}
		x, err := f.addInstance(n, fmt.Sprintf("i-%d", i+1), service, 20*time.Millisecond)
		if err != nil {
			return nil, err
		}
		instances = append(instances, x)
	}
	split := func(old, next int) map[string]any {
		r := route("/order/", "non_idempotent", "")
		delete(r, "service")
		r["trafficSplit"] = []map[string]any{{"service": "orders", "weight": old}, {"service": "orders-next", "weight": next}}
		return r
	}
	if _, err := f.put(configuration(3, map[string]any{"r-order": split(50, 50), "r-old": route("/old/", "idempotent", "orders")}, services...)); err != nil {
		return nil, err
	}
	if err := f.waitReady(); err != nil {
		return nil, err
	}
	c := f.newClient(f.nodes[2])
	if err := waitFor(20*time.Second, "both services to run orders", func() bool {
		c.do("POST", "/order/1", "one cooker")
		return len(instances[0].ranSince(f.started)) > 0 && len(instances[1].ranSince(f.started)) > 0
	}); err != nil {
		return nil, err
	}
	time.Sleep(stabilityWindow)
	old := 0
	if !trouble() {
		old = 1
	}
	routes := map[string]any{"r-order": split(old, 100-old), "r-new": route("/new/", "idempotent", "orders-next")}
	acked, err := f.put(configuration(8, routes, services...))
	if err != nil {
		return nil, err
	}
	time.Sleep(time.Until(acked.Add(configApply + 6*time.Second)))
	from := time.Now()
	byOld, missing, dropped := 0, 0, 0
	const requests = 40
	for i := range requests {
		c.do("POST", fmt.Sprintf("/order/%d", i), "one cooker")
		if c.do("GET", fmt.Sprintf("/new/%d", i), "").status == 404 {
			missing++
		}
		if c.do("GET", fmt.Sprintf("/old/%d", i), "").status == 200 {
			dropped++
		}
		time.Sleep(50 * time.Millisecond)
	}
	for _, r := range instances[0].ranSince(from) {
		if r.method == "POST" {
			byOld++
		}
	}
	f.note("%d of %d orders ran at the old service, %d of %d requests on the added route got 404, %d of %d on the dropped route ran", byOld, requests, missing, requests, dropped, requests)
	var broken []string
	if missing > 0 || dropped > 0 {
		broken = append(broken, fmt.Sprintf("CONFIG: %s after its acknowledgement version 8 is not in force: %d of %d requests on the added route get 404, %d of %d on the dropped route run, %d of %d orders run at the service with weight 0",
			from.Sub(acked).Round(time.Second), missing, requests, dropped, requests, byOld, requests))
	}
	return broken, nil
}
