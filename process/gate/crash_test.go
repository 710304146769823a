package gate

import (
	"context"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/hyssopsill/hyssopsill/request/attempt"
)

// startCrashingTarget starts a target that closes the first connection on a request
// and accepts the given number of further connections before its listener closes, as
// a slowly dying process does. It returns the target's address.
func startCrashingTarget(t *testing.T, accepts int) string {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for range 1 + accepts {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			_, _ = conn.Read(make([]byte, 1))
			_ = conn.Close()
		}
		_ = listener.Close()
	}()
	return listener.Addr().String()
}

func (f *fixture) announceCrashingTarget(accepts int) {
	f.t.Helper()
	if _, err := f.gate.Announce("t1", Announcement{Service: "shop", Address: startCrashingTarget(f.t, accepts), Slots: 1,
		Incarnation: attempt.Incarnation{StartedMS: time.Now().UnixMilli() + 1, Random: 7}.String()}); err != nil {
		f.t.Fatal(err)
	}
}

// Guards against a crashed target that is taken for one that lives because the dial
// that checks it was reset from the backlog of the dying process. The request would
// then reach a third target.
func TestResetDialIsInconclusive(t *testing.T) {
	for _, c := range []struct {
		errs                []error
		refused, conclusive bool
	}{
		{[]error{syscall.ECONNRESET, syscall.ECONNREFUSED}, true, true},
		{[]error{nil, syscall.ECONNREFUSED}, true, true},
		{[]error{syscall.ECONNRESET, syscall.ECONNRESET}, false, false},
		{[]error{syscall.ETIMEDOUT}, false, true},
	} {
		calls := 0
		refused, conclusive := refusesConnections(func() error { calls++; return c.errs[calls-1] }, foregroundCrashDials)
		if refused != c.refused || conclusive != c.conclusive || calls != len(c.errs) {
			t.Errorf("dials %v: refused %v, conclusive %v after %d dials, want %v, %v after %d", c.errs, refused, conclusive, calls, c.refused, c.conclusive, len(c.errs))
		}
	}
}

// slowCrashAccepts is the number of connections that a crashing target still accepts,
// more than an exchange dials in the foreground.
const slowCrashAccepts = foregroundCrashDials + 1

// Guards against a crash that is attributed to no request because the target's
// listener outlives the foreground dials of the exchange.
func TestSlowCrashIsAttributed(t *testing.T) {
	f := newFixture(t, 1, false)
	f.announceCrashingTarget(slowCrashAccepts)
	if r := f.send(attemptID("r1"), "/a", time.Minute, attempt.HeaderRequestDigest, "1f"); r.verdict != "failed" {
		t.Fatalf("got %s %s", r.verdict, r.reason)
	}
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		f.gate.mu.Lock()
		target := f.gate.targets["t1"]
		attributed := target.down && target.crashes == 1
		f.gate.mu.Unlock()
		if attributed {
			return
		}
	}
	t.Error("the crash was never attributed")
}

// Guards against a request that reaches a third target before it is known whether
// the second one crashed.
func TestRetryWaitsForCrashDetection(t *testing.T) {
	f := newFixture(t, 1, false)
	f.announceCrashingTarget(slowCrashAccepts)
	r := f.send(attemptID("r1"), "/a", time.Minute, attempt.HeaderRequestDigest, "1f", attempt.HeaderRetry, "1")
	if r.verdict != "crashed" {
		t.Errorf("got %s %s, want verdict crashed", r.verdict, r.reason)
	}
}
