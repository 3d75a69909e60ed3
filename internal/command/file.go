package command

import (
	"fmt"
	"io"
	"os"

	"github.com/cassiaspoke/cassiaspoke/internal/settings"
)

// stdinPath is the path that denotes the standard input.
const stdinPath = "-"

// readFile decodes a file of JSON with comments into out. The error lists all problems of the file.
func readFile(op, path string, out any) error {
	src, err := readLimited(path)
	if err == nil {
		err = settings.Decode(path, src, out)
	}
	if err != nil {
		return &Error{Op: op, Kind: ErrFile, Err: err}
	}
	return nil
}

// readLimited returns the content of a file, or an error if it is larger than the limit.
func readLimited(path string) ([]byte, error) {
	const limit = 1 << 20 // bytes, the maximum size of a log record
	var r io.Reader = os.Stdin
	if path != stdinPath {
		f, err := os.Open(path)
		if err != nil {
			return nil, err
		}
		defer func() { _ = f.Close() }()
		r = f
	}
	b, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err == nil && len(b) > limit {
		err = fmt.Errorf("%s is larger than %d bytes", path, limit)
	}
	return b, err
}
