package testfleet

import (
	"context"
	"fmt"
	"time"

	"github.com/cassiaspoke/cassiaspoke/internal/certificate"
	"github.com/cassiaspoke/cassiaspoke/pkg/client"
	"github.com/cassiaspoke/cassiaspoke/pkg/record"
)

// prices are the prices of the sample versions.
var prices = map[string]record.Price{
	"small@1":         {Input: 100, Output: 400},
	"small@2":         {Input: 90, Output: 360},
	"large@1":         {Input: 1000, Output: 4000},
	disallowedVersion: {Input: 1, Output: 1},
}

// passShares are the shares of answers of the sample versions that pass their rating.
var passShares = map[string]float64{"small@1": 0.8, "small@2": 0.85, "large@1": 0.99, disallowedVersion: 1}

// organisations are the sample organisations by name; the API key of each is "key-" followed by its name.
var organisations = map[string]record.Organisation{
	"lysror-1":   {Profiles: []string{"lysror-reports", "lysror-depot", "lysror-intake"}, Services: []string{"booking"}, Share: 4},
	"lysror-2":   {Profiles: []string{"lysror-reports", "lysror-depot"}, Services: []string{"booking"}, Share: 1},
	"kallisto-1": {Profiles: []string{"kallisto-proofs"}, Services: []string{"print"}, Share: 2},
	"kallisto-2": {Profiles: []string{"kallisto-proofs"}, Services: []string{"print"}, Share: 1},
	"kallisto-unpaid": {
		Profiles: []string{"kallisto-proofs"}, Services: []string{"print"}, Share: 1,
		Limits: []record.Limit{{Unit: record.UnitRequests, Amount: 5, Period: record.Duration(time.Hour)}},
	},
}

// profiles are the sample profiles by name.
var profiles = map[string]record.Profile{
	"lysror-reports": {
		Allow: []string{"small@*", "large@*"}, Safe: "large@*", Quality: record.Quality{MinScore: 0.7, Share: 0.95},
		MaxCost: 60_000_000, Weights: record.Weights{Cost: 1}, Deadline: record.Duration(30 * time.Second), MaxTokens: 2000,
	},
	"lysror-depot": {
		Allow: []string{"small@*", "large@*"}, Safe: "large@*", Quality: record.Quality{MinScore: 0.7, Share: 0.9},
		MaxCost: 60_000_000, Weights: record.Weights{Cost: 1, Latency: 10}, Deadline: record.Duration(10 * time.Second), MaxTokens: 500,
	},
	"lysror-intake": {
		Allow: []string{"small@*"}, Safe: "small@*", Quality: record.Quality{MinScore: 0.3, Share: 0.9},
		MaxCost: 60_000_000, Weights: record.Weights{Cost: 1}, Deadline: record.Duration(10 * time.Second), MaxTokens: 500,
	},
	"kallisto-proofs": {
		Allow: []string{"small@*", "large@*"}, Safe: "large@*", Quality: record.Quality{MinScore: 0.7, Share: 0.95},
		MaxCost: 60_000_000, Weights: record.Weights{Cost: 1, Latency: 5000}, Deadline: record.Duration(10 * time.Second), MaxTokens: 800,
	},
}

// PublishSamples publishes the sample versions, profiles and organisations of both sample deployments.
func PublishSamples(ctx context.Context, f *Fleet) error {
	for v, s := range passShares {
		f.Platform.Rater.SetPassShare(v, s)
	}
	o := f.OperatorClient("instance-" + f.config.AvailabilityZones[0])
	for _, n := range []string{"small@1", "large@1", disallowedVersion} {
		if err := RollOut(ctx, o, n, nil); err != nil {
			return err
		}
	}
	for n, p := range profiles {
		p.Name = n
		if _, err := o.PublishProfile(ctx, client.ProfileChange{Profile: p}); err != nil {
			return fmt.Errorf("publish profile %s: %w", n, err)
		}
	}
	for n, g := range organisations {
		g.Name, g.KeyHashes = n, []string{certificate.HashKey("key-" + n)}
		if _, err := o.PublishOrganisation(ctx, client.OrganisationChange{Organisation: g}); err != nil {
			return fmt.Errorf("publish organisation %s: %w", n, err)
		}
	}
	return f.waitUntilInForce(ctx, o)
}

// RollOut adds a version and starts its roll-out; without stages the version becomes active at once.
func RollOut(ctx context.Context, o *client.Operator, name string, stages []record.Stage) error {
	r, err := o.ChangeVersion(ctx, name, client.ActionAdd, client.VersionChange{Version: &record.Version{Name: name, Price: prices[name], Prior: passShares[name]}})
	if err != nil {
		return fmt.Errorf("add version %s: %w", name, err)
	}
	_, err = o.ChangeVersion(ctx, name, client.ActionRollOut, client.VersionChange{Base: r.Revision, RollOut: &record.RollOut{Stages: stages}})
	if err != nil {
		return fmt.Errorf("roll out version %s: %w", name, err)
	}
	return nil
}

// waitUntilInForce waits until every instance has applied the configuration that one instance has now.
func (f *Fleet) waitUntilInForce(ctx context.Context, o *client.Operator) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	want, err := o.Status(ctx)
	if err != nil {
		return fmt.Errorf("read status: %w", err)
	}
	for id := range f.Instances {
		for {
			s, err := f.OperatorClient(id).Status(ctx)
			if err != nil {
				return fmt.Errorf("read status of %s: %w", id, err)
			}
			if s.Config.Next >= want.Config.Next {
				break
			}
			time.Sleep(5 * time.Millisecond)
		}
	}
	return nil
}
