package fleet

import (
	"context"
	"slices"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/cassiaspoke/cassiaspoke/internal/core/loading"
	"github.com/cassiaspoke/cassiaspoke/internal/platform"
)

// Engines tells what the engines of a pool report and sends them commands.
type Engines interface {
	Observe(ctx context.Context, pool string) ([]loading.Engine, error)
	Command(ctx context.Context, c loading.Command) error
}

// LoaderSettings are the constants of a loader.
type LoaderSettings struct {
	Pool    loading.Pool
	Limits  loading.Limits
	Observe time.Duration // between observations
}

// Loader brings the engines of a pool to the wanted versions while it holds the lease.
type Loader struct {
	s       LoaderSettings
	engines Engines
	weights platform.WeightStore
	desire  func(engines int) []loading.Want
	log     *zap.Logger
	scope   tally.Scope
}

// NewLoader returns a loader; desire is asked before every plan.
func NewLoader(s LoaderSettings, e Engines, w platform.WeightStore, desire func(engines int) []loading.Want,
	log *zap.Logger, scope tally.Scope,
) *Loader {
	return &Loader{s: s, engines: e, weights: w, desire: desire, log: log, scope: scope}
}

// Run is the work of Keeper.Hold: it resumes from what the engines report, whatever an earlier holder left undone.
func (l *Loader) Run(ctx context.Context, g *Grant) error {
	p := loading.NewPlanner(l.s.Limits)
	for ctx.Err() == nil {
		for _, c := range l.plan(ctx, p, g) {
			if !l.carryOut(ctx, p, g, c) {
				break
			}
		}
		sleep(ctx, l.s.Observe)
	}
	return ctx.Err()
}

func (l *Loader) plan(ctx context.Context, p *loading.Planner, g *Grant) []loading.Command {
	engines, err := l.engines.Observe(ctx, l.s.Pool.Name)
	if err != nil {
		l.log.Warn("fleet: Engines could not be observed.", zap.String("pool", l.s.Pool.Name), zap.Error(err))
		return nil
	}
	return p.Plan(time.Now(), l.desire(len(engines)), l.s.Pool, engines, g.Token)
}

// carryOut sends a command and reports whether the plan it came from is still good.
func (l *Loader) carryOut(ctx context.Context, p *loading.Planner, g *Grant, c loading.Command) bool {
	if c.Kind == loading.Load {
		wait, err := l.weights.Reserve(ctx, c.Version)
		if err != nil {
			l.scope.Counter("weight-store-errors").Inc(1)
			return false
		}
		if wait > 0 {
			sleep(ctx, wait)
			// The world went on meanwhile: send only what a fresh plan still wants.
			if !slices.Contains(l.plan(ctx, p, g), c) {
				return false
			}
		}
	}
	if !g.Acts() {
		return false
	}
	err := l.engines.Command(ctx, c)
	p.Sent(time.Now(), c) // a failed command may have taken effect; the next reports tell
	l.scope.Tagged(map[string]string{"kind": string(c.Kind)}).Counter("engine-commands").Inc(1)
	if err != nil {
		l.log.Warn("fleet: Engine took no command.", zap.String("engine", c.Engine), zap.String("kind", string(c.Kind)),
			zap.String("version", c.Version), zap.Error(err))
		return false
	}
	return true
}
