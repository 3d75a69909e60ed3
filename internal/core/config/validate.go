package config

import (
	"fmt"
	"slices"
	"strings"

	"github.com/cassiaspoke/cassiaspoke/pkg/record"
)

const hashDigits = 64 // hexadecimal digits of a SHA-256

func validateOrganisation(ch record.Change) error {
	op, o := string(ch.Kind), ch.Organisation
	switch {
	case o == nil || o.Name == "" || o.Name != ch.Name:
		return newError(op, ErrInvalid, "the organisation's name must be %q", ch.Name).at("name")
	case o.Share < 0:
		return newError(op, ErrInvalid, "share is %d, want 0 or more", o.Share).at("share")
	}
	for i, k := range o.KeyHashes {
		if len(k) != hashDigits || strings.Trim(k, "0123456789abcdef") != "" {
			return newError(op, ErrInvalid, "key hash must be %d hexadecimal digits", hashDigits).at(fmt.Sprintf("key-hashes[%d]", i))
		}
	}
	for i, l := range o.Limits {
		if l.Amount < 0 || l.Period <= 0 {
			return newError(op, ErrInvalid, "limit of %s needs an amount and a period", l.Unit).at(fmt.Sprintf("limits[%d]", i))
		}
		if !slices.Contains([]record.Unit{record.UnitCost, record.UnitTokens, record.UnitRequests}, l.Unit) {
			return newError(op, ErrInvalid, "unit %q is unknown", l.Unit).at(fmt.Sprintf("limits[%d].unit", i))
		}
	}
	return nil
}

func validateProfile(ch record.Change) error {
	op, p := string(ch.Kind), ch.Profile
	switch {
	case p == nil || p.Name == "" || p.Name != ch.Name:
		return newError(op, ErrInvalid, "the profile's name must be %q", ch.Name).at("name")
	case len(p.Allow) == 0:
		return newError(op, ErrInvalid, "allow is empty").at("allow")
	case p.Quality.Share <= 0 || p.Quality.Share > 1 || p.Quality.MinScore < 0 || p.Quality.MinScore > 1:
		return newError(op, ErrInvalid, "quality needs min-score in [0, 1] and share in (0, 1]").at("quality")
	case p.MaxCost <= 0:
		return newError(op, ErrInvalid, "max-cost is %d, want more than 0", p.MaxCost).at("max-cost")
	case p.Deadline <= 0:
		return newError(op, ErrInvalid, "deadline is %v, want more than 0", p.Deadline).at("deadline")
	case p.Weights.Cost < 0 || p.Weights.Latency < 0 || p.Weights.Exposure < 0:
		return newError(op, ErrInvalid, "weights must not be negative").at("weights")
	}
	for i, a := range p.Allow {
		if m, v, ok := strings.Cut(a, "@"); !ok || m == "" || v == "" {
			return newError(op, ErrInvalid, "%q is not of the form model@version or model@*", a).at(fmt.Sprintf("allow[%d]", i))
		}
	}
	if !slices.Contains(p.Allow, p.Safe) {
		return newError(op, ErrInvalid, "safe %q is not in allow", p.Safe).at("safe")
	}
	return nil
}

func validateVersion(ch record.Change) error {
	op, v := string(ch.Kind), ch.Version
	if v == nil || v.Name != ch.Name {
		return newError(op, ErrInvalid, "the version's name must be %q", ch.Name).at("name")
	}
	m, n, ok := strings.Cut(v.Name, "@")
	if !ok || m == "" || n == "" || n == "*" {
		return newError(op, ErrInvalid, "%q is not of the form model@version", v.Name).at("name")
	}
	if v.Price.Input < 0 || v.Price.Output < 0 || v.Prior < 0 || v.Prior > 1 {
		return newError(op, ErrInvalid, "price must not be negative, prior must be in [0, 1]")
	}
	return nil
}

func validateStages(l []record.Stage) error {
	last := 0.0
	for _, s := range l {
		if s.Share <= last || s.Share > 1 || s.MinSamples < 1 {
			return newError("version-roll-out", ErrInvalid, "shares must grow up to 1 and min-samples be 1 or more")
		}
		last = s.Share
	}
	return nil
}
