package soak

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/hyssopsill/hyssopsill/process/telemetry"
)

const (
	linkDelay      = 60 * time.Millisecond
	noFaults       = `{}`
	poisonRequests = 6
	viewInterval   = 150 * time.Millisecond
)

// standinFaults holds the settings of the faults that the stand-ins inject themselves.
var standinFaults = map[Kind]string{
	StoreDelay:  `{"delay_ms":400}`,
	StoreDown:   `{"outage":true}`,
	StoreRefuse: `{"refuse_appends":2,"duplicate_reads":true}`,
	StoreLose:   `{"lose_appends":2,"duplicate_reads":true}`,
	TargetFail:  `{"fail_share":0.4,"truncate_share":0.2,"wrong_digest_share":0.2}`,
	TargetHang:  `{"hang":true}`,
}

// injector injects the faults of a plan into the fleet and records what happens.
type injector struct {
	fleet   *fleet
	history *History
	load    *callers
}

// injectFaults injects the faults of the plan at their times and waits until all have
// ended.
func (in *injector) injectFaults(ctx context.Context) {
	var wg sync.WaitGroup
	startedAt := time.Now()
	for _, e := range in.history.Plan.Events {
		if e.Kind == Poison {
			continue // sent after all other faults have ended
		}
		if !sleep(ctx, time.Until(startedAt.Add(e.At))) {
			break
		}
		wg.Go(func() {
			if err := in.inject(ctx, e); err != nil {
				in.history.notef("%s: %v", e, err)
			}
		})
	}
	wg.Wait()
}

// sleep reports whether d has passed before the end of ctx.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(max(0, d))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// inject starts a fault, waits for its duration and ends it.
func (in *injector) inject(ctx context.Context, e Event) error {
	f := in.fleet
	n, target := f.nodes[e.Subject%len(f.nodes)], f.targets[e.Subject%len(f.targets)]
	switch e.Kind {
	case LinkDelay:
		n.proxy.Delay(linkDelay)
		defer n.proxy.Delay(0)
	case LinkReset:
		n.proxy.Reset()
	case LinkSilence:
		n.proxy.Silence()
	case LinkDropTo, LinkDropBack:
		n.proxy.Drop(e.Kind == LinkDropTo, e.Kind == LinkDropBack)
		defer n.proxy.Reset() // data has been lost from the open connections
		defer n.proxy.Drop(false, false)
	case NodePause:
		pause := Pause{Node: n.name, From: time.Now()}
		err := in.pause(ctx, f.current(&n.process), e.Duration)
		pause.To = time.Now()
		in.history.withLock(func() { in.history.Pauses = append(in.history.Pauses, pause) })
		return err
	case NodeStop, NodeKill:
		return in.restartNode(ctx, n, e)
	case NodeReload:
		return in.reload(ctx, n, e)
	case TargetPause:
		return in.pause(ctx, f.current(&target.process), e.Duration)
	case TargetKill, TargetDrain:
		return in.restartTarget(ctx, target, e)
	case TargetFail, TargetHang:
		return in.enableFaultsFor(ctx, "http://"+target.control, standinFaults[e.Kind], e.Duration)
	case StoreDelay, StoreDown, StoreRefuse, StoreLose:
		return in.enableFaultsFor(ctx, f.logURL, standinFaults[e.Kind], e.Duration)
	case StorePause:
		return in.pause(ctx, f.log, e.Duration)
	case StoreTurnAway:
		in.turnAway(ctx, n, e.Duration)
		return nil
	case TargetRate:
		return in.limitTarget(ctx, target, e.Duration)
	case StoreRestore:
		return in.restoreLog(ctx, e.Duration)
	case Publish:
		return f.publish(ctx)
	case KeyChange:
		return in.changeKeys(ctx, e.Duration)
	case AccountSurge:
		in.surge(ctx, e.Subject, e.Duration)
		return nil
	case HostileLines, HostileHeads, HostileSlow, HostileSilent, HostileUnread:
		in.sendCrowd(ctx, n, e.Kind, e.Duration)
		return nil
	}
	sleep(ctx, e.Duration)
	return nil
}

// pause stops a process with SIGSTOP and resumes it after d or when ctx ends.
func (in *injector) pause(ctx context.Context, p *process, d time.Duration) error {
	if !p.running() {
		return errProcessEnded
	}
	p.signal(syscall.SIGSTOP)
	defer p.signal(syscall.SIGCONT)
	sleep(ctx, d)
	return nil
}

// enableFaultsFor enables faults of a stand-in for the duration d. A request without a
// response may take effect later, so the faults are cleared in any case.
func (in *injector) enableFaultsFor(ctx context.Context, url, faults string, d time.Duration) error {
	err := in.fleet.sendToStandin(ctx, http.MethodPut, url+"/v1/faults", faults)
	if err == nil {
		sleep(ctx, d)
	}
	return errors.Join(err, in.fleet.sendToStandin(context.WithoutCancel(ctx), http.MethodPut, url+"/v1/faults", noFaults))
}

// clearFaults disables the faults of all stand-ins after the last one of the plan has
// ended. While one of them may be left, the recovery of the fleet cannot be checked.
func (in *injector) clearFaults(ctx context.Context) error {
	controls := map[string]string{"log": in.fleet.logURL}
	for _, target := range in.fleet.targets {
		controls[target.id] = "http://" + target.control
	}
	var err error
	for end := time.Now().Add(maxWait); time.Now().Before(end) && ctx.Err() == nil; time.Sleep(pollInterval) {
		for name, url := range controls {
			if err = in.fleet.sendToStandin(ctx, http.MethodPut, url+"/v1/faults", noFaults); err != nil {
				err = fmt.Errorf("soak: void run: the faults of %s may still be enabled: %w", name, err)
				break
			}
			delete(controls, name)
		}
		if len(controls) == 0 {
			return nil
		}
	}
	return err
}

