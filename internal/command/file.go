package command

import (
	"fmt"
	"io"
	"os"

	"github.com/cassiaspoke/cassiaspoke/internal/settings"
)

// stdin is the file name that stands for the standard input.
const stdin = "-"

// readFile reads JSON with comments into the struct at out; the error lists all problems of the file.
func readFile(op, path string, out any) error {
	src, err := content(path)
	if err == nil {
		err = settings.Decode(path, src, out)
	}
	if err != nil {
		return &Error{Op: op, Kind: ErrFile, Err: err}
	}
	return nil
}

func content(path string) ([]byte, error) {
	const limit = 1 << 20 // bytes, the largest record of the log
	var r io.Reader = os.Stdin
	if path != stdin {
		f, err := os.Open(path)
		if err != nil {
			return nil, err
		}
		defer func() { _ = f.Close() }()
		r = f
	}
	b, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err == nil && len(b) > limit {
		err = fmt.Errorf("%s has more than %d bytes", path, limit)
	}
	return b, err
}
