package control_test

import (
	"bytes"
	"context"
	"crypto/rand"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"storj.io/drpc/drpcerr"

	"github.com/hyssopsill/hyssopsill/process/control"
	"github.com/hyssopsill/hyssopsill/process/control/controlpb"
)

type echoHandler struct{}

func (echoHandler) Exchange(_ context.Context, from string, message []byte) ([][]byte, error) {
	switch string(message) {
	case "panic":
		panic("fault of a handler")
	case "bad":
		return nil, fmt.Errorf("%w: byte 3", control.ErrInvalid)
	}
	return [][]byte{[]byte(from), message}, nil
}

func (echoHandler) Configuration(_ context.Context, r *controlpb.ConfigurationRequest) (*controlpb.ConfigurationResponse, error) {
	return &controlpb.ConfigurationResponse{Entries: r.Entries, Offset: r.After}, nil
}

func (echoHandler) Document(context.Context, *controlpb.DocumentRequest, func(*controlpb.DocumentPart) error) error {
	return nil
}

func (echoHandler) Snapshot(_ context.Context, newerThan int64) ([]byte, error) {
	return make([]byte, newerThan), nil
}

func (echoHandler) Explain(_ context.Context, query []byte) ([]byte, error) { return query, nil }

func (echoHandler) Status(context.Context) (*controlpb.StatusResponse, error) {
	return &controlpb.StatusResponse{Node: "n1", ConfigVersion: 7}, nil
}

func startServer(t *testing.T) (*control.Server, string) {
	t.Helper()
	return startServerWith(t, control.ServerOptions{Token: "secret"})
}

func startServerWith(t *testing.T, o control.ServerOptions) (*control.Server, string) {
	t.Helper()
	server, err := control.NewServer(o, echoHandler{})
	if err != nil {
		t.Fatal(err)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = server.Serve(ctx, listener)
	}()
	t.Cleanup(func() { cancel(); <-done })
	return server, listener.Addr().String()
}

func newClient(t *testing.T, token string) *control.Client {
	c := control.NewClient(control.ClientOptions{Token: token})
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// Guards against a call that is served without the token, and against a panic or
// a malformed message of one call that ends the process or fails other calls.
func TestServerRejectsInvalidCalls(t *testing.T) {
	server, address := startServer(t)
	ctx := context.Background()
	client, wrongTokenClient := newClient(t, "secret"), newClient(t, "secret2")
	if _, err := wrongTokenClient.Status(ctx, address); drpcerr.Code(err) != control.CodeUnauthorized {
		t.Fatalf("wrong token: %v", err)
	}
	for message, code := range map[string]uint64{"panic": control.CodeInternal, "bad": control.CodeInvalid,
		strings.Repeat("x", control.MaxMessageBytes+1): control.CodeInvalid} {
		if _, err := client.Exchange(ctx, address, control.MethodPing, "n1", []byte(message)); drpcerr.Code(err) != code {
			t.Fatalf("code %d, want %d: %v", drpcerr.Code(err), code, err)
		}
	}
	if _, err := client.Configuration(ctx, address, &controlpb.ConfigurationRequest{After: -1}); drpcerr.Code(err) != control.CodeInvalid {
		t.Fatalf("negative offset: %v", err)
	}
	if _, err := client.Explain(ctx, address, make([]byte, control.MaxRequestBytes+1)); err == nil {
		t.Fatal("oversized request was served")
	}
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	garbage := make([]byte, 1<<16)
	_, _ = rand.Read(garbage)
	_, _ = conn.Write(garbage)
	_ = conn.Close()
	responses, err := client.Exchange(ctx, address, control.MethodPing, "n1", []byte("hello"))
	if err != nil || len(responses) != 2 || !bytes.Equal(responses[1], []byte("hello")) {
		t.Fatalf("%q, %v", responses, err)
	}
	if snapshot, err := client.Snapshot(ctx, address, 4<<20); err != nil || len(snapshot) != 4<<20 {
		t.Fatalf("snapshot of %d bytes, %v", len(snapshot), err)
	}
	if status, err := client.Status(ctx, address); err != nil || status.ConfigVersion != 7 {
		t.Fatalf("%v, %v", status, err)
	}
	if calls := server.Meter().Vars().Get("Ping.calls"); calls == nil || server.Meter().Vars().Get("Snapshot.bytes_out").String() < "4194304" {
		t.Fatalf("meter: %s", server.Meter().Vars())
	}
}

// Guards against a client that waits without a timeout for an unresponsive node.
func TestCallToUnresponsiveNodeTimesOut(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	c := control.NewClient(control.ClientOptions{Token: "secret", Timeout: 100 * time.Millisecond})
	defer c.Close()
	startedAt := time.Now()
	if _, err := c.Status(context.Background(), listener.Addr().String()); err == nil || time.Since(startedAt) > 5*time.Second {
		t.Fatalf("got %v after %s", err, time.Since(startedAt))
	}
}
