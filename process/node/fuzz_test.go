package node

import (
	"testing"
	"time"

	"github.com/hyssopsill/hyssopsill/connection/health"
)

// Guards against reports of another node that end the process.
func FuzzDecodeReports(f *testing.F) {
	f.Add(encodeReports(reports{health: []health.Report{{Target: "t1@n2", Suspicion: 0.5}}, demand: map[uint32]float32{7: 12}}, 1<<10))
	f.Add([]byte{reportsFormat, partPoison, 0xff})
	f.Fuzz(func(_ *testing.T, data []byte) {
		_, _ = decodeReports("n2", time.Unix(1_800_000_000, 0), data) // an error is logged and counted
	})
}
