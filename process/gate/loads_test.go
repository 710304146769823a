package gate

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/hyssopsill/hyssopsill/request/attempt"
)

// Guards against a header of loads that a gate sends although loads are not shared or
// nothing is known, or makes longer than 200 bytes.
func TestSharedLoadsInResponses(t *testing.T) {
	g := newBudgetGate(t, &fakeClock{now: time.Unix(1000, 0)})
	fields := func(entry string) http.Header {
		e := newExchange(g, false)
		e.id.Entry = entry
		h := http.Header{}
		e.setLoadHeaders(h)
		return h
	}
	if h := fields("g2"); h[attempt.HeaderLoads] != nil || h.Get(attempt.HeaderLoad) == "" {
		t.Errorf("loads are not shared: %v", h)
	}
	known, noted := strings.Repeat("A", 64), 0
	g.options.LoadsFor = func(node, service, target string, load attempt.Load) string {
		if node != "g2" || service != "shop" || target != "t1" || load.Slots != 4 {
			t.Errorf("got %s %s %+v", service, target, load)
		}
		noted++
		return known
	}
	if h := fields("g2"); h.Get(attempt.HeaderLoads) != known || len(attempt.HeaderLoads)+len(": \r\n")+len(known) > 200 {
		t.Errorf("got %v", h)
	}
	known = ""
	if h := fields("g2"); h[attempt.HeaderLoads] != nil || noted != 2 {
		t.Errorf("nothing is known: %v, the load was noted %d times", h, noted)
	}
}
