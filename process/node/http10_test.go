package node

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
)

// streamingTarget responds with as many bytes as the path says, without a length or in
// chunks. Then it ends the response as the path says. It breaks off when the caller has got a
// part of the response.
func streamingTarget(conn net.Conn, size int, partReceived <-chan struct{}) {
	defer func() { _ = conn.Close() }()
	r, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	head, before, after, end := "HTTP/1.1 200 OK\r\n", "", "", ""
	if strings.Contains(r.URL.Path, "/chunks") {
		head, before, after, end = head+"Transfer-Encoding: chunked\r\n", fmt.Sprintf("%x\r\n", size), "\r\n", "0\r\n\r\n"
	}
	_, _ = io.WriteString(conn, head+"\r\n"+before+strings.Repeat("x", size)+after) // fails only if the gate is gone
	switch {
	case strings.HasSuffix(r.URL.Path, "/whole"):
		_, _ = io.WriteString(conn, end)
	case strings.HasSuffix(r.URL.Path, "/broken"):
		<-partReceived
		_ = conn.(*net.TCPConn).SetLinger(0)
	case strings.HasSuffix(r.URL.Path, "/unfinished"):
		_, _ = conn.Read(make([]byte, 1)) // until the gate is gone
	}
}

// Guards against a streamed response that breaks off and looks complete to an HTTP/1.0 caller, which
// gets neither a length nor chunks.
func TestBrokenStreamIsNotCompleteForHTTP10(t *testing.T) {
	const size = 600_000
	for _, framing := range []string{"chunks", "connection"} {
		for _, end := range []string{"whole", "broken", "unfinished"} {
			t.Run(framing+" "+end, func(t *testing.T) {
				t.Parallel()
				partReceived := make(chan struct{})
				node := startConnNode(t, closeDelimitedProfile, func(conn net.Conn) { streamingTarget(conn, size, partReceived) })
				conn, err := net.Dial("tcp", node.Addresses().Caller)
				if err != nil {
					t.Fatal(err)
				}
				defer func() { _ = conn.Close() }()
				_, _ = fmt.Fprintf(conn, "GET /kits/%s/%s HTTP/1.0\r\n\r\n", framing, end) // an error shows below
				resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
				if err != nil || resp.StatusCode != http.StatusOK {
					t.Fatalf("response %v, error %v; want the head of the target's", resp, err)
				}
				part, err := io.CopyN(io.Discard, resp.Body, size/2)
				if err != nil {
					t.Fatal(err)
				}
				close(partReceived)
				if end == "unfinished" {
					node.cancel()
				}
				rest, err := io.Copy(io.Discard, resp.Body)
				n := part + rest
				if complete := err == nil; complete != (end == "whole") || (complete && n != size) {
					t.Errorf("the caller got %d of %d bytes as a complete response: %t, error %v", n, size, complete, err)
				}
			})
		}
	}
}
