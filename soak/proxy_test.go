package soak

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"time"
)

// echoed dials the proxy of an echo server.
func echoed(t *testing.T) (*Proxy, func() net.Conn) {
	t.Helper()
	l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", anyPort)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(conn, conn); _ = conn.Close() }()
		}
	}()
	p, err := NewProxy()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	p.SetTarget(l.Addr().String())
	return p, func() net.Conn {
		conn, err := net.Dial("tcp", p.Address())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = conn.Close() })
		return conn
	}
}

// answers reports whether a byte comes back; without one the read ends in time.
func answers(t *testing.T, conn net.Conn, limit time.Duration) error {
	t.Helper()
	if _, err := conn.Write([]byte("x")); err != nil {
		return err
	}
	_ = conn.SetReadDeadline(time.Now().Add(limit))
	_, err := io.ReadFull(conn, make([]byte, 1))
	return err
}

// Guards against faults of links that harm nothing, or that outlast their end.
func TestProxyFaults(t *testing.T) {
	const long, short = 30 * time.Second, 50 * time.Millisecond
	p, dial := echoed(t)
	old := dial()
	if err := answers(t, old, long); err != nil {
		t.Fatalf("without a fault: %v", err)
	}
	for _, back := range []bool{false, true} {
		p.Drop(!back, back)
		if err := answers(t, old, short); !errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("dropped (back %v): %v", back, err)
		}
	}
	p.Drop(false, false)
	p.Silence()
	if err := answers(t, old, short); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("a silent connection: %v", err)
	}
	fresh := dial()
	if err := answers(t, fresh, long); err != nil {
		t.Errorf("a new connection beside silent ones: %v", err)
	}
	p.Reset()
	if err := answers(t, fresh, long); err == nil {
		t.Error("a connection that was reset answers")
	}
	if err := answers(t, dial(), long); err != nil {
		t.Errorf("a connection after the reset: %v", err)
	}
}
