package node

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/hyssopsill/hyssopsill/process/settings"
	"github.com/hyssopsill/hyssopsill/request/attempt"
)

// pipeListener accepts the connections of a channel until it is closed.
type pipeListener chan net.Conn

func (l pipeListener) Accept() (net.Conn, error) {
	if c, ok := <-l; ok {
		return c, nil
	}
	return nil, net.ErrClosed
}
func (l pipeListener) Close() error   { return nil }
func (l pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

type chargedConnKey struct{}

// checkCharges sends requests with some numbers of header lines through an HTTP server,
// in writes of the sizes in splits, and compares the charge of each with what the
// parser holds. Unless they are pipelined, each awaits the response before it.
func checkCharges(t *testing.T, lines, splits []byte, pipelined bool) {
	t.Helper()
	client, server := net.Pipe()
	limits := settings.Limits{HeaderBytes: 64 << 10, ReadHeaderTimeout: 10 * time.Second, IdleTimeout: 10 * time.Second}
	m := newMemory(limits, 0, attempt.DefaultHTTPProfile, zerolog.Nop())
	accept := make(pipeListener, 1)
	l := limitConnections("caller", accept, 2, zerolog.Nop())
	l.memory = m
	accept <- server
	served := 0
	handler := http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		c := r.Context().Value(chargedConnKey{}).(*limitedConn)
		c.mu.Lock()
		got := c.charge.total()
		c.mu.Unlock()
		head := headOfLines(int(lines[served]))
		least := connectionBytes + headCost(len(head), bytes.Count(head, []byte{'\n'}))
		most := least
		if pipelined || served > 0 {
			// One buffer behind the head, and one of the request before. Lines have six
			// bytes, except for empty ones.
			most += 2 * headCost(serverBufferBytes, serverBufferBytes/5)
		}
		if got < least || got > most {
			t.Errorf("request %d: charge %d, want %d to %d", served, got, least, most)
		}
		served++
	})
	service := newHTTPService("caller", l, handler, limits, zerolog.Nop())
	service.server.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, chargedConnKey{}, c)
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = service.server.Serve(l)
	}()
	_ = client.SetDeadline(time.Now().Add(10 * time.Second))
	responses := make(chan error, len(lines))
	go func() {
		reader := bufio.NewReader(client)
		for range lines {
			response, err := http.ReadResponse(reader, nil)
			if err == nil {
				_, err = io.Copy(io.Discard, response.Body)
			}
			responses <- err
		}
	}()
	step := 0
	send := func(data []byte) {
		for len(data) > 0 {
			n := len(data)
			if len(splits) > 0 {
				n = min(n, 1+8*int(splits[step%len(splits)]))
				step++
			}
			if _, err := client.Write(data[:n]); err != nil {
				t.Fatal(err)
			}
			data = data[n:]
		}
	}
	await := func() {
		if err := <-responses; err != nil {
			t.Fatal(err)
		}
	}
	var all []byte
	for _, n := range lines {
		if pipelined {
			all = append(all, headOfLines(int(n))...)
			continue
		}
		send(headOfLines(int(n)))
		await()
	}
	if pipelined {
		send(all)
		for range lines {
			await()
		}
	}
	_ = client.Close()
	awaitMemory(t, m, "all is released", func(s memoryMetric) bool { return s.UsedBytes == 0 && s.Connections == 0 })
	close(accept)
	_ = l.Close()
	<-ended
	if served != len(lines) {
		t.Errorf("%d requests ran, want %d", served, len(lines))
	}
}

// Guards against charges that add up over the requests of a connection, which then is
// closed or refused although it holds little.
func TestChargeDoesNotGrowWithRequests(t *testing.T) {
	checkCharges(t, bytes.Repeat([]byte{3, 40, 0}, 700), []byte{255, 100, 3}, true)
	checkCharges(t, bytes.Repeat([]byte{3, 40, 0}, 100), []byte{9, 0}, false)
}

// Fuzzes the splits of requests into reads: the charge of a head is the same for every
// split, is never below what the parser holds, and ends with the connection.
func FuzzSplitsOfHeads(f *testing.F) {
	f.Add([]byte{0, 3, 250, 1}, []byte{0}, false)
	f.Add([]byte{200, 3, 250, 1}, []byte{255, 0, 7}, true)
	f.Fuzz(func(t *testing.T, lines, splits []byte, pipelined bool) {
		checkCharges(t, lines[:min(len(lines), 32)], splits, pipelined)
	})
}
