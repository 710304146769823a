package target

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"
)

// ErrAnnounce reports that the node did not accept an announcement.
var ErrAnnounce = errors.New("announcement refused")

// Serve announces the target and renews the announcement until ctx ends. It does
// not announce a draining target.
func (t *Target) Serve(ctx context.Context) error {
	ticker := time.NewTicker(t.options.TTL / 3)
	defer ticker.Stop()
	for {
		t.mu.Lock()
		leaving := t.leaving
		t.mu.Unlock()
		if !leaving {
			_ = t.Announce(ctx) // the next tick announces again
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// Announce announces the target once.
func (t *Target) Announce(ctx context.Context) error {
	t.mu.Lock()
	incarnation := t.incarnation.String()
	t.mu.Unlock()
	body, err := json.Marshal(map[string]any{
		"service": t.options.Service, "address": t.options.Address, "slots": t.options.Slots, "ttl_ms": t.options.TTL.Milliseconds(),
		"incarnation": incarnation, "health_url": "http://" + t.options.Address + "/healthz",
	})
	if err != nil {
		return err
	}
	_, err = t.callNode(ctx, http.MethodPut, body)
	return err
}

// Drain withdraws the target's announcement at its node, stops the renewals and
// returns the node's response.
func (t *Target) Drain(ctx context.Context) (map[string]any, error) {
	t.mu.Lock()
	t.leaving = true
	t.mu.Unlock()
	data, err := t.callNode(ctx, http.MethodDelete, nil)
	if err != nil {
		return nil, err
	}
	var status map[string]any
	err = json.Unmarshal(data, &status)
	return status, err
}

// callNode sends a request about the target to the node's announce listener and
// returns the response body.
func (t *Target) callNode(ctx context.Context, method string, body []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, t.options.Node+"/v1/targets/"+t.options.ID, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, 1<<20))
	if err == nil && resp.StatusCode != http.StatusOK {
		err = fmt.Errorf("%w: %s: %s", ErrAnnounce, resp.Status, data)
	}
	return data, err
}
