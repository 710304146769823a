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
	receiveBuffer = 8 << 10 // SO_RCVBUF of a client, which Linux doubles
	answerBytes   = 30000   // the largest answer of the sheet
)

// plannedStop stops the machine of clients that have sent a second read before the first is
// answered.
func plannedStop(f *fleet) ([]string, error) {
	orders, clients, err := sixMachines(f, grownSlots, offerList)
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
	var ends [stopClients]connectionEnd
	var wait sync.WaitGroup
	for i := range ends {
		wait.Go(func() { ends[i] = readTwo(f, clients[0].node, i) })
	}
	time.Sleep(600 * time.Millisecond)
	stopped := time.Now()
	if trouble() {
		f.note("platform: SIGTERM to %s", clients[0].node.name)
		clients[0].node.process.signal(syscall.SIGTERM)
	}
	wait.Wait()
	ran := map[string]bool{} // requests that an instance had begun to run before SIGTERM
	for _, x := range orders {
		for _, r := range x.ranSince(f.started) {
			ran[r.id] = ran[r.id] || r.at.Before(stopped)
		}
	}
	judged, lost, second := 0, 0, 0
	for i, end := range ends {
		if end.err != nil {
			return nil, fmt.Errorf("client %d: %w", i, end.err)
		}
		if ran[readID(i, 0)] {
			judged++
			if end.answers == 0 {
				lost++
			}
		}
		if end.answers > 1 {
			second++
		}
	}
	f.note("of %d first reads that an instance ran before SIGTERM the connections of %d ended without a complete answer; %d second reads got theirs", judged, lost, second)
	if judged < stopClients {
		return nil, fmt.Errorf("%d of %d first reads had reached an instance in time", judged, stopClients)
	}
	if lost > 0 {
		return []string{fmt.Sprintf("LOST: of %d reads that an instance had begun to run before SIGTERM the connections of %d ended without a complete answer", judged, lost)}, nil
	}
	return nil, nil
}

// connectionEnd tells what a client got on its connection.
type connectionEnd struct {
	answers int   // complete ones, of any status
	err     error // the requests could not be sent
}

// readID returns the ID of a client's first or second read.
func readID(client, read int) string { return fmt.Sprintf("two-%d-%d", client, read) }

// readTwo sends two reads on one connection, the second before the first is answered, and
// counts the complete answers. The client asks for a small receive buffer and reads at once
// what arrives.
func readTwo(f *fleet, n *node, client int) connectionEnd {
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
		return connectionEnd{err: err}
	}
	defer conn.Close()
	const reads = 2
	for k := range reads {
		id := readID(client, k)
		f.note("client %d sends %s", client, id)
		if _, err := fmt.Fprintf(conn, "GET /stock/two/%s HTTP/1.1\r\nHost: kits.example\r\n%s: %s\r\n%s: %d\r\n\r\n", id, wire.RequestID, id, wire.Deadline, offerList.deadline); err != nil {
			return connectionEnd{err: err}
		}
		time.Sleep(pipelineDelay)
	}
	reader := bufio.NewReader(conn)
	for k := range reads {
		res, err := http.ReadResponse(reader, nil)
		if err != nil {
			f.note("client %d: no answer to read %d: %v", client, k, err)
			return connectionEnd{answers: k}
		}
		body, err := io.ReadAll(res.Body)
		f.note("client %d: read %d gets %d, Connection: close %v, %d of %d bytes, error %v", client, k, res.StatusCode, res.Close, len(body), answerBytes, err)
		if err != nil {
			return connectionEnd{answers: k}
		}
	}
	return connectionEnd{answers: reads}
}
