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

// EnginePool observes the engines of a pool and sends them commands.
type EnginePool interface {
	// ObserveEngines returns the latest reports of the pool's engines.
	ObserveEngines(ctx context.Context, pool string) ([]loading.Engine, error)
	// SendCommand sends a command to an engine. A command that failed may have taken effect.
	SendCommand(ctx context.Context, c loading.Command) error
}

// LoaderSettings configures a Loader.
type LoaderSettings struct {
	Pool            loading.Pool
	Limits          loading.Limits
	ObserveInterval time.Duration
}

// Loader makes the engines of a pool load the desired versions while its instance holds the lease.
type Loader struct {
	settings LoaderSettings
	engines  EnginePool
	weights  platform.WeightStore
	desire   func(engines int) []loading.DesiredVersion
	logger   *zap.Logger
	scope    tally.Scope
}

// NewLoader returns a loader. It calls desire before every plan with the number of engines in the pool.
func NewLoader(s LoaderSettings, e EnginePool, w platform.WeightStore, desire func(engines int) []loading.DesiredVersion,
	logger *zap.Logger, scope tally.Scope,
) *Loader {
	return &Loader{settings: s, engines: e, weights: w, desire: desire, logger: logger, scope: scope}
}

// LoadVersions sends commands to the engines until the context ends. Pass it as the work of LeaseKeeper.HoldLease. It
// plans from the reports of the engines only, so it also completes what an earlier holder of the lease left unfinished.
func (l *Loader) LoadVersions(ctx context.Context, h *HeldLease) error {
	p := loading.NewPlanner(l.settings.Limits)
	for ctx.Err() == nil {
		for _, c := range l.planCommands(ctx, p, h) {
			if !l.executeCommand(ctx, p, h, c) {
				break
			}
		}
		sleep(ctx, l.settings.ObserveInterval)
	}
	return ctx.Err()
}

// planCommands observes the engines and returns the commands that they need now.
func (l *Loader) planCommands(ctx context.Context, p *loading.Planner, h *HeldLease) []loading.Command {
	engines, err := l.engines.ObserveEngines(ctx, l.settings.Pool.Name)
	if err != nil {
		l.logger.Warn("fleet: The engines of the pool could not be observed.", zap.String("pool", l.settings.Pool.Name), zap.Error(err))
		return nil
	}
	return p.Plan(time.Now(), l.desire(len(engines)), l.settings.Pool, engines, h.Token)
}

// executeCommand sends a command. It reports whether the remaining commands of the plan may be sent.
func (l *Loader) executeCommand(ctx context.Context, p *loading.Planner, h *HeldLease, c loading.Command) bool {
	if c.Kind == loading.Load {
		delay, err := l.weights.Reserve(ctx, c.Version)
		if err != nil {
			l.scope.Counter("weight-store-errors").Inc(1)
			return false
		}
		if delay > 0 {
			sleep(ctx, delay)
			// The engines may have changed during the wait, so the command must still be in a new plan.
			if !slices.Contains(l.planCommands(ctx, p, h), c) {
				return false
			}
		}
	}
	if !h.Valid() {
		return false
	}
	err := l.engines.SendCommand(ctx, c)
	p.MarkSent(time.Now(), c) // a failed command may have taken effect, which the next reports show
	l.scope.Tagged(map[string]string{"kind": string(c.Kind)}).Counter("engine-commands").Inc(1)
	if err != nil {
		l.logger.Warn("fleet: The command to the engine failed.", zap.String("engine", c.Engine), zap.String("kind", string(c.Kind)),
			zap.String("version", c.Version), zap.Error(err))
		return false
	}
	return true
}
