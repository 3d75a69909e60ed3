package instance

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/cassiaspoke/cassiaspoke/internal/core/suspect"
)

// Sizes of the parts of an encoded mark, in bytes. Times are sent as ages, as the clocks of instances differ.
const (
	partMarkSize   = 8 + 1 + 1 + 4 + 1 + 1 // part, generation, trials, age of the refusal, numbers of deaths and companions
	partDeathSize  = 8 + 8 + 4             // process, request, age
	companionSize  = 8
	maxDeathsSent  = 5
	noRefusal      = math.MaxUint32
	maxSmallNumber = math.MaxUint8
)

// encodePartMarks encodes as many marks as fit into limit bytes.
func encodePartMarks(now time.Time, marks []suspect.PartMark, limit int) []byte {
	b := make([]byte, 0, limit)
	for _, m := range marks {
		deaths := m.Deaths[max(0, len(m.Deaths)-maxDeathsSent):]
		if len(b)+partMarkSize+len(deaths)*partDeathSize+len(m.Companions)*companionSize > limit {
			continue
		}
		b = binary.BigEndian.AppendUint64(b, uint64(m.Part))
		b = append(b, byte(min(m.Generation, maxSmallNumber)), byte(min(m.Trials, maxSmallNumber)))
		refused := uint32(noRefusal)
		if !m.RefusedAt.IsZero() {
			refused = ageMillis(now, m.RefusedAt)
		}
		b = binary.BigEndian.AppendUint32(b, refused)
		b = append(b, byte(len(deaths)), byte(len(m.Companions)))
		for _, d := range deaths {
			b = binary.BigEndian.AppendUint64(b, d.Process)
			b = binary.BigEndian.AppendUint64(b, d.Request)
			b = binary.BigEndian.AppendUint32(b, ageMillis(now, d.At))
		}
		for _, c := range m.Companions {
			b = binary.BigEndian.AppendUint64(b, uint64(c))
		}
	}
	return b
}

// ageMillis returns an age in milliseconds, below noRefusal.
func ageMillis(now, t time.Time) uint32 {
	return uint32(min(max(0, now.Sub(t).Milliseconds()), noRefusal-1))
}

// decodePartMarks decodes the marks that a peer encoded.
func decodePartMarks(now time.Time, peer string, b []byte) ([]suspect.PartMark, error) {
	var out []suspect.PartMark
	for len(b) > 0 {
		if len(b) < partMarkSize {
			return nil, errMalformedDigest
		}
		m := suspect.PartMark{Part: suspect.PartHash(binary.BigEndian.Uint64(b)), Generation: int(b[8]), Trials: int(b[9])}
		if age := binary.BigEndian.Uint32(b[10:]); age != noRefusal {
			m.RefusedAt = now.Add(-time.Duration(age) * time.Millisecond)
		}
		deaths, companions := int(b[14]), int(b[15])
		if b = b[partMarkSize:]; len(b) < deaths*partDeathSize+companions*companionSize {
			return nil, errMalformedDigest
		}
		for range deaths {
			m.Deaths = append(m.Deaths, suspect.EndpointDeath{
				Process: binary.BigEndian.Uint64(b), Request: binary.BigEndian.Uint64(b[8:]),
				At: now.Add(-time.Duration(binary.BigEndian.Uint32(b[16:])) * time.Millisecond), Reporter: peer,
			})
			b = b[partDeathSize:]
		}
		for range companions {
			m.Companions = append(m.Companions, suspect.PartHash(binary.BigEndian.Uint64(b)))
			b = b[companionSize:]
		}
		out = append(out, m)
	}
	return out, nil
}
