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

const hashLength = 64 // hexadecimal digits of a SHA-256

var checker = newChecker()

func newChecker() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(f reflect.StructField) string { return f.Tag.Get("json") })
	// The registration fails only for an empty name or a nil function.
	_ = v.RegisterValidation("hash", func(f validator.FieldLevel) bool {
		h := f.Field().Convert(reflect.TypeFor[string]()).Interface().(string)
		return len(h) == hashLength && strings.Trim(h, "0123456789abcdef") == ""
	})
	return v
}

// check adds the problems of values that were read, one by one and then together.
func (d *decoder) check(s Settings) {
	d.checkFields(s)
	d.checkListeners(s)
	d.checkTimes(s)
}

// checkFields adds the problems that the rules in the fields' tags find.
func (d *decoder) checkFields(s any) {
	var l validator.ValidationErrors
	if errors.As(checker.Struct(s), &l) {
		for _, f := range l {
			_, path, _ := strings.Cut(f.Namespace(), ".")
			d.fault(path, "nothing", want(f))
		}
	}
}

func (d *decoder) checkListeners(s Settings) {
	const loopback = "tls, or a loopback address in listen"
	if o := s.Operators; o.TLS == nil && o.Listen.IsValid() && !o.Listen.Addr().IsLoopback() {
		d.fault("operators.tls", "nothing", loopback)
	}
	if p := s.Peers; p.TLS == nil && p.Listen.IsValid() && !p.Listen.Addr().IsLoopback() {
		d.fault("peers.tls", "nothing", loopback)
	}
	if s.Peers.TLS != nil && s.Peers.TLS.ClientCA == "" {
		d.fault("peers.tls.client-ca", "nothing", "the authority of the peers' certificates")
	}
	listen := map[netip.AddrPort]string{s.Callers.Listen: "callers.listen"}
	for _, l := range []struct {
		path string
		addr netip.AddrPort
	}{{"operators.listen", s.Operators.Listen}, {"peers.listen", s.Peers.Listen}} {
		if o, ok := listen[l.addr]; ok && l.addr.Port() != 0 {
			d.fault(l.path, "nothing", "an address other than that of "+o)
		}
		listen[l.addr] = l.path
	}
}

func (d *decoder) checkTimes(s Settings) {
	limit, base := s.Callers.Limits.RequestTimeout, s.Endpoints.Ejection.Base
	if t := s.Stop.DrainTimeout; t < limit {
		d.fault("stop.drain-timeout", byDefault(t), fmt.Sprintf("callers.limits.request-timeout (%v) or more", limit))
	}
	if t := s.Engines.FirstTokenTimeout; t > limit {
		d.fault("engines.first-token-timeout", byDefault(t), fmt.Sprintf("callers.limits.request-timeout (%v) or less", limit))
	}
	if t := s.Endpoints.Ejection.Max; t < base {
		d.fault("endpoints.ejection.max", byDefault(t), fmt.Sprintf("endpoints.ejection.base (%v) or more", base))
	}
}

func byDefault(t time.Duration) string { return fmt.Sprintf("%v by default", t) }

// fault adds a problem at a path, or at the closest part around it that the file has, unless one is known there.
// The text for a field that the file leaves out is absent.
func (d *decoder) fault(path, absent, want string) {
	found := absent
	offset, ok := d.at[path]
	if ok {
		found = d.found[path]
	}
	for p := path; ; p = parent(p) {
		if d.bad[p] {
			return
		}
		if o, has := d.at[p]; has && !ok {
			offset, ok = o, true
		}
		if p == "" {
			break
		}
	}
	d.problem(path, offset, found, want)
}

func parent(path string) string {
	return path[:max(0, strings.LastIndexAny(path, ".["))]
}

// want tells in words what a validator's rule asks for.
func want(f validator.FieldError) string {
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
		return fmt.Sprintf("a SHA-256 of %d hexadecimal digits in lower case", hashLength)
	}
}
