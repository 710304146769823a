package node

import (
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/hyssopsill/hyssopsill/connection/health"
	"github.com/hyssopsill/hyssopsill/request/attempt"
	"github.com/hyssopsill/hyssopsill/request/poison"
	"github.com/hyssopsill/hyssopsill/version/distribute"
	"github.com/hyssopsill/hyssopsill/version/membership"
)

func sampleReports() reports {
	at := time.UnixMicro(1764800000000000).UTC()
	return reports{
		health: []health.Report{{From: "n1", Target: "t1@n2", Incarnation: attempt.Incarnation{StartedMS: 5, Random: 7}, Suspicion: 1, At: at}},
		poison: poison.Reports{
			Requests: []poison.Report{{Node: "n1", Digest: 99, Until: at, Cleared: at, Running: []string{"t3@n1"},
				Crashes: []poison.CrashRecord{{Target: "t1@n2", Started: at, At: at}}}},
			Shared: []poison.Report{{Node: "n1", Digest: 98, Until: at, Running: []string{"t3@n1"},
				Crashes: []poison.CrashRecord{{Target: "t1@n2", Started: at, At: at, Request: 99}, {Target: "t2@n2", Started: at, At: at, Request: 97}}}},
		},
		demand: map[uint32]float32{serviceHash("shop"): 12.5},
		access: distribute.AccessLost,
	}
}

// Guards against an encoding that loses or changes parts of reports, or exceeds
// its limit.
func TestReportsRoundTrip(t *testing.T) {
	want := sampleReports()
	got, err := decodeReports("n1", want.health[0].At, encodeReports(want, 1024))
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, %v, want %+v", got, err, want)
	}
	if n := len(encodeReports(want, 50)); n > 50 {
		t.Errorf("encoding has %d bytes, bound is 50", n)
	}
}

// Guards against a crash that the other nodes do not learn of, since reports of earlier
// crashes and successes fill the space.
func TestNewCrashIsReportedFirst(t *testing.T) {
	start := time.UnixMicro(1764800000000000).UTC()
	var r reports
	for i := range 100 {
		at := start.Add(time.Duration(i) * time.Second)
		report := poison.Report{Node: "n1", Digest: poison.RequestDigest(i + 1), Cleared: at}
		if i%2 == 0 {
			report = poison.Report{Node: "n1", Digest: poison.RequestDigest(i + 1), Crashes: []poison.CrashRecord{{Target: "t1@n1", Started: at, At: at}}}
		}
		r.poison.Requests = append(r.poison.Requests, report)
	}
	const newest = poison.RequestDigest(99)
	got, err := decodeReports("n1", start, encodeReports(r, membership.MaxReports))
	if err != nil {
		t.Fatal(err)
	}
	if len(got.poison.Requests) == 0 || got.poison.Requests[0].Digest != newest {
		t.Errorf("got %d of %d reports, want that of the newest crash first", len(got.poison.Requests), len(r.poison.Requests))
	}
}

// Guards against malformed reports of a peer that panic or have an effect.
func TestMalformedReports(t *testing.T) {
	encoded := encodeReports(sampleReports(), 1024)
	if got, err := decodeReports("n1", time.Now(), encoded[:len(encoded)-1]); err == nil || got.health != nil {
		t.Errorf("truncated: got %+v, %v", got, err)
	}
	rapid.Check(t, func(t *rapid.T) {
		data := append([]byte{reportsFormat}, rapid.SliceOfN(rapid.Byte(), 0, 200).Draw(t, "data")...)
		_, _ = decodeReports("n1", time.Now(), data) // must not panic
	})
}