// restartNode stops or kills a node and starts it again after the duration of the event.
func (in *injector) restartNode(ctx context.Context, n *node, e Event) error {
	n.restartMu.Lock()
	defer n.restartMu.Unlock()
	n.recordMemory()
	if e.Kind == NodeKill {
		n.signal(syscall.SIGKILL)
	} else {
		in.stopNode(ctx, n, e)
	}
	if err := n.wait(ctx, maxWait); err != nil {
		return err
	}
	sleep(ctx, e.Duration)
	in.history.withLock(func() { in.history.Restarts = append(in.history.Restarts, time.Now()) })
	err := in.fleet.startNode(ctx, n, e.StartReloads)
	if errors.Is(err, errProcessEnded) && len(e.StartReloads) > 0 { // SIGHUP may end it before it handles signals
		in.history.notef("%s: %v; it is started again", e, err)
		return in.fleet.startNode(ctx, n, nil)
	}
	return err
}

// stopNode stops a node with SIGTERM, with the reloads of the event around it.
func (in *injector) stopNode(ctx context.Context, n *node, e Event) {
	reloadCtx, stopReloads := context.WithCancel(ctx)
	var reloading sync.WaitGroup
	defer reloading.Wait()
	defer stopReloads()
	if len(e.Reloads) > 0 {
		stopAt := time.Now().Add(maxReloadLead)
		reloading.Go(func() { sendReloads(reloadCtx, n.process, stopAt, e.Reloads) })
		sleep(ctx, time.Until(stopAt))
	}
	stop := Stop{Node: n.name, StartedAt: time.Now()}
	n.signal(syscall.SIGTERM)
	if err := n.wait(ctx, maxWait); err != nil {
		in.history.withLock(func() { in.history.Stuck = append(in.history.Stuck, err.Error()) })
		n.signal(syscall.SIGKILL)
	}
	stop.EndedAt = time.Now()
	in.history.withLock(func() { in.history.Stops = append(in.history.Stops, stop) })
}

// restartTarget kills a target and starts it again. For TargetDrain it drains the target
// first.
func (in *injector) restartTarget(ctx context.Context, target *targetProcess, e Event) error {
	target.restartMu.Lock()
	defer target.restartMu.Unlock()
	var drainErr error
	if e.Kind == TargetDrain {
		// The request fails when the target or its node is down. The target is
		// restarted in any case, since it no longer announces itself.
		drainErr = in.fleet.sendToStandin(ctx, http.MethodPost, "http://"+target.control+"/v1/drain", "")
		drain := Drain{Target: target.id, From: time.Now().Add(leavingGrace)}
		sleep(ctx, leavingGrace+e.Duration)
		if drain.To = time.Now(); drainErr == nil {
			in.history.withLock(func() { in.history.Drains = append(in.history.Drains, drain) })
		}
	}
	target.signal(syscall.SIGKILL)
	if err := target.wait(ctx, maxWait); err != nil {
		return errors.Join(drainErr, err)
	}
	if e.Kind == TargetKill {
		sleep(ctx, e.Duration)
	}
	return errors.Join(drainErr, in.fleet.startTarget(ctx, target))
}

// sendPoison sends requests that crash the targets that run them, and starts the
// crashed targets again.
func (in *injector) sendPoison(ctx context.Context) error {
	text := fmt.Sprintf("poison-%d", in.history.Plan.Seed)
	for _, target := range in.fleet.targets {
		if err := in.fleet.sendToStandin(ctx, http.MethodPut, "http://"+target.control+"/v1/faults", fmt.Sprintf(`{"crash_on":%q}`, text)); err != nil {
			return err
		}
	}
	n := in.fleet.nodes[in.history.Plan.poisonEvent().Subject]
	sender := callers{fleet: in.fleet, record: func(Call) {}}
	client := &http.Client{Timeout: clientTimeout}
	for range poisonRequests {
		sender.send(client, Call{Caller: stableCaller, Method: http.MethodGet, Path: "/kits?echo=" + text}, n)
	}
	for _, target := range in.fleet.targets {
		if target.running() {
			if err := in.fleet.sendToStandin(ctx, http.MethodPut, "http://"+target.control+"/v1/faults", noFaults); err == nil {
				continue
			}
		}
		<-target.done
		if err := in.fleet.startTarget(ctx, target); err != nil {
			return err
		}
	}
	return nil
}

// recordViews polls the admin listener of a node and records its responses until ctx
// ends.
func (in *injector) recordViews(ctx context.Context, n *node) {
	for sleep(ctx, viewInterval) {
		v := View{Node: n.name}
		var status telemetry.Status
		if in.fleet.getJSON(ctx, n.admin, "/v1/status", &status) != nil || in.fleet.getJSON(ctx, n.admin, "/v1/targets", &v.Targets) != nil {
			continue // the node is down
		}
		v.At, v.Incarnation, v.Version = time.Now(), status.Incarnation, status.ConfigVersion
		in.history.withLock(func() { in.history.Views = append(in.history.Views, v) })
	}
}
