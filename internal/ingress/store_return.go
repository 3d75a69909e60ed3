package ingress

import (
	"go.uber.org/zap"

	"github.com/cassiaspoke/cassiaspoke/internal/changefeed"
)

// noteReturn logs and counts that the store has come back from an older copy, as seen by a topic.
func noteReturn(o Options, topic string, u changefeed.Update, fields ...zap.Field) {
	o.Logger.Warn("store: Came back from an older copy.", append(fields, zap.String("topic", topic), zap.Stringer("before", u.Return.From),
		zap.Stringer("next", u.Next), zap.Int("records", len(u.Records)), zap.String("from", u.Evidence.Origin))...)
	if o.MetricsScope != nil {
		o.MetricsScope.Tagged(map[string]string{"topic": topic}).Counter("store_returns").Inc(1)
	}
}
