package poison

import "time"

// Request identifies a request by two digests.
type Request struct {
	Digest RequestDigest // with its caller; 0 when unknown, and the request is not tracked
	Shared RequestDigest // without its caller; 0 when unknown
}

// Reports holds what nodes know about digests of both kinds, for gossip.
type Reports struct {
	Requests []Report // by Request.Digest
	Shared   []Report // by Request.Shared
}

// CrashReports returns the reports of a node about a crash at which a request was in
// flight. CrashRecord.Request is set where it is needed.
func CrashReports(node string, r Request, crash CrashRecord) Reports {
	reports := Reports{Requests: []Report{{Node: node, Digest: r.Digest, Crashes: []CrashRecord{crash}}}}
	if r.Shared != 0 {
		crash.Request = r.Digest
		reports.Shared = []Report{{Node: node, Digest: r.Shared, Crashes: []CrashRecord{crash}}}
	}
	return reports
}

// RequestTracker tracks requests by both digests. A request of one caller is
// quarantined by its own crashes, whatever becomes of equal requests of other callers;
// equal requests of all callers are quarantined when those of different callers crash
// targets. It is not safe for concurrent use.
type RequestTracker struct {
	requests, shared *Tracker
}

// NewRequestTracker returns an empty RequestTracker.
func NewRequestTracker(opts Options) *RequestTracker {
	requests, shared := opts, opts
	shared.acrossRequests = true
	return &RequestTracker{requests: New(requests), shared: New(shared)}
}

// Start decides whether a copy of the request may start at target. After Run the
// caller reports the end of the copy by Finish, or by Crash for the whole target.
func (t *RequestTracker) Start(now time.Time, r Request, target string) Decision {
	if r.Digest == 0 {
		return Run
	}
	if decision := t.requests.decide(now, r.Digest, target); decision != Run {
		return decision
	}
	if r.Shared != 0 {
		if decision := t.shared.Start(now, r.Shared, target); decision != Run {
			return decision
		}
	}
	t.requests.addCopy(now, r.Digest, target)
	return Run
}

// Quarantined reports whether the request is quarantined now.
func (t *RequestTracker) Quarantined(now time.Time, r Request) bool {
	return t.requests.Quarantined(now, r.Digest) || t.shared.Quarantined(now, r.Shared)
}

// Finish records the end of a copy without a crash. A complete response (ok) speaks for
// the request itself and against a fault that all callers share.
func (t *RequestTracker) Finish(now time.Time, r Request, target string, ok bool) {
	if r.Digest == 0 {
		return
	}
	t.requests.Finish(now, r.Digest, target, ok)
	if r.Shared != 0 {
		t.shared.Finish(now, r.Shared, target, ok)
	}
}

// Crash records that target crashed with the given requests in flight, one item per
// copy. See Tracker.Crash.
func (t *RequestTracker) Crash(now time.Time, target string, inFlight []Request) []Change {
	var changes []Change
	digests := make([]RequestDigest, 0, len(inFlight))
	seen := map[RequestDigest]bool{}
	for _, r := range inFlight {
		if r.Digest == 0 || seen[r.Digest] {
			continue
		}
		seen[r.Digest] = true
		digests = append(digests, r.Digest)
		if r.Shared != 0 {
			crash := CrashRecord{Target: target, At: now, Started: t.requests.lastStart(r.Digest, target), Request: r.Digest}
			changes = append(changes, markShared(t.shared.addCrash(now, r.Shared, crash))...)
		}
	}
	for _, r := range inFlight {
		t.shared.removeCopies(r.Shared, target)
	}
	return append(changes, t.requests.Crash(now, target, digests)...)
}

// Merge applies the reports of other nodes. See Tracker.Merge.
func (t *RequestTracker) Merge(now time.Time, reports Reports) []Change {
	return append(t.requests.Merge(now, reports.Requests), markShared(t.shared.Merge(now, reports.Shared))...)
}

func markShared(changes []Change) []Change {
	for i := range changes {
		changes[i].Shared = true
	}
	return changes
}

// Reports returns what this node knows, for gossip.
func (t *RequestTracker) Reports(now time.Time) Reports {
	return Reports{Requests: t.requests.Reports(now), Shared: t.shared.Reports(now)}
}
