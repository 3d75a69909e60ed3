package soak

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cassiaspoke/cassiaspoke/platform/standin"
)

const (
	killScheduleSeed = 6                      // of draws that leave the rest of the schedule as it is
	minUnframed      = 100 * time.Millisecond // for which an endpoint sends such responses before it is killed
	maxUnframed      = 600 * time.Millisecond
	killedFor        = time.Second // until another endpoint replaces it
)

// killEndpoints lets endpoints send responses without a length and kills them meanwhile, one after the other, until a time.
func (f *fleet) killEndpoints(ctx context.Context, until time.Time) {
	rng := rand.New(rand.NewPCG(f.options.Seed, killScheduleSeed))
	for ctx.Err() == nil {
		service, d := standin.EngineService, minUnframed+time.Duration(rng.Int64N(int64(maxUnframed-minUnframed)))
		if rng.IntN(3) == 0 {
			service = standin.PlainService
		}
		fault := standin.UnframedFaults[rng.IntN(len(standin.UnframedFaults))]
		if !time.Now().Add(d + killedFor).Before(until) {
			return
		}
		e := f.drawEndpoint(service, rng)
		if e == nil {
			time.Sleep(killedFor)
			continue
		}
		f.addEvent("%s is killed after %v of responses %q", e.ID, d.Round(time.Millisecond), fault)
		e.SetFault(fault, false)
		time.Sleep(d)
		e.Kill()
		time.Sleep(killedFor)
		f.removeEndpoint(e)
		f.recordError(f.addEndpoint(e.Service))
	}
}
