package ratelimit

import "testing"

// Guards against gossip of the demand for services whose limits do not need it, and
// against limits of which each entry applies its default share only.
func TestDividesLimits(t *testing.T) {
	l := New(Options{})
	l.SetServices(epoch, map[string]Limits{"none": {}, "burst": {CustomerBurst: 5}, "rate": {Rate: 1}, "concurrency": {Concurrency: 1},
		"customer-rate": {CustomerRate: 1}, "customer-concurrency": {CustomerConcurrency: 1}})
	for name, want := range map[string]bool{"none": false, "burst": false, "unknown": false, "rate": true, "concurrency": true, "customer-rate": true, "customer-concurrency": true} {
		if got := l.DividesLimits(name); got != want {
			t.Errorf("%s: %v, want %v", name, got, want)
		}
	}
}
