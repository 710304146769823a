package quota

import (
	"testing"
	"time"

	"github.com/hyssopsill/hyssopsill/request/attempt"
)

// Guards against an owner that no other node responds to, but to which others report: it
// gave out the part of one node of 108, so that an account of 5/s which sent 0.5/s got a
// share of 0. Also guards against an owner without reports that gives out more than its part.
func TestIsolatedOwnerWithReportsIsNotAlone(t *testing.T) {
	limit := Limit{Rate: 5, Burst: 5}
	for _, reporter := range []string{"other", "owner"} {
		l := NewLedger(LedgerOptions{Node: "owner", Bounds: Bounds{Window: DefaultWindow, Overage: DefaultOverage, Slack: DefaultSlack}})
		now, share := time.Unix(1000, 0), 1.0
		for i := range 40 {
			now = now.Add(ReportInterval * 10)
			l.SetReachable(now, 100, 108, true)
			report := Report{Entry: reporter, Incarnation: attempt.Incarnation{StartedMS: 1, Random: 1}, Accounts: []AccountReport{{Account: "a", Counts: Counts{Admitted: int64(i + 1)}}}}
			for _, v := range l.Report(now, report, func(string) Limit { return limit }).Verdicts {
				share = v.Share
			}
		}
		if alone := reporter == "owner"; alone != (share < 1) {
			t.Errorf("reports of %q: share %.2f for a fifth of the limit", reporter, share)
		}
	}
}
