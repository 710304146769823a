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

// startEchoProxy starts a proxy in front of an echo server and returns it with a
// function that connects to it.
func startEchoProxy(t *testing.T) (*Proxy, func() net.Conn) {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", anyPort)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
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
	p.SetTarget(listener.Addr().String())
	return p, func() net.Conn {
		conn, err := net.Dial("tcp", p.Address())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = conn.Close() })
		return conn
	}
}

// echoByte sends a byte and waits at most limit until it comes back.
func echoByte(t *testing.T, conn net.Conn, limit time.Duration) error {
	t.Helper()
	if _, err := conn.Write([]byte("x")); err != nil {
		return err
	}
	_ = conn.SetReadDeadline(time.Now().Add(limit))
	_, err := io.ReadFull(conn, make([]byte, 1))
	return err
}

// Guards against link faults without effect and against faults that persist after their
// end.
func TestProxyFaults(t *testing.T) {
	const longTimeout, shortTimeout = 30 * time.Second, 50 * time.Millisecond
	p, dial := startEchoProxy(t)
	existing := dial()
	if err := echoByte(t, existing, longTimeout); err != nil {
		t.Fatalf("without a fault: %v", err)
	}
	for _, fromTarget := range []bool{false, true} {
		p.Drop(!fromTarget, fromTarget)
		if err := echoByte(t, existing, shortTimeout); !errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("dropped bytes (from target %v): %v", fromTarget, err)
		}
	}
	p.Drop(false, false)
	p.Silence()
	if err := echoByte(t, existing, shortTimeout); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("a silent connection: %v", err)
	}
	newConn := dial()
	if err := echoByte(t, newConn, longTimeout); err != nil {
		t.Errorf("a new connection beside silent ones: %v", err)
	}
	p.Reset()
	if err := echoByte(t, newConn, longTimeout); err == nil {
		t.Error("a connection still works after its reset")
	}
	if err := echoByte(t, dial(), longTimeout); err != nil {
		t.Errorf("a connection after the reset: %v", err)
	}
}
