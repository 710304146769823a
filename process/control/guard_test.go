package control_test

import (
	"net"
	"os"
	"runtime"
	"testing"
	"time"

	"storj.io/drpc/drpcwire"

	"github.com/hyssopsill/hyssopsill/process/control"
)

// Guards against a connection that holds more than its charge at the node (32 KiB)
// before the fleet token was shown, and against one that stays open without a call.
func TestUnauthenticatedClientHoldsLittle(t *testing.T) {
	const count, charge = 200, 32 << 10
	var server *control.Server
	var address string
	t.Cleanup(func() { // after the end of the server
		if server.CloseUnauthenticated(0) {
			t.Error("a closed connection is still listed")
		}
	})
	server, address = startServerWith(t, control.ServerOptions{Token: "secret", HandshakeTimeout: 2 * time.Second})
	frame := drpcwire.AppendFrame(nil, drpcwire.Frame{
		ID: drpcwire.ID{Stream: 1, Message: 1}, Kind: drpcwire.KindInvoke, Done: true, Data: make([]byte, 1<<20),
	})
	held := func() int64 {
		var s runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&s)
		return int64(s.HeapAlloc + s.StackInuse)
	}
	before := held()
	connections := make([]net.Conn, count)
	for i := range connections {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = conn.Close() }()
		_, _ = conn.Write(frame[:4000])
		connections[i] = conn
	}
	time.Sleep(300 * time.Millisecond)
	got := (held() - before) / count
	t.Logf("%d bytes for a connection, with the client's", got)
	if got > charge {
		t.Errorf("%d bytes for a connection, want at most %d", got, charge)
	}
	for _, conn := range connections {
		_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
		if n, err := conn.Read(make([]byte, 1)); n > 0 || err == nil || os.IsTimeout(err) {
			t.Fatalf("read %d bytes, %v, want the connection closed", n, err)
		}
	}
}

// Guards against connections of peers that are closed in favour of new ones, and
// against clients without the fleet token that are not.
func TestOnlyUnauthenticatedClientsAreClosedForOthers(t *testing.T) {
	peers := make(chan net.Conn, 2)
	server, address := startServerWith(t, control.ServerOptions{Token: "secret", OnPeer: func(c net.Conn) { peers <- c }})
	client := newClient(t, "secret")
	for range 3 {
		if _, err := client.Status(t.Context(), address); err != nil {
			t.Fatal(err)
		}
	}
	if len(peers) != 1 {
		t.Errorf("%d connections of peers for 3 calls, want 1", len(peers))
	}
	if server.CloseUnauthenticated(0) {
		t.Error("the connection of a peer was closed")
	}
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	for deadline := time.Now().Add(5 * time.Second); !server.CloseUnauthenticated(0); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("a connection without a call was not closed")
		}
	}
	_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	if _, err := conn.Read(make([]byte, 1)); err == nil || os.IsTimeout(err) {
		t.Errorf("%v, want the connection closed", err)
	}
}
