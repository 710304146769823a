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
	// uploadWatchInterval is the time between two looks at such a connection.
	uploadWatchInterval = 100 * time.Millisecond
)

// watchUpload returns a request whose context ends, too, when the client closes the
// connection before a large body was read: net/http only watches the connection behind it,
// and a target may read nothing for as long as the request runs. The handler must be
// followed by stop.
func (c *limitedConn) watchUpload(r *http.Request) (watched *http.Request, stop func()) {
	if r.ContentLength >= 0 && r.ContentLength <= watchedUploadBytes {
		return r, func() {}
	}
	ctx, cancel := context.WithCancel(r.Context())
	go func() {
		ticker := time.NewTicker(uploadWatchInterval)
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
