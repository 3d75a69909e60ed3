package instance

import (
	"encoding/json"
	"fmt"

	"go.uber.org/zap"

	"github.com/cassiaspoke/cassiaspoke/internal/core/suspect"
	"github.com/cassiaspoke/cassiaspoke/pkg/record"
)

// digests exchanges what instances learned about suspects.
type digests struct{ i *Instance }

// Digests returns the own findings.
func (d digests) Digests() (health, suspects []byte) {
	r := d.i.suspects.report()
	if len(r.Marks) == 0 && len(r.Alone) == 0 {
		return nil, nil
	}
	b, err := json.Marshal(r)
	if err != nil {
		d.i.o.Logger.Warn("instance: The suspects can't be encoded.", zap.Error(err))
		return nil, nil
	}
	return nil, b
}

// Merge takes over a peer's findings.
func (d digests) Merge(_ string, _, suspects []byte) {
	if len(suspects) == 0 {
		return
	}
	var r suspect.Report
	if err := json.Unmarshal(suspects, &r); err != nil {
		d.i.o.Logger.Warn("instance: A peer's suspects can't be decoded.", zap.Error(err))
		return
	}
	d.i.suspects.merge(r)
}

func encodeSnapshot(ch record.Change) ([]byte, error) {
	b, err := json.Marshal(ch)
	if err != nil {
		return nil, fmt.Errorf("encode snapshot: %w", err)
	}
	return b, nil
}

func decodeSnapshot(b []byte) (record.Change, error) {
	var ch record.Change
	if err := json.Unmarshal(b, &ch); err != nil {
		return ch, fmt.Errorf("decode snapshot: %w", err)
	}
	return ch, nil
}
