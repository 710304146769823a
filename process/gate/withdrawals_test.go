package gate

import (
	"slices"
	"testing"
	"time"

	"github.com/hyssopsill/hyssopsill/request/attempt"
	"github.com/hyssopsill/hyssopsill/version/membership"
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
	if targets := g.Targets(); slices.ContainsFunc(targets, func(t membership.Target) bool { return t.ID == "t2" }) {
		t.Errorf("a late announcement adds t2: %+v", targets)
	}
	if status := announce(clock.now); status.Target.Leaving {
		t.Errorf("after the announcement of a new process: %+v", status.Target)
	}
}

// Guards against a leaving target that gets work again because its announcement expired
// and another one of the same process arrives late.
func TestLateAnnouncementAfterLeavingTargetExpired(t *testing.T) {
	clock := &fakeClock{now: time.UnixMilli(1_700_000_000_000)}
	g := newBudgetGate(t, clock)
	process := attempt.Incarnation{StartedMS: clock.now.UnixMilli(), Random: 1}
	announce := func(process attempt.Incarnation) AnnounceStatus {
		t.Helper()
		status, err := g.Announce("t2", Announcement{Service: "shop", Address: "127.0.0.1:7", Slots: 2, TTLMS: 3000, Incarnation: process.String()})
		if err != nil {
			t.Fatal(err)
		}
		return status
	}
	announce(process)
	if _, known := g.DrainTarget(clock.now, "t2"); !known {
		t.Fatal("the target is not known")
	}
	clock.now = clock.now.Add(4 * time.Second)
	g.expireTargets(clock.now)
	if status := announce(process); !status.Target.Leaving {
		t.Errorf("after its announcement expired: %+v, want a leaving target", status.Target)
	}
	process.StartedMS = clock.now.UnixMilli()
	if status := announce(process); status.Target.Leaving {
		t.Errorf("its next process: %+v", status.Target)
	}
}

// Guards against a new process of a target that never gets work, since a withdrawal of
// the process before it arrived late or the clock of the host stepped back.
func TestWithdrawalDoesNotConcernLaterProcess(t *testing.T) {
	const started = 1_700_000_000_000
	for _, c := range []struct {
		name              string
		withdrawnStartMS  int64 // 0: the withdrawal does not say it
		newProcessMS      int64
		known, usedAtOnce bool
	}{
		{"late withdrawal of an unknown target", started, started + 15_000, false, true},
		{"late withdrawal of a known target", started, started + 15_000, true, true},
		{"clock stepped back", 0, started + 15_000, false, false},
	} {
		clock := &fakeClock{now: time.UnixMilli(started + 20_000)}
		g := newBudgetGate(t, clock)
		announce := func() bool {
			status, err := g.Announce("t2", Announcement{Service: "shop", Address: "127.0.0.1:7", Slots: 2, TTLMS: 600_000,
				Incarnation: attempt.Incarnation{StartedMS: c.newProcessMS, Random: 1}.String()})
			if err != nil {
				t.Fatal(err)
			}
			return !status.Target.Leaving
		}
		if c.known {
			announce()
		}
		g.DrainProcess(clock.now, "t2", c.withdrawnStartMS)
		if used := announce(); used != c.usedAtOnce {
			t.Errorf("%s: used at once: %t", c.name, used)
		}
		clock.now = clock.now.Add(withdrawalMemory + time.Second)
		g.expireTargets(clock.now)
		if !announce() {
			t.Errorf("%s: not used %s later", c.name, withdrawalMemory)
		}
	}
}
