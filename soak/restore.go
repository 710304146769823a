package soak

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"
)

const (
	restoreShare  = 0.25 // share of plans in which the log service is restored
	maxRestores   = 2    // in a plan
	minRestoreAge = 200 * time.Millisecond
	maxRestoreAge = 4 * time.Second
)

// addRestores adds restores of the log service from an older copy to some plans. Most
// plans have none, since customer keys that a node does not know stay unavailable
// after a restore. They have their own random source, as reloads do.
func (p *Plan) addRestores(random *rand.Rand) {
	if random.Float64() >= restoreShare {
		return
	}
	for range 1 + random.IntN(maxRestores) {
		p.Events = append(p.Events, Event{
			At: time.Duration(random.Int64N(int64(p.Faults))), Kind: StoreRestore,
			Duration: minRestoreAge + time.Duration(random.Int64N(int64(maxRestoreAge-minRestoreAge))),
		})
	}
}

// restoreLog copies the content of the log service and brings the copy back once it
// has the given age.
func (in *injector) restoreLog(ctx context.Context, age time.Duration) error {
	if err := in.fleet.sendToStandin(ctx, http.MethodPost, in.fleet.logURL+"/v1/checkpoint", ""); err != nil {
		return err
	}
	sleep(ctx, age)
	return in.fleet.sendToStandin(ctx, http.MethodPost, in.fleet.logURL+"/v1/restore", "")
}
