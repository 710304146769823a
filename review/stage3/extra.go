package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// A faulty instance sends additional bytes after one in extraEvery of its answers, extraDelay
// later.
const (
	extraEvery = 34
	extraDelay = 150 * time.Millisecond
)

// rawInstance makes the instance serve its connections itself, so that it can send bytes
// after a complete response. extra returns them, or "" for none.
func (i *instance) rawInstance(extra func(id string) string) error {
	_ = i.server.Close()
	l, err := net.Listen("tcp", i.address)
	if err != nil {
		return err
	}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go i.serveRaw(conn, extra)
		}
	}()
	return nil
}

func (i *instance) serveRaw(conn net.Conn, extra func(id string) string) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	var mu sync.Mutex // of writes
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		id := r.Header.Get("X-Hyssopsill-Request-Id")
		text := "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX-Hyssopsill-Instance-Id: " + i.id + "\r\n\r\n"
		if r.URL.Path != "/health" {
			i.slotsInUse <- struct{}{}
			i.mu.Lock()
			i.runs = append(i.runs, run{at: time.Now(), id: id, method: r.Method, uri: r.RequestURI, body: string(body)})
			i.mu.Unlock()
			i.fleet.note("instance %s runs %s %s %s", i.id, id, r.Method, r.RequestURI)
			time.Sleep(i.work)
			<-i.slotsInUse
			text = response(id, i.id, "answer of "+i.id+" to "+id)
		}
		mu.Lock()
		_, err = io.WriteString(conn, text)
		mu.Unlock()
		if err != nil {
			return
		}
		if more := extra(id); more != "" && r.URL.Path != "/health" {
			time.AfterFunc(extraDelay, func() {
				i.fleet.note("instance %s sends %d additional bytes after its answer to %s", i.id, len(more), id)
				mu.Lock()
				defer mu.Unlock()
				_, _ = io.WriteString(conn, more) // the connection may be closed
			})
		}
	}
}

// response returns a response that names a request, or none.
func response(id, instance, body string) string {
	name := ""
	if id != "" {
		name = "X-Hyssopsill-Request-Id: " + id + "\r\n"
	}
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%sX-Hyssopsill-Response-Signature: s.%s\r\nContent-Length: %d\r\n\r\n%s", name, instance, len(body), body)
}

// additionalBytes lets one of two instances send additional bytes, in the form of a response
// that names no request, some time after complete responses.
func additionalBytes(f *fleet) ([]string, error) {
	orders, c, err := threeMachines(f)
	if err != nil {
		return nil, err
	}
	var mu sync.Mutex
	answers, sent := 0, 0
	for i, x := range orders {
		x.work = 300 * time.Millisecond
		if err := x.rawInstance(func(id string) string {
			mu.Lock()
			defer mu.Unlock()
			if !trouble() || i > 0 {
				return ""
			}
			if answers++; answers%extraEvery != 0 {
				return ""
			}
			sent++
			return response("", x.id, "answer of "+x.id+" to "+id)
		}); err != nil {
			return nil, err
		}
	}
	time.Sleep(stabilityWindow)
	const clients = 2
	stop, all := make(chan struct{}), make(chan map[string]answer, clients)
	for range clients {
		go func() { all <- traffic(c, stop) }()
	}
	time.Sleep(45 * time.Second)
	close(stop)
	foreign, orderCount, ok, other := 0, 0, 0, 0
	for range clients {
		for id, a := range <-all {
			switch {
			case a.err != nil || a.status != http.StatusOK:
				other++
			case strings.HasSuffix(a.body, " to "+id):
				ok++
			default:
				foreign++
				if strings.HasPrefix(a.path, "/order/") {
					orderCount++
				}
				f.note("%s (%s) got %q", id, a.path, a.body)
			}
		}
	}
	mu.Lock()
	defer mu.Unlock()
	f.note("%d requests got their own answer, %d that of another request, %d none; additional bytes were sent after %d of %d answers", ok, foreign, other, sent, answers)
	if foreign > 0 {
		return []string{fmt.Sprintf("MIXED: %d of %d successes, %d of them for orders, are the answer to another request; additional bytes were sent %d times", foreign, foreign+ok, orderCount, sent)}, nil
	}
	return nil, nil
}
