package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Clients of the case on a planned stop.
const (
	stopClients   = 12
	receiveBuffer = 8 << 10 // bytes that the system holds for a client that has not read them
	answerBytes   = 30000   // the largest answer of the sheet
)

// plannedStop stops the machine of clients that have sent a second read before the first is
// answered.
func plannedStop(f *fleet) ([]string, error) {
	orders, clients, err := sixMachines(f)
	if err != nil {
		return nil, err
	}
	for _, x := range orders {
		x.handler = func(w http.ResponseWriter, r *http.Request) bool {
			if !strings.HasPrefix(r.URL.Path, "/stock/two/") {
				return false
			}
			time.Sleep(time.Second)
			id := r.Header.Get(wire.RequestID)
			w.Header().Set(wire.Signature, "s."+x.id)
			_, _ = io.WriteString(w, strings.Repeat("x", answerBytes-len(id))+id) // the node may be gone
			return true
		}
	}
	time.Sleep(stabilityWindow)
	var mu sync.Mutex
	lost, whole, second := 0, 0, 0
	var wait sync.WaitGroup
	for i := range stopClients {
		wait.Go(func() {
			answers := readTwo(f, clients[0].node, i)
			mu.Lock()
			defer mu.Unlock()
			if answers > 0 {
				whole++
			} else {
				lost++
			}
			if answers > 1 {
				second++
			}
		})
	}
	time.Sleep(600 * time.Millisecond)
	if trouble() {
		f.note("platform: SIGTERM to %s", clients[0].node.name)
		clients[0].node.process.signal(syscall.SIGTERM)
	}
	wait.Wait()
	f.note("%d first reads got their whole answer, %d did not; %d second reads got theirs", whole, lost, second)
	if lost > 0 {
		return []string{fmt.Sprintf("LOST: %d of %d reads that had been passed on to an instance before SIGTERM got no complete answer", lost, stopClients)}, nil
	}
	return nil, nil
}

// readTwo sends two reads on one connection, the second before the first is answered, and
// returns how many whole answers arrived. The system holds receiveBuffer bytes at most for
// the client, which reads at once what arrives.
func readTwo(f *fleet, n *node, client int) int {
	dialer := net.Dialer{Control: func(_, _ string, c syscall.RawConn) error {
		var err error
		if controlErr := c.Control(func(fd uintptr) {
			err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer)
		}); controlErr != nil {
			return controlErr
		}
		return err
	}}
	conn, err := dialer.Dial("tcp", n.outbound)
	if err != nil {
		f.note("client %d: %v", client, err)
		return 0
	}
	defer conn.Close()
	const reads = 2
	for k := range reads {
		id := fmt.Sprintf("two-%d-%d", client, k)
		f.note("client %d sends %s", client, id)
		if _, err := fmt.Fprintf(conn, "GET /stock/two/%s HTTP/1.1\r\nHost: kits.example\r\n%s: %s\r\n%s: 20000\r\n\r\n", id, wire.RequestID, id, wire.Deadline); err != nil {
			f.note("client %d: %v", client, err)
			return 0
		}
		time.Sleep(pipelineDelay)
	}
	reader := bufio.NewReader(conn)
	for k := range reads {
		res, err := http.ReadResponse(reader, nil)
		if err != nil {
			f.note("client %d: no answer to read %d: %v", client, k, err)
			return k
		}
		body, err := io.ReadAll(res.Body)
		f.note("client %d: read %d gets %d, Connection: close %v, %d of %d bytes, error %v", client, k, res.StatusCode, res.Close, len(body), answerBytes, err)
		if err != nil || res.StatusCode != http.StatusOK || len(body) != answerBytes {
			return k
		}
	}
	return reads
}
