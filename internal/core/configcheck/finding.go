package configcheck

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/cassiaspoke/cassiaspoke/pkg/record"
)

// Rule names the kind of a finding.
type Rule string

// Rules of findings.
const (
	RuleRefused          Rule = "refused"           // an instance refuses the configuration
	RuleNoEffect         Rule = "no-effect"         // instances ignore the whole text
	RuleShadowedRoute    Rule = "shadowed-route"    // another route gets all requests of this one
	RuleDuplicateRoute   Rule = "duplicate-route"   // an earlier route has the same host and prefix
	RuleDuplicateName    Rule = "duplicate-name"    // two entries have the same name
	RuleNoKey            Rule = "no-key"            // an organisation can't authenticate
	RuleSharedKey        Rule = "shared-key"        // two organisations hold a key
	RuleUnknownModel     Rule = "unknown-model"     // no service or version has the model
	RuleUnknownProfile   Rule = "unknown-profile"   // an organisation names a profile that doesn't exist
	RuleUnusedService    Rule = "unused-service"    // no route sends to the service
	RuleUnknownService   Rule = "unknown-service"   // a share goes to a service that doesn't exist
	RuleZeroWeight       Rule = "zero-weight"       // a share or all weights are 0
	RuleObjective        Rule = "objective"         // an objective is above the time-out
	RuleColdStart        Rule = "cold-start"        // a duration without a rate, or the reverse
	RuleQuota            Rule = "quota"             // a limit doesn't cover the smallest request
	RuleDeadline         Rule = "deadline"          // a deadline is below the engines' first-token time-out
	RuleMaxCost          Rule = "max-cost"          // max-cost doesn't cover the cheapest allowed version
	RuleUnreachablePaths Rule = "unreachable-paths" // no request has a path with the route's prefix
)

// Finding is one problem of a configuration. Path names the field at fault, such as "routes[1].prefix".
type Finding struct {
	Rule    Rule
	Path    string
	Message string
}

// Effect classifies a difference by what it changes for callers.
type Effect string

// Effects, in the order in which differences are listed.
const (
	EffectRemoval  Effect = "removal"
	EffectRouting  Effect = "routing"
	EffectLimit    Effect = "limit"
	EffectAddition Effect = "addition"
)

var effectOrder = []Effect{EffectRemoval, EffectRouting, EffectLimit, EffectAddition}

// Difference is one difference between two configurations.
type Difference struct {
	Effect  Effect `json:"effect"`
	Object  string `json:"object"` // kind and name
	Message string `json:"message"`
}

// findings collects findings.
type findings []Finding

func (l *findings) add(r Rule, path, format string, a ...any) {
	*l = append(*l, Finding{r, path, fmt.Sprintf(format, a...)})
}

// differences collects differences.
type differences []Difference

func (l *differences) add(e Effect, object, format string, a ...any) {
	*l = append(*l, Difference{e, object, fmt.Sprintf(format, a...)})
}

// addChange adds a difference if the two values, which are printed, differ.
func (l *differences) addChange(e Effect, object, field string, before, after any) {
	if b, a := fmt.Sprint(before), fmt.Sprint(after); a != b {
		l.add(e, object, "%s: %s, was %s", field, a, b)
	}
}

// addItems adds the removed and the added items of a list. Each is printed.
func (l *differences) addItems(object, item string, before, after []string) {
	for _, s := range before {
		if !slices.Contains(after, s) {
			l.add(EffectRemoval, object, "%s %s is removed", item, s)
		}
	}
	for _, s := range after {
		if !slices.Contains(before, s) {
			l.add(EffectAddition, object, "%s %s is added", item, s)
		}
	}
}

// addKeys adds the numbers of removed and added keys. Keys are secrets and not printed.
func (l *differences) addKeys(object string, before, after []string) {
	if n := countMissing(before, after); n > 0 {
		l.add(EffectRemoval, object, "%d of %d keys are removed", n, len(before))
	}
	if n := countMissing(after, before); n > 0 {
		l.add(EffectAddition, object, "%d keys are added", n)
	}
}

// countMissing returns the number of items of a list that another one lacks.
func countMissing(list, other []string) int {
	known := make(map[string]bool, len(other))
	for _, s := range other {
		known[s] = true
	}
	n := 0
	for _, s := range list {
		if !known[s] {
			n++
		}
	}
	return n
}

// sorted returns the differences by effect and object.
func (l differences) sorted() []Difference {
	slices.SortStableFunc(l, func(a, b Difference) int {
		return cmp.Or(slices.Index(effectOrder, a.Effect)-slices.Index(effectOrder, b.Effect), strings.Compare(a.Object, b.Object), strings.Compare(a.Message, b.Message))
	})
	return l
}

func formatLimit(l record.Limit) string {
	return fmt.Sprintf("%d %s per %v", l.Amount, l.Unit, time.Duration(l.Period))
}
