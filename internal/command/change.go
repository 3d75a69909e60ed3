package command

import (
	"errors"
	"fmt"
	"io"

	"github.com/urfave/cli/v3"

	"github.com/cassiaspoke/cassiaspoke/pkg/client"
)

// flagBase names the revision that a change is based on.
const flagBase = "base"

func baseFlag() cli.Flag {
	return &cli.Uint64Flag{Name: flagBase, Usage: "`REVISION` that the change is based on, 0 for a new object"}
}

// basedOn returns the revision that a change is based on: the flag's, else the file's.
func basedOn(c *cli.Command, path string, base *uint64) (uint64, error) {
	if c.IsSet(flagBase) {
		return c.Uint64(flagBase), nil
	}
	if base == nil {
		return 0, wrong(c.Name, ErrUsage, "%s: name the revision that the change is based on, with \"base\" in the file or --%s", path, flagBase)
	}
	return *base, nil
}

// publishing reads the file of a publish and returns its base and the client to send it with.
func publishing(c *cli.Command, file any, base **uint64) (uint64, *client.Operator, error) {
	path, err := argument(c)
	if err != nil {
		return 0, nil, err
	}
	if err := readFile("publish", path, file); err != nil {
		return 0, nil, err
	}
	revision, err := basedOn(c, path, *base)
	if err != nil {
		return 0, nil, err
	}
	o, err := operator(c)
	return revision, o, err
}

// accepted reports the revision of an accepted change, or why a change was not accepted.
func accepted(c *cli.Command, object string, r client.RevisionReply, err error) error {
	if err == nil {
		return show(c, r, func(w io.Writer) { fmt.Fprintf(w, "%s is at revision %d\n", object, r.Revision) })
	}
	var reply *client.Error
	if errors.As(err, &reply) && c.Bool(flagJSON) {
		_ = show(c, refusal(reply), nil)
	}
	var e *Error
	if err = remote(c.Name, err); errors.As(err, &e) && e.Kind != ErrFailed {
		return wrong(c.Name, e.Kind, "%w; nothing was changed", e.Err)
	}
	return err
}

// refusal returns the body of the reply that refused a change.
func refusal(e *client.Error) any {
	b := client.ErrorBody{Error: e.ErrorDetail}
	if e.Winner == nil {
		return b
	}
	return client.ConflictReply{ErrorBody: b, Winner: *e.Winner}
}
