package engine

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
)

var errTrailingData = errors.New("text follows the chunk")

// chunkDecoder decodes the chunks of a stream with a single json.Decoder, because json.Unmarshal allocates its state for
// each chunk.
type chunkDecoder struct {
	unread  []byte // rest of the chunk that the decoder has not read yet
	total   int64  // bytes of all chunks so far
	decoder *json.Decoder
}

func newChunkDecoder() *chunkDecoder {
	d := &chunkDecoder{}
	d.decoder = json.NewDecoder(d)
	return d
}

// Read passes the rest of the current chunk to the decoder.
func (d *chunkDecoder) Read(p []byte) (int, error) {
	if len(d.unread) == 0 {
		return 0, io.EOF
	}
	n := copy(p, d.unread)
	d.unread = d.unread[n:]
	return n, nil
}

// decode parses data, which must hold exactly one chunk. The chunkDecoder must not be used after an error.
func (d *chunkDecoder) decode(data []byte, c *chunk) error {
	d.unread = bytes.TrimSpace(data)
	d.total += int64(len(d.unread))
	if err := d.decoder.Decode(c); err != nil {
		return err
	}
	if d.decoder.InputOffset() != d.total {
		return errTrailingData
	}
	return nil
}
