package settings

import (
	"errors"
	"fmt"
	"net/netip"
	"reflect"
	"strconv"
	"strings"
	"time"

	"github.com/go-playground/validator/v10"
)

// hashDigits is the number of hexadecimal digits of a SHA-256 hash.
const hashDigits = 64

// tagValidator applies the rules in the fields' validate tags.
var tagValidator = newTagValidator()

func newTagValidator() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(f reflect.StructField) string { return f.Tag.Get("json") })
	// RegisterValidation fails only for an empty name or a nil function.
	_ = v.RegisterValidation("hash", func(f validator.FieldLevel) bool {
		h := f.Field().Convert(reflect.TypeFor[string]()).Interface().(string)
		return len(h) == hashDigits && strings.Trim(h, "0123456789abcdef") == ""
	})
	return v
}

// validate adds a problem for each decoded value that breaks the rule of its field or conflicts with another value.
func (d *decoder) validate(s Settings) {
	d.validateFields(s)
	d.validateListeners(s)
	d.validateDurations(s)
}

// validateFields adds a problem for each value that breaks the rule in its field's validate tag.
func (d *decoder) validateFields(s any) {
	var l validator.ValidationErrors
	if errors.As(tagValidator.Struct(s), &l) {
		for _, f := range l {
			_, path, _ := strings.Cut(f.Namespace(), ".")
			d.addRuleProblem(path, "nothing", requirement(f))
		}
	}
}

// validateListeners requires TLS on listeners beyond loopback and a different address for each listener.
func (d *decoder) validateListeners(s Settings) {
	const tlsOrLoopback = "tls, or a loopback address in listen"
	if o := s.Operators; o.TLS == nil && o.Listen.IsValid() && !o.Listen.Addr().IsLoopback() {
		d.addRuleProblem("operators.tls", "nothing", tlsOrLoopback)
	}
	if p := s.Peers; p.TLS == nil && p.Listen.IsValid() && !p.Listen.Addr().IsLoopback() {
		d.addRuleProblem("peers.tls", "nothing", tlsOrLoopback)
	}
	if s.Peers.TLS != nil && s.Peers.TLS.ClientCA == "" {
		d.addRuleProblem("peers.tls.client-ca", "nothing", "the authority of the peers' certificates")
	}
	pathByAddr := map[netip.AddrPort]string{s.Callers.Listen: "callers.listen"}
	for _, l := range []struct {
		path string
		addr netip.AddrPort
	}{{"operators.listen", s.Operators.Listen}, {"peers.listen", s.Peers.Listen}} {
		if o, ok := pathByAddr[l.addr]; ok && l.addr.Port() != 0 {
			d.addRuleProblem(l.path, "nothing", "an address other than that of "+o)
		}
		pathByAddr[l.addr] = l.path
	}
}

// validateDurations checks durations that limit one another.
func (d *decoder) validateDurations(s Settings) {
	requestTimeout, base := s.Callers.Limits.RequestTimeout, s.Endpoints.Ejection.BaseDuration
	if t := s.Stop.DrainTimeout; t < requestTimeout {
		d.addRuleProblem("stop.drain-timeout", describeDefault(t), fmt.Sprintf("callers.limits.request-timeout (%v) or more", requestTimeout))
	}
	if t := s.Engines.FirstTokenTimeout; t > requestTimeout {
		d.addRuleProblem("engines.first-token-timeout", describeDefault(t), fmt.Sprintf("callers.limits.request-timeout (%v) or less", requestTimeout))
	}
	if t := s.Endpoints.Ejection.MaxDuration; t < base {
		d.addRuleProblem("endpoints.ejection.max", describeDefault(t), fmt.Sprintf("endpoints.ejection.base (%v) or more", base))
	}
}

// describeDefault describes a value that the file leaves at its default.
func describeDefault(t time.Duration) string { return fmt.Sprintf("%v by default", t) }

// addRuleProblem adds a problem of the value at path, unless the value or an enclosing one already has a problem.
// If the file lacks the field, the problem describes the value as absent and is positioned at the closest enclosing
// value in the file.
func (d *decoder) addRuleProblem(path, absent, want string) {
	found := absent
	offset, ok := d.offsets[path]
	if ok {
		found = d.shown[path]
	}
	for p := path; ; p = parentPath(p) {
		if d.invalid[p] {
			return
		}
		if o, has := d.offsets[p]; has && !ok {
			offset, ok = o, true
		}
		if p == "" {
			break
		}
	}
	d.addProblem(path, offset, found, want)
}

func parentPath(path string) string {
	return path[:max(0, strings.LastIndexAny(path, ".["))]
}

// requirement describes the rule that a value breaks.
func requirement(f validator.FieldError) string {
	p := f.Param()
	if n, err := strconv.ParseInt(p, 10, 64); err == nil && f.Type() == reflect.TypeFor[Size]() {
		p = strconv.Quote(Size(n).String())
	}
	suffix := map[reflect.Kind]string{reflect.Slice: " elements", reflect.String: " characters"}[f.Kind()]
	switch f.Tag() {
	case "required":
		if s, ok := scalars[f.Type()]; ok && f.Type() != reflect.TypeFor[Hash]() {
			return s.want
		}
		return "a value"
	case "min":
		return p + " or more" + suffix
	case "max":
		if suffix != "" {
			return p + " or fewer" + suffix
		}
		return p + " or less"
	case "gt":
		return "more than " + p
	case "lt":
		return "less than " + p
	case "oneof":
		return "one of " + strings.ReplaceAll(p, " ", ", ")
	case "unique":
		return "elements that differ in " + strings.ToLower(p)
	default:
		return fmt.Sprintf("a SHA-256 of %d hexadecimal digits in lower case", hashDigits)
	}
}
