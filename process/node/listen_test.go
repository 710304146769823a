package node

import (
	"context"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/hyssopsill/hyssopsill/process/settings"
)

// failingListener fails the second accept, as the kernel does with a network error
// that is pending on the new connection.
type failingListener struct {
	net.Listener
	accepts atomic.Int64
}

func (l *failingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err == nil && l.accepts.Add(1) == 2 {
		_ = conn.Close()
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", syscall.EPROTO)}
	}
	return conn, err
}

// Guards against a listener that is closed for good by one failed accept.
func TestListenerStaysOpenAfterFailedAccept(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })
	limits := settings.Limits{HeaderBytes: 32 << 10, ReadHeaderTimeout: time.Second, IdleTimeout: time.Minute}
	service := newHTTPService("caller", limitConnections("caller", &failingListener{Listener: l}, 10, zerolog.Nop()), handler, limits, zerolog.Nop())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- service.Serve(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 5 * time.Second}
	for i := range 4 {
		resp, err := client.Get("http://" + l.Addr().String())
		if err == nil {
			_ = resp.Body.Close()
		}
		if failed := err != nil; failed != (i == 1) {
			t.Errorf("request %d: %v", i+1, err)
		}
	}
}
