package gate

import (
	"errors"
	"net"
	"syscall"
	"time"

	"github.com/hyssopsill/hyssopsill/request/poison"
)

const (
	// crashDialTimeout bounds one dial that finds out whether a target still
	// accepts connections.
	crashDialTimeout = 200 * time.Millisecond
	// crashDialBackoff is the delay after the first dial; it doubles with each
	// further one. A dying process accepts connections until its listener is closed.
	crashDialBackoff = 20 * time.Millisecond
	// foregroundCrashDials is the number of dials while the exchange waits. The last
	// delay is 40 ms, the sum 60 ms.
	foregroundCrashDials = 2
	// maxCrashDials is the number of dials in the background, and in the foreground
	// when the request must not reach another target before it is known whether
	// this one crashed. They take 1.3 s.
	maxCrashDials = 6
)

// handleBrokenConnection records a broken connection and reports whether the target
// is known to have crashed. If that stays unknown, background dials follow, and a later
// announcement of a new incarnation can still reveal the crash.
func (e *exchange) handleBrokenConnection(address string) bool {
	e.gate.mu.Lock()
	crashed := e.target.crashes != e.crashesAtStart
	if !crashed {
		e.target.addBrokenExchange(e.gate.now(), e.poison)
	}
	e.gate.mu.Unlock()
	if crashed {
		return true
	}
	dials := foregroundCrashDials
	if e.retry { // it may be the second target that the request crashes
		e.release()
		dials = maxCrashDials
	}
	refused, conclusive := refusesConnections(dialTarget(address), dials)
	if refused {
		e.markDown()
		return true
	}
	if !conclusive && !e.retry {
		e.watchForCrash(address)
	}
	e.gate.mu.Lock()
	defer e.gate.mu.Unlock()
	return e.target.crashes != e.crashesAtStart
}

// dialTarget returns a function that opens a connection to address and closes it.
func dialTarget(address string) func() error {
	return func() error {
		conn, err := net.DialTimeout("tcp", address, crashDialTimeout)
		if err == nil {
			_ = conn.Close()
		}
		return err
	}
}

// refusesConnections dials until a dial fails or all dials are used up. conclusive
// is false when further dials may still find that the target crashed. A dial that is
// reset proves nothing: a dying process resets the connections in its backlog before
// its address refuses new ones.
func refusesConnections(dial func() error, dials int) (refused, conclusive bool) {
	for i := range dials {
		if err := dial(); err != nil && !errors.Is(err, syscall.ECONNRESET) {
			return errors.Is(err, syscall.ECONNREFUSED), true
		}
		time.Sleep(crashDialBackoff << i)
	}
	return false, false
}

// watchForCrash dials the target in the background to detect a crash. Only one watch
// runs for each target.
func (e *exchange) watchForCrash(address string) {
	e.gate.mu.Lock()
	defer e.gate.mu.Unlock()
	if e.target.watchingForCrash {
		return
	}
	e.target.watchingForCrash = true
	go func() {
		refused, _ := refusesConnections(dialTarget(address), maxCrashDials)
		e.gate.mu.Lock()
		e.target.watchingForCrash = false
		unchanged := e.gate.targets[e.targetID] == e.target && e.target.crashes == e.crashesAtStart
		e.gate.mu.Unlock()
		if refused && unchanged {
			e.markDown()
		}
	}()
}

// markDown takes a target that refuses connections out of use.
func (e *exchange) markDown() {
	e.gate.mu.Lock()
	var changes []poison.Change
	marked := false
	if t := e.gate.targets[e.targetID]; t != nil && !t.down {
		changes, marked = e.gate.setTargetDown(e.gate.now(), t), true
	}
	e.gate.mu.Unlock()
	e.gate.reportPoisonChanges(changes)
	if marked {
		e.gate.log.Warn().Msgf("gate: target %s refuses connections", e.targetID)
		e.gate.options.OnTargetsChanged()
	}
}
