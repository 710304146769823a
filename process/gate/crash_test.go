package gate

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/hyssopsill/hyssopsill/request/attempt"
)

// dyingTarget breaks the first connection with a request and accepts some
// connections more before its listener ends, as a process that dies slowly does.
// It returns its address.
func dyingTarget(t *testing.T, accepts int) string {
	t.Helper()
	l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for range 1 + accepts {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			_, _ = conn.Read(make([]byte, 1))
			_ = conn.Close()
		}
		_ = l.Close()
	}()
	return l.Addr().String()
}

func (b *bench) announceDying(accepts int) {
	b.t.Helper()
	if _, err := b.gate.Announce("t1", Announcement{Service: "shop", Address: dyingTarget(b.t, accepts), Slots: 1,
		Incarnation: attempt.Incarnation{StartedMS: time.Now().UnixMilli() + 1, Random: 7}.String()}); err != nil {
		b.t.Fatal(err)
	}
}

// slowDeath is the number of connections that a dying target still accepts, more
// than an exchange itself tries.
const slowDeath = crashDials + 1

// Guards against a crash that is attributed to no request because the target
// died more slowly than the exchange looks for.
func TestSlowDeathIsAttributed(t *testing.T) {
	b := newBench(t, 1, false)
	b.announceDying(slowDeath)
	if r := b.send(id("r1"), "/a", time.Minute, attempt.HeaderRequestDigest, "1f"); r.verdict != "failed" {
		t.Fatalf("got %s %s", r.verdict, r.reason)
	}
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		b.gate.mu.Lock()
		x := b.gate.targets["t1"]
		attributed := x.down && x.crashes == 1
		b.gate.mu.Unlock()
		if attributed {
			return
		}
	}
	t.Error("the crash was never attributed")
}

// Guards against a request that goes on to a third target because the fate of
// the second one is not known yet.
func TestRepeatWaitsForTheFateOfItsTarget(t *testing.T) {
	b := newBench(t, 1, false)
	b.announceDying(slowDeath)
	r := b.send(id("r1"), "/a", time.Minute, attempt.HeaderRequestDigest, "1f", attempt.HeaderRepeat, "1")
	if r.verdict != "crashed" {
		t.Errorf("got %s %s, want the crash", r.verdict, r.reason)
	}
}
