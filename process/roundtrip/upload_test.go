package roundtrip_test

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/hyssopsill/hyssopsill/process/roundtrip"
)

// serveConns starts a server that handles each connection with serve and then closes it.
func serveConns(t *testing.T, serve func(net.Conn)) (address string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
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
			go func() {
				defer func() { _ = conn.Close() }()
				serve(conn)
			}()
		}
	}()
	return l.Addr().String()
}

// startEarlyServer starts a server that sends a whole response as soon as it has read the
// head of a request, and then calls readOn for the body.
func startEarlyServer(t *testing.T, readOn func(conn net.Conn, body io.Reader)) string {
	t.Helper()
	return serveConns(t, func(conn net.Conn) {
		if r, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone") // fails only if the client is gone
			readOn(conn, r.Body)
		}
	})
}

// uploadTo sends a body and reads the response to its end. It returns the time between
// the head and the end of the response.
func uploadTo(t *testing.T, ctx context.Context, address string, body io.Reader, interrupt func()) time.Duration {
	t.Helper()
	client := roundtrip.New(roundtrip.Options{})
	defer client.Close()
	resp, err := client.Do(ctx, address, &roundtrip.Request{Method: "POST", URI: "/", Host: "h", Body: body, Length: -1, InterruptBody: interrupt})
	if err != nil {
		t.Fatal(err)
	}
	start := time.Now()
	data, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	if err != nil || string(data) != "done" {
		t.Errorf("got response %q, %v", data, err)
	}
	return time.Since(start)
}

// Guards against an upload that is broken off because its peer, which has responded, pauses
// or reads slowly.
func TestSlowPeerReadsWholeUpload(t *testing.T) {
	const size, piece, pause = 6 << 20, 512 << 10, 150 * time.Millisecond
	read := make(chan error, 1)
	address := startEarlyServer(t, func(_ net.Conn, body io.Reader) {
		time.Sleep(time.Second)
		total, err := 0, error(nil)
		for buffer := make([]byte, piece); err == nil; time.Sleep(pause) {
			var n int
			n, err = io.ReadFull(body, buffer)
			total += n
		}
		if (err == io.EOF || errors.Is(err, io.ErrUnexpectedEOF)) && total == size { // the end of the last piece
			err = nil
		}
		read <- err
	})
	uploadTo(t, context.Background(), address, bytes.NewReader(make([]byte, size)), nil)
	if err := <-read; err != nil {
		t.Errorf("the peer did not read the whole upload: %v", err)
	}
}

// Guards against a response that is held back although the rest of the request cannot be
// sent.
func TestResponseDoesNotWaitForUnreadUpload(t *testing.T) {
	done := make(chan struct{})
	defer close(done)
	endless := func() (io.Reader, func()) {
		source, writer := io.Pipe()
		go func() {
			for buffer := make([]byte, 64<<10); ; {
				if _, err := writer.Write(buffer); err != nil {
					return
				}
			}
		}()
		return source, func() { _ = source.Close() }
	}
	t.Run("peer closes", func(t *testing.T) {
		address := startEarlyServer(t, func(conn net.Conn, _ io.Reader) {
			_ = conn.(*net.TCPConn).CloseWrite()
			<-done
		})
		body, interrupt := endless()
		if held := uploadTo(t, context.Background(), address, body, interrupt); held > time.Second {
			t.Errorf("the response was held for %s", held)
		}
	})
	t.Run("peer does not read", func(t *testing.T) {
		address := startEarlyServer(t, func(net.Conn, io.Reader) { <-done })
		body, interrupt := endless()
		ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
		defer cancel()
		uploadTo(t, ctx, address, body, interrupt)
		if ctx.Err() != nil {
			t.Error("the response was held until the deadline")
		}
	})
	t.Run("caller does not send", func(t *testing.T) {
		address := startEarlyServer(t, func(_ net.Conn, body io.Reader) { _, _ = io.Copy(io.Discard, body) })
		body, writer := io.Pipe()
		ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
		defer cancel()
		uploadTo(t, ctx, address, body, func() { _ = writer.Close() })
		if ctx.Err() != nil {
			t.Error("the response was held until the deadline")
		}
	})
}
