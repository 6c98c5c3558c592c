package claimer

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/dotterelpulley/dotterelpulley"
)

var errUnknownKind = errors.New("none of the known records")

type wireMember struct {
	Host        string `json:"host"`
	Incarnation string `json:"incarnation"`
	Peer        string `json:"peer-address"`
	Joined      int64  `json:"joined,omitempty"`
	Renewed     int64  `json:"renewed,omitempty"`
	RenewBase   int64  `json:"renew-base,omitempty"`
	Unrecorded  bool   `json:"unrecorded,omitempty"`
	Draining    bool   `json:"draining,omitempty"`
}

type wireRange struct {
	Holder          string    `json:"holder"`
	Target          string    `json:"target"`
	Previous        string    `json:"previous,omitempty"`
	Since           int64     `json:"since"`
	UncertainBefore time.Time `json:"uncertain-before,omitzero"`
	UncertainUntil  time.Time `json:"uncertain-until,omitzero"`
}

type wireRoster struct {
	ID          string       `json:"id"`
	Kind        string       `json:"kind"`
	Member      *wireMember  `json:"member,omitempty"`
	Incarnation string       `json:"incarnation,omitempty"`
	Base        int64        `json:"base,omitempty"`
	Unrecorded  bool         `json:"unrecorded,omitempty"`
	Proof       int          `json:"proof,omitempty"`
	Clean       bool         `json:"clean,omitempty"`
	Gone        time.Time    `json:"gone,omitzero"`
	Members     []wireMember `json:"members,omitempty"`
	Ended       []string     `json:"ended,omitempty"`
	Ranges      []wireRange  `json:"ranges,omitempty"`
	Epoch       int64        `json:"epoch,omitempty"`
	LastRemoval int64        `json:"last-removal,omitempty"`
}

type wireClaims struct {
	ID          string `json:"id"`
	Incarnation string `json:"incarnation"`
	Sequence    int64  `json:"sequence"`
	Claimed     []byte `json:"claimed,omitempty"`
	Released    []byte `json:"released,omitempty"`
}

// EncodeRoster encodes a roster record for the log.
func EncodeRoster(id RecordID, record RosterRecord) ([]byte, error) {
	w := wireRoster{ID: string(id)}
	switch rec := record.(type) {
	case Join:
		w.Kind = "join"
		m := memberToWire(RosterMember{Member: rec.Member})
		w.Member = &m
	case Renew:
		w.Kind, w.Incarnation, w.Base, w.Unrecorded = "renew", string(rec.Incarnation), int64(rec.Base), rec.Unrecorded
	case Drain:
		w.Kind, w.Incarnation = "drain", string(rec.Incarnation)
	case Leave:
		w.Kind, w.Incarnation = "leave", string(rec.Incarnation)
	case Yield:
		w.Kind, w.Incarnation, w.Epoch = "yield", string(rec.Incarnation), int64(rec.Epoch)
	case Expire:
		w.Kind, w.Incarnation, w.Base = "expire", string(rec.Incarnation), int64(rec.Base)
		w.Proof, w.Clean, w.Gone = int(rec.Proof), rec.Clean, rec.Gone
	case Snapshot:
		w.snapshotToWire(rec)
	case Void:
		w.Kind = "void"
	}
	data, err := json.Marshal(w)
	if err != nil {
		return nil, fmt.Errorf("encode roster record %q: %w", id, err)
	}
	return data, nil
}

// DecodeRoster decodes a roster record from the log.
func DecodeRoster(data []byte) (RecordID, RosterRecord, error) {
	var w wireRoster
	if err := json.Unmarshal(data, &w); err != nil {
		return "", nil, fmt.Errorf("decode roster record: %w", err)
	}
	record, err := w.fromWire()
	if err != nil {
		return "", nil, fmt.Errorf("roster record %q of kind %q: %w", w.ID, w.Kind, err)
	}
	return RecordID(w.ID), record, nil
}

func (w wireRoster) fromWire() (RosterRecord, error) {
	id := dotterelpulley.Incarnation(w.Incarnation)
	switch w.Kind {
	case "join":
		if w.Member == nil {
			return nil, errUnknownKind
		}
		return Join{Member: w.Member.fromWire().Member}, nil
	case "renew":
		return Renew{Incarnation: id, Base: Offset(w.Base), Unrecorded: w.Unrecorded}, nil
	case "drain":
		return Drain{Incarnation: id}, nil
	case "leave":
		return Leave{Incarnation: id}, nil
	case "yield":
		return Yield{Incarnation: id, Epoch: Offset(w.Epoch)}, nil
	case "expire":
		return Expire{Incarnation: id, Base: Offset(w.Base), Proof: Proof(w.Proof), Clean: w.Clean, Gone: w.Gone}, nil
	case "void":
		return Void{}, nil
	case "snapshot":
		return w.snapshotFromWire()
	}
	return nil, errUnknownKind
}

