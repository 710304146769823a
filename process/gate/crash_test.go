package gate

import (
	"context"
	"net"
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
