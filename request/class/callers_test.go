package class

import (
	"math/rand/v2"
	"testing"
)

// Guards against calls between services that are taken for requests of customers, which
// come from the hosts of all services, and the other way round.
func TestCallersAreTold(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	services := []string{"shop", "orders", "library"}
	var c Callers
	mistaken := 0
	for range 2000 {
		c.Observe("browse", services[random.IntN(len(services))])
		c.Observe("stock", "shop")
		if c.Called("browse") {
			mistaken++
		}
	}
	if !c.Called("stock") {
		t.Error("the class that only hosts of one service request is not taken for a call")
	}
	if mistaken > 0 {
		t.Errorf("requests of customers were taken for calls %d times", mistaken)
	}
	c.Observe("stock", "orders")
	if c.Called("stock") {
		t.Error("still taken for a call after a request from another service")
	}
	c.Observe("unnamed", "")
	for range 100 {
		c.Observe("unnamed", "")
	}
	if c.Called("unnamed") || c.Called("unknown") {
		t.Error("taken for a call without a known service")
	}
	c.Prune(func(string) bool { return false })
	if len(c.streaks) > 0 {
		t.Error("classes that are gone are kept")
	}
}

// Guards against calls of a small service that are recognized late, and against requests
// of customers that are taken for calls because a service has few hosts.
func TestCallsOfSmallServicesAreToldSooner(t *testing.T) {
	hosts := map[string]int{"shop": 6, "orders": 12, "library": 9}
	for service, want := range map[string]int{"shop": 8, "orders": 14, "library": 11, "unknown": maxCalledStreak} {
		var c Callers
		c.SetHosts(hosts)
		n := 0
		for ; !c.Called("stock"); n++ {
			c.Observe("stock", service)
		}
		if n != want {
			t.Errorf("calls of %s are told after %d requests, want %d", service, n, want)
		}
	}
	random := rand.New(rand.NewPCG(3, 4))
	var services []string
	for service, n := range hosts {
		for range n {
			services = append(services, service)
		}
	}
	var c Callers
	c.SetHosts(hosts)
	mistaken := 0
	for range 20000 {
		c.Observe("browse", services[random.IntN(len(services))])
		if c.Called("browse") {
			mistaken++
		}
	}
	if mistaken > 2 {
		t.Errorf("requests of customers were taken for calls %d times in 20,000", mistaken)
	}
	c.SetHosts(map[string]int{"shop": 5})
	for range maxCalledStreak - 1 {
		c.Observe("price", "shop")
	}
	if c.Called("price") {
		t.Error("told too soon where one service has all hosts")
	}
}

// Guards against calls that are not taken into account until they are recognized, and
// against requests of customers that are taken for calls for more than a moment.
func TestClassMayBeCalledUntilASecondServiceRequestsIt(t *testing.T) {
	var c Callers
	if c.MayBeCalled("stock") {
		t.Error("a class without requests may be called")
	}
	for range 3 {
		c.Observe("stock", "shop")
		if !c.MayBeCalled("stock") || c.Called("stock") {
			t.Errorf("may be called %v, called %v, after requests from one service", c.MayBeCalled("stock"), c.Called("stock"))
		}
	}
	c.Observe("stock", "")
	c.Observe("stock", "library")
	if c.MayBeCalled("stock") {
		t.Error("may be called after requests from two services")
	}
	for range maxCalledStreak {
		c.Observe("stock", "library")
	}
	if !c.MayBeCalled("stock") {
		t.Error("calls are not taken for calls")
	}
}