func (w *wireRoster) snapshotToWire(s Snapshot) {
	w.Kind, w.Base, w.Epoch, w.LastRemoval = "snapshot", int64(s.Base), int64(s.State.Epoch), int64(s.State.LastRemoval)
	for _, m := range s.State.Members {
		w.Members = append(w.Members, memberToWire(m))
	}
	for _, e := range s.State.Ended {
		w.Ended = append(w.Ended, string(e))
	}
	for _, r := range s.State.Ranges {
		w.Ranges = append(w.Ranges, rangeToWire(r))
	}
}

func (w wireRoster) snapshotFromWire() (RosterRecord, error) {
	if len(w.Ranges) != RangeCount {
		return nil, fmt.Errorf("%d ranges instead of %d", len(w.Ranges), RangeCount)
	}
	s := Snapshot{Base: Offset(w.Base)}
	s.State.Epoch = Offset(w.Epoch)
	s.State.LastRemoval = Offset(w.LastRemoval)
	for _, m := range w.Members {
		s.State.Members = append(s.State.Members, m.fromWire())
	}
	for _, e := range w.Ended {
		s.State.Ended = append(s.State.Ended, dotterelpulley.Incarnation(e))
	}
	for i, r := range w.Ranges {
		s.State.Ranges[i] = r.fromWire()
	}
	return s, nil
}

func memberToWire(m RosterMember) wireMember {
	return wireMember{
		Host:        string(m.Host),
		Incarnation: string(m.Incarnation),
		Peer:        string(m.Peer),
		Joined:      int64(m.Joined),
		Renewed:     int64(m.Renewed),
		RenewBase:   int64(m.RenewBase),
		Unrecorded:  m.Unrecorded,
		Draining:    m.Draining,
	}
}

func (w wireMember) fromWire() RosterMember {
	return RosterMember{
		Member: Member{
			Host:        dotterelpulley.HostID(w.Host),
			Incarnation: dotterelpulley.Incarnation(w.Incarnation),
			Peer:        dotterelpulley.Address(w.Peer),
		},
		Joined:     Offset(w.Joined),
		Renewed:    Offset(w.Renewed),
		RenewBase:  Offset(w.RenewBase),
		Unrecorded: w.Unrecorded,
		Draining:   w.Draining,
	}
}

func rangeToWire(s RangeState) wireRange {
	return wireRange{
		Holder:          string(s.Holder),
		Target:          string(s.Target),
		Previous:        string(s.Previous),
		Since:           int64(s.Since),
		UncertainBefore: s.UncertainBefore,
		UncertainUntil:  s.UncertainUntil,
	}
}

func (w wireRange) fromWire() RangeState {
	return RangeState{
		Holder:          dotterelpulley.Incarnation(w.Holder),
		Target:          dotterelpulley.Incarnation(w.Target),
		Previous:        dotterelpulley.Incarnation(w.Previous),
		Since:           Offset(w.Since),
		UncertainBefore: w.UncertainBefore,
		UncertainUntil:  w.UncertainUntil,
	}
}

// EncodeClaims encodes a group of claims for the log.
func EncodeClaims(record ClaimsRecord) ([]byte, error) {
	data, err := json.Marshal(wireClaims{
		ID:          string(record.ID),
		Incarnation: string(record.Incarnation),
		Sequence:    record.Sequence,
		Claimed:     hashesToWire(record.Claimed),
		Released:    hashesToWire(record.Released),
	})
	if err != nil {
		return nil, fmt.Errorf("encode claims %q: %w", record.ID, err)
	}
	return data, nil
}

// DecodeClaims decodes a group of claims from the log.
func DecodeClaims(data []byte) (ClaimsRecord, error) {
	var w wireClaims
	if err := json.Unmarshal(data, &w); err != nil {
		return ClaimsRecord{}, fmt.Errorf("decode claims: %w", err)
	}
	return ClaimsRecord{
		ID:          RecordID(w.ID),
		Incarnation: dotterelpulley.Incarnation(w.Incarnation),
		Sequence:    w.Sequence,
		Claimed:     hashesFromWire(w.Claimed),
		Released:    hashesFromWire(w.Released),
	}, nil
}

const hashSize = 8

func hashesToWire(hashes []KeyHash) []byte {
	var data []byte
	for _, h := range hashes {
		data = binary.BigEndian.AppendUint64(data, uint64(h))
	}
	return data
}

func hashesFromWire(data []byte) []KeyHash {
	var hashes []KeyHash
	for len(data) >= hashSize {
		hashes = append(hashes, KeyHash(binary.BigEndian.Uint64(data)))
		data = data[hashSize:]
	}
	return hashes
}
