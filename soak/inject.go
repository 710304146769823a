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
	linkDelay   = 60 * time.Millisecond
	noFaults    = `{}`
	poisonSends = 6
	viewEvery   = 150 * time.Millisecond
)

// switches are the faults that the stand-ins know themselves.
var switches = map[Kind]string{
	StoreDelay:  `{"delay_ms":400}`,
	StoreDown:   `{"outage":true}`,
	StoreRefuse: `{"refuse_appends":2,"duplicate_reads":true}`,
	StoreLose:   `{"lose_appends":2,"duplicate_reads":true}`,
	TargetFail:  `{"fail_share":0.4,"truncate_share":0.2,"wrong_digest_share":0.2}`,
	TargetHang:  `{"hang":true}`,
}

// injector carries a plan out.
type injector struct {
	f *fleet
	h *History
}

// run carries out the events of the plan at their times and waits for their ends.
func (in *injector) run(ctx context.Context) {
	var wg sync.WaitGroup
	begun := time.Now()
	for _, e := range in.h.Plan.Events {
		if e.Kind == Poison {
			continue // after the others
		}
		if !sleep(ctx, time.Until(begun.Add(e.At))) {
			break
		}
		wg.Go(func() {
			if err := in.inject(ctx, e); err != nil {
				in.h.notef("%s: %v", e, err)
			}
		})
	}
	wg.Wait()
}

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

// inject begins a fault, waits and ends it.
func (in *injector) inject(ctx context.Context, e Event) error {
	f := in.f
	n, x := f.nodes[e.Subject%len(f.nodes)], f.targets[e.Subject%len(f.targets)]
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
		defer n.proxy.Reset() // nothing but gaps may follow on the open connections
		defer n.proxy.Drop(false, false)
	case NodePause:
		return in.pause(ctx, f.of(&n.process), e.For)
	case NodeStop, NodeKill:
		return in.replaceNode(ctx, n, e)
	case TargetPause:
		return in.pause(ctx, f.of(&x.process), e.For)
	case TargetKill, TargetDrain:
		return in.replaceTarget(ctx, x, e)
	case TargetFail, TargetHang:
		return in.switchFor(ctx, "http://"+x.control, switches[e.Kind], e.For)
	case StoreDelay, StoreDown, StoreRefuse, StoreLose:
		return in.switchFor(ctx, f.logURL, switches[e.Kind], e.For)
	case StorePause:
		return in.pause(ctx, f.log, e.For)
	case Publish:
		return f.publish(ctx)
	}
	sleep(ctx, e.For)
	return nil
}

// pause stops a process for a while. It goes on also when ctx ends.
func (in *injector) pause(ctx context.Context, p *process, d time.Duration) error {
	if !p.running() {
		return errEnded
	}
	p.signal(syscall.SIGSTOP)
	defer p.signal(syscall.SIGCONT)
	sleep(ctx, d)
	return nil
}

// switchFor switches faults of a stand-in on for a while.
func (in *injector) switchFor(ctx context.Context, url, faults string, d time.Duration) error {
	if err := in.f.send(ctx, http.MethodPut, url+"/v1/faults", faults); err != nil {
		return err
	}
	sleep(ctx, d)
	return in.f.send(context.WithoutCancel(ctx), http.MethodPut, url+"/v1/faults", noFaults)
}

// replaceNode stops or kills a node and starts it again after a while.
func (in *injector) replaceNode(ctx context.Context, n *node, e Event) error {
	n.life.Lock()
	defer n.life.Unlock()
	if e.Kind == NodeKill {
		n.signal(syscall.SIGKILL)
	} else {
		s := Stop{Node: n.name, Begun: time.Now()}
		n.signal(syscall.SIGTERM)
		defer func() { in.h.edit(func() { in.h.Stops = append(in.h.Stops, s) }) }()
		if err := n.wait(ctx, patience); err != nil {
			in.h.edit(func() { in.h.Stuck = append(in.h.Stuck, err.Error()) })
			n.signal(syscall.SIGKILL)
		}
		s.Ended = time.Now()
	}
	if err := n.wait(ctx, patience); err != nil {
		return err
	}
	sleep(ctx, e.For)
	in.h.edit(func() { in.h.Starts = append(in.h.Starts, time.Now()) })
	return in.f.startNode(ctx, n)
}

// replaceTarget kills a target, or lets it leave and end, and starts it again.
func (in *injector) replaceTarget(ctx context.Context, x *targetProcess, e Event) error {
	x.life.Lock()
	defer x.life.Unlock()
	var drained error
	if e.Kind == TargetDrain {
		// It fails when the target or its node is away. The target starts again in
		// any case, since it no longer announces itself.
		drained = in.f.send(ctx, http.MethodPost, "http://"+x.control+"/v1/drain", "")
		d := Drain{Target: x.id, From: time.Now().Add(leavingAfter)}
		sleep(ctx, leavingAfter+e.For)
		if d.To = time.Now(); drained == nil {
			in.h.edit(func() { in.h.Drains = append(in.h.Drains, d) })
		}
	}
	x.signal(syscall.SIGKILL)
	if err := x.wait(ctx, patience); err != nil {
		return errors.Join(drained, err)
	}
	if e.Kind == TargetKill {
		sleep(ctx, e.For)
	}
	return errors.Join(drained, in.f.startTarget(ctx, x))
}

// poison sends a request that crashes the targets that run it, and starts those
// again.
func (in *injector) poison(ctx context.Context) error {
	text := fmt.Sprintf("poison-%d", in.h.Plan.Seed)
	for _, x := range in.f.targets {
		if err := in.f.send(ctx, http.MethodPut, "http://"+x.control+"/v1/faults", fmt.Sprintf(`{"crash_on":%q}`, text)); err != nil {
			return err
		}
	}
	n := in.f.nodes[in.h.Plan.poison().Subject]
	c := callers{f: in.f, note: func(Call) {}}
	client := &http.Client{Timeout: clientLimit}
	for range poisonSends {
		c.send(client, Call{Method: http.MethodGet, Path: "/kits?echo=" + text}, n)
	}
	for _, x := range in.f.targets {
		if x.running() {
			if err := in.f.send(ctx, http.MethodPut, "http://"+x.control+"/v1/faults", noFaults); err == nil {
				continue
			}
		}
		<-x.done
		if err := in.f.startTarget(ctx, x); err != nil {
			return err
		}
	}
	return nil
}

// watch notes what the admin listeners say until ctx ends.
func (in *injector) watch(ctx context.Context, n *node) {
	for sleep(ctx, viewEvery) {
		v := View{Node: n.name}
		var status telemetry.Status
		if in.f.get(ctx, n.admin, "/v1/status", &status) != nil || in.f.get(ctx, n.admin, "/v1/targets", &v.Targets) != nil {
			continue // the node is away
		}
		v.At, v.Incarnation, v.Version = time.Now(), status.Incarnation, status.ConfigVersion
		in.h.edit(func() { in.h.Views = append(in.h.Views, v) })
	}
}
