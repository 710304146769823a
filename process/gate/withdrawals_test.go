package gate

import (
	"testing"
	"time"

	"github.com/hyssopsill/hyssopsill/request/attempt"
)

// Guards against a target that gets work again after a restart of its node: the new
// process acknowledges the withdrawal and then gets an announcement sent before it.
func TestLateAnnouncementOfWithdrawnTarget(t *testing.T) {
	clock := &fakeClock{now: time.UnixMilli(1_700_000_000_000)}
	g := newBudgetGate(t, clock)
	announce := func(startedAt time.Time) AnnounceStatus {
		t.Helper()
		status, err := g.Announce("t2", Announcement{Service: "shop", Address: "127.0.0.1:7", Slots: 2,
			Incarnation: attempt.Incarnation{StartedMS: startedAt.UnixMilli(), Random: 1}.String()})
		if err != nil {
			t.Fatal(err)
		}
		return status
	}
	startedAt := clock.now
	clock.now = clock.now.Add(20 * time.Second)
	if _, known := g.DrainTarget(clock.now, "t2"); known {
		t.Fatal("the target is known before its announcement")
	}
	clock.now = clock.now.Add(2 * time.Second)
	if status := announce(startedAt); !status.Target.Leaving {
		t.Errorf("after a late announcement: %+v, want a leaving target", status.Target)
	}
	if status := announce(clock.now); status.Target.Leaving {
		t.Errorf("after the announcement of a new process: %+v", status.Target)
	}
}
