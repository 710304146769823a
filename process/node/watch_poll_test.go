package node

import (
	"bytes"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"
)

// Guards against a client that leaves unnoticed while its target reads nothing of an upload.
func TestClientLeavesNoticedDuringUpload(t *testing.T) {
	for _, size := range []int{100_000, 300_000, 1_000_000} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			begun, ended := make(chan struct{}, 10), make(chan struct{}, 10)
			node := startUploadNode(t, func(conn net.Conn) {
				defer func() { _ = conn.Close() }()
				buffer := make([]byte, 4<<10)
				if n, _ := conn.Read(buffer); n == 0 || bytes.HasPrefix(buffer, []byte("GET")) { // a probe
					return
				}
				begun <- struct{}{}
				raw, _ := conn.(*net.TCPConn).SyscallConn() // never fails
				_ = raw.Read(isEndedByPeer)
				ended <- struct{}{}
			})
			conn := dialService(t, node.Addresses().Caller)
			go func() {
				_, _ = fmt.Fprintf(conn, "PUT /kits/1 HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", size, strings.Repeat("x", size)) // ends with the connection
			}()
			<-begun
			time.Sleep(100 * time.Millisecond)
			_ = conn.(*net.TCPConn).SetLinger(0)
			_ = conn.Close()
			select {
			case <-ended:
			case <-time.After(2 * time.Second):
				t.Error("the target still works 2s after the client has left")
			}
		})
	}
}
