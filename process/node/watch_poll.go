package node

import (
	"context"
	"net/http"
	"time"
)

const (
	// watchedUploadBytes is the size from which the connection of an upload is watched.
	// Entries read smaller bodies at once.
	watchedUploadBytes = 64 << 10
	// watchInterval is the time between two looks at such a connection.
	watchInterval = 100 * time.Millisecond
)

// isWatchedByServer reports whether net/http watches the connection while a request runs. It
// does so only behind the body, and not while it holds a byte that it has read ahead.
func (c *limitedConn) isWatchedByServer(r *http.Request) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.holdsByte && r.ContentLength >= 0 && r.ContentLength <= watchedUploadBytes
}

// watch returns a request whose context ends when the client closes the connection, also
// where net/http does not notice that: a target may read nothing of an upload for as long as
// the request runs. The handler must be followed by stop.
func (c *limitedConn) watch(r *http.Request) (watched *http.Request, stop func()) {
	if c.isWatchedByServer(r) {
		return r, func() {}
	}
	ctx, cancel := context.WithCancel(r.Context())
	go func() {
		ticker := time.NewTicker(watchInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
			}
			if c.isEndedByPeer() {
				c.listener.memory.noteUnreadEnd()
				cancel()
			}
		}
	}()
	return r.WithContext(ctx), cancel
}
