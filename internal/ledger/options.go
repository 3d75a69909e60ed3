package ledger

import (
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/cassiaspoke/cassiaspoke/internal/platform"
)

// Recorder writes events to the timeline; fields alternates between names and values.
type Recorder interface {
	Event(name string, fields ...string)
}

// Options holds the dependencies that claimers, billers and wallets share; Log and Instance are required.
type Options struct {
	Log      platform.Log
	Instance string
	Now      func() time.Time
	Logger   *zap.Logger
	Scope    tally.Scope
	Recorder Recorder
	OnReturn func() // called by a wallet when the log has returned from an older copy; may be nil
}

type noRecorder struct{}

func (noRecorder) Event(string, ...string) {}

func (o Options) withDefaults() Options {
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Logger == nil {
		o.Logger = zap.NewNop()
	}
	if o.Scope == nil {
		o.Scope = tally.NoopScope
	}
	if o.Recorder == nil {
		o.Recorder = noRecorder{}
	}
	o.Scope = o.Scope.SubScope("ledger")
	return o
}
