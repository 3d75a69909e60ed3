package command

import (
	"errors"
	"fmt"
	"io"

	"github.com/urfave/cli/v3"

	"github.com/cassiaspoke/cassiaspoke/pkg/client"
)

// flagBase is the name of the flag for the revision that a change is based on.
const flagBase = "base"

func baseFlag() cli.Flag {
	return &cli.Uint64Flag{Name: flagBase, Usage: "`REVISION` that the change is based on, 0 for a new object"}
}

// baseRevision returns the revision that a change is based on: the value of the flag if it is set, otherwise that of the file.
func baseRevision(c *cli.Command, path string, base *uint64) (uint64, error) {
	if c.IsSet(flagBase) {
		return c.Uint64(flagBase), nil
	}
	if base == nil {
		return 0, errorf(c.Name, ErrUsage, "%s: name the revision that the change is based on, with \"base\" in the file or --%s", path, flagBase)
	}
	return *base, nil
}

// preparePublish decodes the file of a publish command into file and returns its base revision and a client.
func preparePublish(c *cli.Command, file any, base **uint64) (uint64, *client.Operator, error) {
	path, err := singleArgument(c)
	if err != nil {
		return 0, nil, err
	}
	if err := readFile("publish", path, file); err != nil {
		return 0, nil, err
	}
	revision, err := baseRevision(c, path, *base)
	if err != nil {
		return 0, nil, err
	}
	o, err := newOperatorClient(c)
	return revision, o, err
}

// reportChange prints the revision of an accepted change, or returns the reason why a change was not accepted.
func reportChange(c *cli.Command, object string, r client.RevisionReply, err error) error {
	if err == nil {
		return printResult(c, r, func(w io.Writer) { fmt.Fprintf(w, "%s is at revision %d\n", object, r.Revision) })
	}
	var reply *client.Error
	if errors.As(err, &reply) && c.Bool(flagJSON) {
		_ = printResult(c, errorReply(reply), nil)
	}
	var e *Error
	if err = apiError(c.Name, err); errors.As(err, &e) && e.Kind != ErrFailed {
		return errorf(c.Name, e.Kind, "%w; nothing was changed", e.Err)
	}
	return err
}

// errorReply returns the reply body that an error was decoded from.
func errorReply(e *client.Error) any {
	b := client.ErrorBody{Error: e.ErrorDetail}
	if e.Winner == nil {
		return b
	}
	return client.ConflictReply{ErrorBody: b, Winner: *e.Winner}
}
