package configtext

import (
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/cassiaspoke/cassiaspoke/internal/core/config"
	"github.com/cassiaspoke/cassiaspoke/internal/core/configcheck"
	"github.com/cassiaspoke/cassiaspoke/internal/core/routing"
	"github.com/cassiaspoke/cassiaspoke/internal/settings"
	"github.com/cassiaspoke/cassiaspoke/platform"
)

// Form is a form of configuration.
type Form string

// Forms of configuration.
const (
	FormPlatform Form = "platform" // the configuration record of the platform
	FormOwn      Form = "own"      // profiles, organisations and versions
)

// Options holds what is known apart from the text.
type Options struct {
	Form              Form            // empty to detect it
	Against           []byte          // text in force, in the same form; nil if there is none
	InForce           *config.Catalog // catalog in force at an instance; nil if there is none
	FirstTokenTimeout time.Duration   // of the engines; 0 if unknown
}

// Finding is an error or a warning with its position. Line and Column start at 1 and are 0 if the text has no such position;
// Column counts bytes.
type Finding struct {
	Line    int              `json:"line"`
	Column  int              `json:"column"`
	Path    string           `json:"path"`
	Rule    configcheck.Rule `json:"rule"`
	Message string           `json:"message"`
}

// Report is the result of a check. Errors and warnings are in the order of the text, differences in that of their effect.
type Report struct {
	File        string                   `json:"file"`
	Form        Form                     `json:"form"`
	Errors      []Finding                `json:"errors"`
	Warnings    []Finding                `json:"warnings"`
	Differences []configcheck.Difference `json:"differences"`
}

// Error is the error type of this package. It reports that the version in force can't be compared with.
type Error struct {
	Op  string
	Err error
}

// Error returns the operation and the cause.
func (e *Error) Error() string { return e.Op + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Detect returns the form that a text has or, if it is malformed, most likely is meant to have.
func Detect(src []byte) Form {
	x := configcheck.NewIndex(src)
	for _, f := range (platform.RecordCodec{}).ConfigurationFields() {
		if x.Has(f) || !x.Has("") && bytes.Contains(src, []byte(`"`+f+`"`)) {
			return FormPlatform
		}
	}
	return FormOwn
}

// Check checks the text of a file.
func Check(file string, src []byte, o Options) (Report, error) {
	if o.Form == "" {
		o.Form = Detect(src)
	}
	r := Report{File: file, Form: o.Form, Errors: []Finding{}, Warnings: []Finding{}, Differences: []configcheck.Difference{}}
	var err error
	if o.Form == FormPlatform {
		err = r.checkPlatform(src, o)
	} else {
		err = r.checkOwn(file, src, o)
	}
	for _, l := range [][]Finding{r.Errors, r.Warnings} {
		slices.SortStableFunc(l, func(a, b Finding) int {
			return cmp.Or(a.Line-b.Line, a.Column-b.Column, strings.Compare(string(a.Rule), string(b.Rule)))
		})
	}
	return r, err
}

// checkPlatform checks a configuration record of the platform.
func (r *Report) checkPlatform(src []byte, o Options) error {
	if o.InForce != nil {
		return &Error{"compare", errors.New("instances on the platform have no operators' API; compare with a file")}
	}
	codec := platform.RecordCodec{}
	x := configcheck.NewIndex(src)
	c, err := codec.DecodeConfiguration(src)
	if err != nil {
		f := locate(x, configcheck.Finding{Rule: configcheck.RuleRefused, Message: err.Error()}, "")
		switch offset, ok := codec.ErrorOffset(err); {
		case !ok:
		case x.Has(""):
			f.Path = x.PathAt(offset) // the error's offset is the end of the value
			f.Line, f.Column = x.Locate(f.Path)
		default: // the syntax is invalid
			f.Line, f.Column = x.Position(offset)
		}
		r.Errors = append(r.Errors, f)
		return nil
	}
	if c == nil {
		r.Warnings = append(r.Warnings, Finding{Line: 1, Column: 1, Rule: configcheck.RuleNoEffect, Message: "the text is empty: instances keep the configuration in force"})
		return nil
	}
	for _, f := range configcheck.Routing(c) {
		r.Warnings = append(r.Warnings, locate(x, f, platformPath(x, f.Path)))
	}
	r.checkServiceNames(x)
	if o.Against == nil {
		return nil
	}
	old, err := codec.DecodeConfiguration(o.Against)
	if err == nil && old == nil {
		err = errors.New("the text is empty")
	}
	if err != nil {
		return &Error{"read the version in force", err}
	}
	r.Differences = configcheck.RoutingDifferences(old, c)
	r.checkVersionNumber(x, old, c)
	return nil
}

// checkServiceNames adds a warning for each service that a later one of the same name replaces. The decoded configuration holds the last only.
func (r *Report) checkServiceNames(x *configcheck.Index) {
	last := map[string]string{} // path by name
	for i := 0; x.Has(fmt.Sprintf("services[%d]", i)); i++ {
		p := fmt.Sprintf("services[%d]", i)
		name := x.Text(p + ".name")
		if before, ok := last[name]; ok {
			f := configcheck.Finding{Rule: configcheck.RuleDuplicateName, Path: before, Message: fmt.Sprintf("the service %q is listed again, and the last entry counts", name)}
			r.Warnings = append(r.Warnings, locate(x, f, before))
		}
		last[name] = p
	}
}

// checkVersionNumber adds a warning if instances ignore a changed configuration because its number is not above the one in force.
func (r *Report) checkVersionNumber(x *configcheck.Index, old, c *routing.Configuration) {
	if c.Version <= old.Version && len(r.Differences) > 0 {
		f := configcheck.Finding{Rule: configcheck.RuleNoEffect, Path: "version", Message: fmt.Sprintf("instances ignore version %d, as %d is in force", c.Version, old.Version)}
		r.Warnings = append(r.Warnings, locate(x, f, f.Path))
	}
}

// platformPath returns the path in the text of a record for a path in the router's terms. Services are named instead of numbered there.
func platformPath(x *configcheck.Index, path string) string {
	codec := platform.RecordCodec{}
	const prefix = "services["
	rest, ok := strings.CutPrefix(path, prefix)
	if !ok {
		return codec.TextPath(path)
	}
	end := strings.LastIndex(rest, "]") // a name may contain any character, the fields don't
	return x.Find("services", "name", rest[:end]) + codec.TextPath(rest[end+1:])
}

// locate returns a finding with the position of a path of the text.
func locate(x *configcheck.Index, f configcheck.Finding, path string) Finding {
	line, column := x.Locate(path)
	return Finding{line, column, path, f.Rule, f.Message}
}

// settingsFindings returns the problems of a file that settings.Decode refuses.
func settingsFindings(err error) []Finding {
	var e *settings.Error
	if !errors.As(err, &e) {
		return []Finding{{Rule: configcheck.RuleRefused, Message: err.Error()}}
	}
	out := make([]Finding, 0, len(e.Problems))
	for _, p := range e.Problems {
		out = append(out, Finding{p.Line, p.Column, p.Path, configcheck.RuleRefused, "found " + p.Found + ", want " + p.Want})
	}
	return out
}
