package fields

import (
	"fmt"

	"google.golang.org/protobuf/encoding/protowire"
)

// Number is the number of a field in a message.
type Number int32

// AppendNumber appends a varint field.
func AppendNumber(b []byte, field Number, value uint64) []byte {
	return protowire.AppendVarint(protowire.AppendTag(b, protowire.Number(field), protowire.VarintType), value)
}

// AppendBytes appends a length-delimited field.
func AppendBytes(b []byte, field Number, value []byte) []byte {
	return protowire.AppendBytes(protowire.AppendTag(b, protowire.Number(field), protowire.BytesType), value)
}

// Each calls the function of its type for each varint or length-delimited field, and skips fields of other types.
func Each(b []byte, onNumber func(Number, uint64), onBytes func(Number, []byte) error) error {
	for len(b) > 0 {
		field, kind, n := protowire.ConsumeTag(b)
		if n < 0 {
			return fmt.Errorf("decode field: %w", protowire.ParseError(n))
		}
		b = b[n:]
		n, err := decodeField(Number(field), kind, b, onNumber, onBytes)
		if err != nil {
			return err
		}
		b = b[n:]
	}
	return nil
}

// decodeField passes the value of one field to the function of its type and returns the length of the value.
func decodeField(field Number, kind protowire.Type, b []byte, onNumber func(Number, uint64), onBytes func(Number, []byte) error) (int, error) {
	n := protowire.ConsumeFieldValue(protowire.Number(field), kind, b)
	if n < 0 {
		return 0, fmt.Errorf("decode field %d: %w", field, protowire.ParseError(n))
	}
	if kind == protowire.VarintType {
		value, _ := protowire.ConsumeVarint(b)
		onNumber(field, value)
	}
	if kind == protowire.BytesType {
		value, _ := protowire.ConsumeBytes(b)
		if err := onBytes(field, value); err != nil {
			return 0, fmt.Errorf("decode field %d: %w", field, err)
		}
	}
	return n, nil
}
