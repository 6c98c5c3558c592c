package claimer

import (
	"encoding/binary"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"github.com/dotterelpulley/dotterelpulley"
)

// KeyHash identifies a request key in claims.
type KeyHash uint64

// RangeID numbers a range of key hashes.
type RangeID uint8

// RangeCount is the number of ranges that all key hashes are divided into.
const RangeCount = 256

const (
	issuedPrefix        = "dp:"
	issuedParts         = 3
	canonicalUUIDLength = 36
	rangeShift          = 56
	timestampShift      = 16
	uuidVersion7        = 7
)

// HashKey returns the hash of the key.
func HashKey(key dotterelpulley.Key) KeyHash {
	return KeyHash(xxhash.Sum64String(string(key.Organisation) + "\x00" + string(key.Idempotency)))
}

// Range returns the range that the hash lies in.
func (h KeyHash) Range() RangeID {
	return RangeID(h >> rangeShift)
}

// CreationTime returns the timestamp of a UUIDv7 key.
func CreationTime(key dotterelpulley.IdempotencyKey) (time.Time, bool) {
	if len(key) != canonicalUUIDLength {
		return time.Time{}, false
	}
	id, err := uuid.Parse(string(key))
	if err != nil || id.Version() != uuidVersion7 {
		return time.Time{}, false
	}
	return time.UnixMilli(int64(binary.BigEndian.Uint64(id[:8]) >> timestampShift)), true
}

// IssueKey returns a key that only the incarnation may run; unique distinguishes it from all other keys.
func IssueKey(incarnation dotterelpulley.Incarnation, unique uuid.UUID) dotterelpulley.IdempotencyKey {
	return dotterelpulley.IdempotencyKey(issuedPrefix + string(incarnation) + ":" + unique.String())
}

// IssuedBy returns the incarnation that issued the key, if a host of the system did.
func IssuedBy(key dotterelpulley.IdempotencyKey) (dotterelpulley.Incarnation, bool) {
	parts := strings.Split(string(key), ":")
	if len(parts) != issuedParts || !strings.HasPrefix(string(key), issuedPrefix) {
		return "", false
	}
	return dotterelpulley.Incarnation(parts[1]), true
}

// Fingerprint distinguishes the contents of requests.
type Fingerprint uint64

// FingerprintOf returns the fingerprint of the request's content.
func FingerprintOf(r dotterelpulley.Request) Fingerprint {
	d := xxhash.New()
	fields := []string{
		r.Kind.String(),
		string(r.Service),
		string(r.Route),
		r.Conversation,
		r.Prompt,
		string(r.Payload),
	}
	for _, f := range fields {
		_, _ = d.Write(binary.BigEndian.AppendUint64(nil, uint64(len(f))))
		_, _ = d.WriteString(f)
	}
	_, _ = d.Write(binary.BigEndian.AppendUint64(nil, uint64(r.MaxTokens)))
	return Fingerprint(d.Sum64())
}
