//go:build review

package main

import (
	_ "embed"
	"encoding/json"
)

//go:embed names.json
var namesText []byte

// names holds names of the users' platform. Go code outside package platform must not contain them (platform.TestBoundary).
var names = func() (n struct {
	AttemptID, Deadline, ExpectedInstance, TenantName, Load, Seal, Model, Confidence, TokenCounts, PromptPrefix                        string // headers
	PathPrefix, TargetLatency, TargetGap, StickySessions, ResumeStreams, HealthPath, ConnectionLimit, APIKeys, ColdRemaining, Draining string // fields and values
},
) {
	if err := json.Unmarshal(namesText, &n); err != nil {
		panic(err) // the file is part of the program
	}
	return n
}()
