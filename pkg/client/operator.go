package client

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
)

// maxReply bounds a reply that is not streamed, in bytes.
const maxReply = 64 << 20

// Operator calls the operators' API of one instance.
type Operator struct {
	base string
	key  string
	http *http.Client
}

// NewOperator returns a client for the API at the base URL; key is the operator's API key.
func NewOperator(base, key string, c *http.Client) *Operator {
	return &Operator{base: strings.TrimSuffix(base, "/"), key: key, http: c}
}

// Profile returns a profile as it is in force.
func (o *Operator) Profile(ctx context.Context, name string) (ProfileReply, error) {
	var r ProfileReply
	err := o.do(ctx, "show profile", http.MethodGet, path("profiles", name), nil, &r)
	return r, err
}

// Profiles returns all profiles.
func (o *Operator) Profiles(ctx context.Context) (ProfilesReply, error) {
	var r ProfilesReply
	err := o.do(ctx, "list profiles", http.MethodGet, path("profiles"), nil, &r)
	return r, err
}

// ProfileHistory returns the accepted changes of a profile, oldest first.
func (o *Operator) ProfileHistory(ctx context.Context, name string) (HistoryReply, error) {
	var r HistoryReply
	err := o.do(ctx, "profile history", http.MethodGet, path("profiles", name, "history"), nil, &r)
	return r, err
}

// PublishProfile returns once the change is accepted; a conflict is an *Error with its Winner.
func (o *Operator) PublishProfile(ctx context.Context, c ProfileChange) (RevisionReply, error) {
	var r RevisionReply
	err := o.do(ctx, "publish profile", http.MethodPut, path("profiles", c.Name), c, &r)
	return r, err
}

// Organisation returns an organisation as it is in force.
func (o *Operator) Organisation(ctx context.Context, name string) (OrganisationReply, error) {
	var r OrganisationReply
	err := o.do(ctx, "show organisation", http.MethodGet, path("organisations", name), nil, &r)
	return r, err
}

// Organisations returns all organisations.
func (o *Operator) Organisations(ctx context.Context) (OrganisationsReply, error) {
	var r OrganisationsReply
	err := o.do(ctx, "list organisations", http.MethodGet, path("organisations"), nil, &r)
	return r, err
}

// OrganisationHistory returns the accepted changes of an organisation, oldest first.
func (o *Operator) OrganisationHistory(ctx context.Context, name string) (HistoryReply, error) {
	var r HistoryReply
	err := o.do(ctx, "organisation history", http.MethodGet, path("organisations", name, "history"), nil, &r)
	return r, err
}

// PublishOrganisation returns once the change is accepted; a conflict is an *Error with its Winner.
func (o *Operator) PublishOrganisation(ctx context.Context, c OrganisationChange) (RevisionReply, error) {
	var r RevisionReply
	err := o.do(ctx, "publish organisation", http.MethodPut, path("organisations", c.Name), c, &r)
	return r, err
}

// Versions returns all versions.
func (o *Operator) Versions(ctx context.Context) (VersionsReply, error) {
	var r VersionsReply
	err := o.do(ctx, "list versions", http.MethodGet, path("versions"), nil, &r)
	return r, err
}

// ChangeVersion returns once the change is accepted; a conflict is an *Error with its Winner.
func (o *Operator) ChangeVersion(ctx context.Context, name string, a Action, c VersionChange) (RevisionReply, error) {
	var r RevisionReply
	err := o.do(ctx, string(a)+" version", http.MethodPost, path("versions", name, string(a)), c, &r)
	return r, err
}

// Bills returns a part of the bills from an offset of the bills stream on.
func (o *Operator) Bills(ctx context.Context, from uint64) (BillsReply, error) {
	var r BillsReply
	err := o.do(ctx, "export bills", http.MethodGet, path("bills")+"?from="+strconv.FormatUint(from, 10), nil, &r)
	return r, err
}

// Status returns what the instance knows.
func (o *Operator) Status(ctx context.Context) (StatusReply, error) {
	var r StatusReply
	err := o.do(ctx, "status", http.MethodGet, path("status"), nil, &r)
	return r, err
}

func (o *Operator) do(ctx context.Context, op, method, path string, in, out any) error {
	var body []byte
	if in != nil {
		var err error
		if body, err = json.Marshal(in); err != nil {
			return unknown(op, 0, err)
		}
	}
	req, err := http.NewRequestWithContext(ctx, method, o.base+path, bytes.NewReader(body))
	if err != nil {
		return unknown(op, 0, err)
	}
	req.Header.Set("Authorization", "Bearer "+o.key)
	if in != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	res, err := o.http.Do(req)
	if err != nil {
		return unknown(op, 0, err)
	}
	defer func() { _ = res.Body.Close() }()
	b, err := readAll(res.Body)
	if err != nil {
		return unknown(op, res.StatusCode, err)
	}
	if res.StatusCode != http.StatusOK {
		return refusal(op, res.StatusCode, b)
	}
	if err := json.Unmarshal(b, out); err != nil {
		return unknown(op, res.StatusCode, fmt.Errorf("read reply: %w", err))
	}
	return nil
}

// readAll reads a reply within maxReply.
func readAll(r io.Reader) ([]byte, error) {
	b, err := io.ReadAll(io.LimitReader(r, maxReply+1))
	if err == nil && len(b) > maxReply {
		err = fmt.Errorf("reply has more than %d bytes", maxReply)
	}
	return b, err
}

func path(parts ...string) string {
	p := "/v1"
	for _, s := range parts {
		p += "/" + url.PathEscape(s)
	}
	return p
}
