package announcer

import (
	"errors"
	"math"
	"unicode"
	"unicode/utf8"

	"google.golang.org/protobuf/encoding/protowire"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/internal/fields"
)

// UnreadablePart is a part of a digest that this build can't read, as another build wrote it or it is damaged.
type UnreadablePart struct {
	Field fields.Number
	Err   error
}

var errNoUsage = errors.New("neither shape of usage has an amount and a name")

// smallestUsage is the smallest amount but zero that an organisation can have used.
const smallestUsage = 1e-9

// decodeUsage parses an organisation and what it has used. Builds before 9dca8b7 put a level of four bytes first.
func decodeUsage(b []byte) (dotterelpulley.OrganisationID, float64, error) {
	const levelSize = 4
	for _, skipped := range []int{0, levelSize} {
		if len(b) < skipped {
			break
		}
		bits, n := protowire.ConsumeFixed64(b[skipped:])
		if n < 0 {
			break
		}
		amount, id := math.Float64frombits(bits), b[skipped+n:]
		if isUsage(amount) && isName(id) {
			return dotterelpulley.OrganisationID(id), amount, nil
		}
	}
	return "", 0, errNoUsage
}

func isUsage(amount float64) bool {
	size := math.Abs(amount)
	return size == 0 || size >= smallestUsage && !math.IsInf(size, 0)
}

// isName reports whether the bytes can be the id of an organisation.
func isName(b []byte) bool {
	if len(b) == 0 || !utf8.Valid(b) {
		return false
	}
	for _, r := range string(b) {
		if !unicode.IsPrint(r) {
			return false
		}
	}
	return true
}
