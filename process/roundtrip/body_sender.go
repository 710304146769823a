package roundtrip

import (
	"bytes"
	"context"
	"io"
	"time"
)

// bodySender sends a request with a streamed body while the response is read.
type bodySender struct {
	done            chan struct{}
	interruptSource func() // makes a read of the source return
	source          *bodySource
	err             error
	sourceFailed    bool // the body could not be read
}

const (
	// senderEndTimeout is how long a bodySender may take to end after its connection was
	// closed, or after the whole of a response that rejects the request has arrived.
	senderEndTimeout = 5 * time.Millisecond
	// maxSenderStall is how long a bodySender may make no progress after the whole response
	// has arrived. The peer may turn to the rest later, and a slow one takes bytes only once
	// a large part of its receive buffer is free.
	maxSenderStall = 3 * time.Second
	// senderPollInterval is the time between two looks at a bodySender meanwhile.
	senderPollInterval = 10 * time.Millisecond
)

// wait reports whether the sender ends within d.
func (s *bodySender) wait(d time.Duration) bool {
	select {
	case <-s.done:
		return true
	default:
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-s.done:
		return true
	case <-timer.C:
		return false
	}
}

// awaitEnd waits for the sender after the whole response has arrived, as long as it makes
// progress and the peer, which may read on, has not closed the connection.
func (s *bodySender) awaitEnd(ctx context.Context, cn *conn) {
	ticker := time.NewTicker(senderPollInterval)
	defer ticker.Stop()
	moved, stallEnd := s.bytesMoved(cn), stallEndFrom(ctx, time.Now())
	for {
		select {
		case <-s.done:
			return
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			if n := s.bytesMoved(cn); n != moved {
				moved, stallEnd = n, stallEndFrom(ctx, now)
			}
			if now.After(stallEnd) || cn.isClosedByPeer() {
				return
			}
		}
	}
}

// stallEndFrom returns when a sender has made no progress for too long. At most half of the
// time until the deadline passes, so that the response still arrives in time.
func stallEndFrom(ctx context.Context, now time.Time) time.Time {
	stall := maxSenderStall
	if deadline, ok := ctx.Deadline(); ok {
		stall = min(stall, deadline.Sub(now)/2)
	}
	return now.Add(stall)
}

// bytesMoved counts the bytes that came from the source and those that were sent. Either
// may arrive in small parts, while the others gather in the write buffer.
func (s *bodySender) bytesMoved(cn *conn) int64 {
	return s.source.bytesRead.Load() + cn.bytesSent.Load()
}

// stopAndWait waits for the sender after its connection was closed. It interrupts
// the source if the sender does not end by itself.
func (s *bodySender) stopAndWait() {
	if s.wait(senderEndTimeout) {
		return
	}
	if s.interruptSource != nil {
		s.interruptSource()
	}
	<-s.done
}

func startBodySender(cn *conn, req *Request) *bodySender {
	streamed := &bodySource{Reader: req.Body, remaining: -1}
	if req.Length >= 0 {
		streamed.remaining = req.Length - int64(len(req.Prefix))
	}
	sender := &bodySender{done: make(chan struct{}), interruptSource: req.InterruptBody, source: streamed}
	go func() {
		defer close(sender.done)
		sender.err = cn.send(req, io.MultiReader(bytes.NewReader(req.Prefix), streamed))
		sender.sourceFailed = sender.err != nil && streamed.failed
		if sender.sourceFailed {
			cn.interrupt() // the peer can never receive the whole request
		}
	}()
	return sender
}
