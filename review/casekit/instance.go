package main

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// instance is a stand-in of an application instance.
type instance struct {
	stage   *stage
	node    *node
	id      string
	born    int64
	slots   int
	server  *http.Server
	stopped chan struct{}
	// handle runs a request and writes its response. The request's head was checked.
	handle func(*instance, http.ResponseWriter, *http.Request)

	mu       sync.Mutex
	state    string
	sequence int64
}

// addInstance starts an instance beside a node.
func (n *node) addInstance(id string, handle func(*instance, http.ResponseWriter, *http.Request)) *instance {
	listener, err := net.Listen("tcp", n.address(appPort))
	if err != nil {
		n.stage.fail("instance %s: %v", id, err)
	}
	in := &instance{stage: n.stage, node: n, id: id, born: time.Now().UnixMilli(), slots: 5, state: "ready", handle: handle, stopped: make(chan struct{})}
	in.server = &http.Server{Handler: http.HandlerFunc(in.serve)}
	go func() { _ = in.server.Serve(listener) }()
	go in.beat()
	n.stage.note("instance %s of %s starts at %s", id, n.service, n.address(appPort))
	return in
}

const heartbeatInterval = 1500 * time.Millisecond

func (in *instance) beat() {
	for {
		_ = in.heartbeat() // repeated at the next interval
		select {
		case <-in.stopped:
			return
		case <-time.After(heartbeatInterval):
		}
	}
}

// message returns the next heartbeat.
func (in *instance) message() []byte {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.sequence++
	body, _ := json.Marshal(map[string]any{ // always marshals
		"address": in.node.address(appPort), "born": in.born,
		"info":   map[string]any{"service": in.node.service, "version": "v1", "zone": in.node.zone, "slots": in.slots},
		"status": map[string]any{"state": in.state, "sequence": in.sequence, wire.Cold: 0},
	})
	return body
}

func (in *instance) heartbeat() error { return in.tell("Heartbeat", in.message()) }

// deregister leaves. The message names the start of the instance.
func (in *instance) deregister() error {
	return in.tell("Deregister", fmt.Appendf(nil, `{"born":%d}`, in.born))
}

// tell calls the node beside the instance. It fails unless the call is acknowledged.
func (in *instance) tell(what string, body []byte) error {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Post("http://"+in.node.address(controlPort)+wire.InstanceCalls+what+"/"+in.id, "application/json", bytes.NewReader(body))
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode/100 != 2 {
		text, _ := io.ReadAll(response.Body)
		return fmt.Errorf("status %d: %s", response.StatusCode, text)
	}
	return nil
}

func (in *instance) serve(w http.ResponseWriter, r *http.Request) {
	in.mu.Lock()
	leaving := in.state == "draining"
	in.mu.Unlock()
	if leaving {
		w.Header().Set("Connection", "close")
	}
	if r.URL.Path == "/health" {
		w.Header().Set(wire.Instance, in.id)
		if leaving {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	id := r.Header.Get(wire.RequestID)
	w.Header().Set(wire.RequestID, id)
	if target := r.Header.Get(wire.Target); target != "" && target != in.id {
		w.Header().Set(wire.Instance, in.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.Header().Set(wire.Signature, "sig."+in.id+"."+id)
	in.handle(in, w, r)
}

// stop ends the instance at once.
func (in *instance) stop() {
	close(in.stopped)
	_ = in.server.Close()
	in.stage.note("instance %s ends", in.id)
}

func digest(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:8])
}
