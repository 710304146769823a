package node

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/hyssopsill/hyssopsill/process/settings"
)

func listenLoopback(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return l
}

// Guards against a shutdown that drops a request whose bytes had arrived before it began,
// but were not read yet.
func TestShutdownServesRequestThatHasArrived(t *testing.T) {
	lost := 0
	for range 100 {
		l := listenLoopback(t)
		service, _ := startCountingService(t, l)
		caller := dialCaller(t, l)
		if err := caller.exchange(func() {}); err != nil {
			t.Fatal(err)
		}
		time.Sleep(2 * time.Millisecond) // the connection becomes idle
		ended := make(chan error, 1)
		if err := caller.exchange(func() { go func() { ended <- service.shutdown(context.Background()) }() }); err != nil {
			lost++
		}
		<-ended
	}
	if lost > 0 {
		t.Errorf("%d of 100 requests got no response", lost)
	}
}

// Guards against a shutdown that cancels a running request which arrived together with
// the one before it.
func TestShutdownKeepsPipelinedRequestRunning(t *testing.T) {
	started, ended := make(chan struct{}), make(chan error, 1)
	handler := http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/second" {
			return
		}
		close(started)
		select {
		case <-r.Context().Done():
			ended <- r.Context().Err()
		case <-time.After(300 * time.Millisecond):
			ended <- nil
		}
	})
	l := listenLoopback(t)
	service := startService(t, limitConnections("caller", l, 10, zerolog.Nop()), handler, settings.Limits{IdleTimeout: time.Minute})
	caller := dialCaller(t, l)
	if _, err := io.WriteString(caller, "GET /first HTTP/1.1\r\nHost: h\r\n\r\nGET /second HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	<-started
	if err := service.shutdown(context.Background()); err != nil {
		t.Error(err)
	}
	if err := <-ended; err != nil {
		t.Errorf("the running request was cancelled: %v", err)
	}
}

// Guards against a drain that waits for a request which never becomes complete.
func TestShutdownDoesNotWaitForPartialHeader(t *testing.T) {
	for name, text := range map[string]string{"stray line end": "\r\n", "header": "GET / HT"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			l := listenLoopback(t)
			service, _ := startCountingService(t, l)
			caller := dialCaller(t, l)
			if err := caller.exchange(func() {}); err != nil {
				t.Fatal(err)
			}
			if _, err := io.WriteString(caller, text); err != nil {
				t.Fatal(err)
			}
			time.Sleep(100 * time.Millisecond)
			ctx, cancel := context.WithTimeout(context.Background(), 4*headerWait)
			defer cancel()
			if err := service.shutdown(ctx); err != nil {
				t.Errorf("the shutdown waits although no request runs: %v", err)
			}
		})
	}
}
