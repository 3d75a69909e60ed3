package relay

import (
	"time"

	"github.com/uber-go/tally/v4"
)

// metrics records how late the records of other instances come and how often the store is read instead.
type metrics struct {
	confirmTime tally.Histogram // duration of the calls by which a seed confirms its records
	lateReports tally.Counter   // reports whose loads came too late to be used
	scope       tally.Scope
}

func newMetrics(s tally.Scope) *metrics {
	return &metrics{
		confirmTime: s.Histogram("relay_confirmation_time", tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 12)),
		lateReports: s.Counter("relay_late_reports"),
		scope:       s,
	}
}

// topicScope returns the scope for the metrics of one topic.
func (m *metrics) topicScope(topic string) tally.Scope {
	return m.scope.Tagged(map[string]string{"topic": topic})
}
