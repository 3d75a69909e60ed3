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

// maxReplyBytes limits the size of a reply that is not streamed.
const maxReplyBytes = 64 << 20

// Operator is a client of the operators' API of one instance.
type Operator struct {
	base string
	key  string
	http *http.Client
}

// NewOperator returns a client for the API at the base URL; key is the operator's API key.
func NewOperator(base, key string, c *http.Client) *Operator {
	return &Operator{base: strings.TrimSuffix(base, "/"), key: key, http: c}
}

// Profile returns the profile in force under a name.
func (o *Operator) Profile(ctx context.Context, name string) (ProfileReply, error) {
	var r ProfileReply
	err := o.do(ctx, "show profile", http.MethodGet, apiPath("profiles", name), nil, &r)
	return r, err
}

// Profiles returns all profiles.
func (o *Operator) Profiles(ctx context.Context) (ProfilesReply, error) {
	var r ProfilesReply
	err := o.do(ctx, "list profiles", http.MethodGet, apiPath("profiles"), nil, &r)
	return r, err
}

// ProfileHistory returns the accepted changes to a profile, oldest first.
func (o *Operator) ProfileHistory(ctx context.Context, name string) (HistoryReply, error) {
	var r HistoryReply
	err := o.do(ctx, "profile history", http.MethodGet, apiPath("profiles", name, "history"), nil, &r)
	return r, err
}

// PublishProfile publishes a change to a profile and waits until it is accepted; a conflict returns an *Error with Winner.
func (o *Operator) PublishProfile(ctx context.Context, c ProfileChange) (RevisionReply, error) {
	var r RevisionReply
	err := o.do(ctx, "publish profile", http.MethodPut, apiPath("profiles", c.Name), c, &r)
	return r, err
}

// Organisation returns the organisation in force under a name.
func (o *Operator) Organisation(ctx context.Context, name string) (OrganisationReply, error) {
	var r OrganisationReply
	err := o.do(ctx, "show organisation", http.MethodGet, apiPath("organisations", name), nil, &r)
	return r, err
}

// Organisations returns all organisations.
func (o *Operator) Organisations(ctx context.Context) (OrganisationsReply, error) {
	var r OrganisationsReply
	err := o.do(ctx, "list organisations", http.MethodGet, apiPath("organisations"), nil, &r)
	return r, err
}

// OrganisationHistory returns the accepted changes to an organisation, oldest first.
func (o *Operator) OrganisationHistory(ctx context.Context, name string) (HistoryReply, error) {
	var r HistoryReply
	err := o.do(ctx, "organisation history", http.MethodGet, apiPath("organisations", name, "history"), nil, &r)
	return r, err
}

// PublishOrganisation publishes a change to an organisation and waits until it is accepted; a conflict returns an *Error
// with Winner.
func (o *Operator) PublishOrganisation(ctx context.Context, c OrganisationChange) (RevisionReply, error) {
	var r RevisionReply
	err := o.do(ctx, "publish organisation", http.MethodPut, apiPath("organisations", c.Name), c, &r)
	return r, err
}

// Versions returns all versions.
func (o *Operator) Versions(ctx context.Context) (VersionsReply, error) {
	var r VersionsReply
	err := o.do(ctx, "list versions", http.MethodGet, apiPath("versions"), nil, &r)
	return r, err
}

// ChangeVersion applies an action to a version and waits until it is accepted; a conflict returns an *Error with Winner.
func (o *Operator) ChangeVersion(ctx context.Context, name string, a Action, c VersionChange) (RevisionReply, error) {
	var r RevisionReply
	err := o.do(ctx, string(a)+" version", http.MethodPost, apiPath("versions", name, string(a)), c, &r)
	return r, err
}

// Zones returns the availability zones that were evacuated at least once.
func (o *Operator) Zones(ctx context.Context) (ZonesReply, error) {
	var r ZonesReply
	err := o.do(ctx, "list zones", http.MethodGet, apiPath("zones"), nil, &r)
	return r, err
}

// ChangeZone evacuates or restores an availability zone and waits until that is accepted; a conflict returns an *Error with Winner.
func (o *Operator) ChangeZone(ctx context.Context, zone string, a Action, c ZoneChange) (RevisionReply, error) {
	var r RevisionReply
	err := o.do(ctx, string(a)+" zone", http.MethodPost, apiPath("zones", zone, string(a)), c, &r)
	return r, err
}

// Bills returns a page of bills that starts at an offset of the bills stream.
func (o *Operator) Bills(ctx context.Context, from uint64) (BillsReply, error) {
	var r BillsReply
	err := o.do(ctx, "export bills", http.MethodGet, apiPath("bills")+"?from="+strconv.FormatUint(from, 10), nil, &r)
	return r, err
}

// Status returns the status of the instance.
func (o *Operator) Status(ctx context.Context) (StatusReply, error) {
	var r StatusReply
	err := o.do(ctx, "status", http.MethodGet, apiPath("status"), nil, &r)
	return r, err
}

// do sends in as JSON, unless it is nil, and decodes the reply into out.
func (o *Operator) do(ctx context.Context, op, method, path string, in, out any) error {
	var body []byte
	if in != nil {
		var err error
		if body, err = json.Marshal(in); err != nil {
			return transportError(op, 0, err)
		}
	}
	req, err := http.NewRequestWithContext(ctx, method, o.base+path, bytes.NewReader(body))
	if err != nil {
		return transportError(op, 0, err)
	}
	req.Header.Set("Authorization", "Bearer "+o.key)
	if in != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	res, err := o.http.Do(req)
	if err != nil {
		return transportError(op, 0, err)
	}
	defer func() { _ = res.Body.Close() }()
	b, err := readReply(res.Body)
	if err != nil {
		return transportError(op, res.StatusCode, err)
	}
	if res.StatusCode != http.StatusOK {
		return replyError(op, res.StatusCode, b)
	}
	if err := json.Unmarshal(b, out); err != nil {
		return transportError(op, res.StatusCode, fmt.Errorf("read reply: %w", err))
	}
	return nil
}

// readReply reads a body of at most maxReplyBytes.
func readReply(r io.Reader) ([]byte, error) {
	b, err := io.ReadAll(io.LimitReader(r, maxReplyBytes+1))
	if err == nil && len(b) > maxReplyBytes {
		err = fmt.Errorf("reply exceeds %d bytes", maxReplyBytes)
	}
	return b, err
}

// apiPath joins escaped path elements below /v1.
func apiPath(parts ...string) string {
	p := "/v1"
	for _, s := range parts {
		p += "/" + url.PathEscape(s)
	}
	return p
}
