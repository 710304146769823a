package gate

import (
	"errors"
	"net"
	"syscall"
	"time"

	"github.com/hyssopsill/hyssopsill/request/poison"
)

const (
	// crashDial is the time to find out whether a target still accepts
	// connections.
	crashDial = 200 * time.Millisecond
	// crashPoll is the pause before the second dial; it doubles with each
	// further one. A process that is ending accepts connections until its
	// listener is closed.
	crashPoll = 20 * time.Millisecond
	// crashDials are made while the exchange waits: 40 ms.
	crashDials = 2
	// watchDials are made when the request must not reach another target before
	// the fate of this one is known, and otherwise in the background: 1.3 s.
	watchDials = 6
)

// connectionBroke notes a broken connection and reports whether the target is
// known to have gone down. When it is not, the target is watched a little
// longer, and a later announcement of a new incarnation tells.
func (x *exchange) connectionBroke(address string) bool {
	x.g.mu.Lock()
	gone := x.t.crashes != x.crashes
	if !gone {
		x.t.addBroken(x.g.now(), x.digest)
	}
	x.g.mu.Unlock()
	if gone {
		return true
	}
	dials := crashDials
	if x.repeat { // it may be the second target that the request takes down
		x.release()
		dials = watchDials
	}
	refused, known := refusesConnections(address, dials)
	if refused {
		x.markDown()
		return true
	}
	if !known && !x.repeat {
		x.watch(address)
	}
	x.g.mu.Lock()
	defer x.g.mu.Unlock()
	return x.t.crashes != x.crashes
}

// refusesConnections dials until the target refuses or all dials are used up.
// known is false when further dials may still find that it went down.
func refusesConnections(address string, dials int) (refused, known bool) {
	for i := range dials {
		conn, err := net.DialTimeout("tcp", address, crashDial)
		if err != nil {
			return errors.Is(err, syscall.ECONNREFUSED), true
		}
		_ = conn.Close()
		time.Sleep(crashPoll << i)
	}
	return false, false
}

// watch looks in the background whether the target goes down, once at a time for
// each target.
func (x *exchange) watch(address string) {
	x.g.mu.Lock()
	defer x.g.mu.Unlock()
	if x.t.watched {
		return
	}
	x.t.watched = true
	go func() {
		refused, _ := refusesConnections(address, watchDials)
		x.g.mu.Lock()
		x.t.watched = false
		same := x.g.targets[x.target] == x.t && x.t.crashes == x.crashes
		x.g.mu.Unlock()
		if refused && same {
			x.markDown()
		}
	}()
}

// markDown notes that the target refuses connections.
func (x *exchange) markDown() {
	x.g.mu.Lock()
	var changes []poison.Change
	down := false
	if t := x.g.targets[x.target]; t != nil && !t.down {
		changes, down = x.g.targetDown(x.g.now(), t), true
	}
	x.g.mu.Unlock()
	x.g.poisonChanged(changes)
	if down {
		x.g.log.Warn().Msgf("gate: target %s refuses connections", x.target)
		x.g.o.OnTargetsChanged()
	}
}
