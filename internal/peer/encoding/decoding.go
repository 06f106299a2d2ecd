package encoding

// This file defines Unmarshal.

import (
	"fmt"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
)

const (
	// maxFields bounds the fields of a message and of the messages in it: an empty one takes two bytes, and a
	// hundred when it is decoded.
	maxFields     = 1 << 17
	bytesPerField = 8 // of a list of numbers
)

// Unmarshal decodes a message of another instance. One that would take much more memory than it has bytes is an error.
func Unmarshal(data []byte, m proto.Message) error {
	if n := countFields(data, m.ProtoReflect().Descriptor(), maxFields+1); n > maxFields {
		return fmt.Errorf("decoding %s: got over %d fields in %d bytes", m.ProtoReflect().Descriptor().FullName(), maxFields, len(data))
	}
	return proto.Unmarshal(data, m)
}

// countFields returns the number of fields of a message and of those in it, or at least most if there are more. It stops
// at bytes that are no field, at which the decoder fails.
func countFields(data []byte, d protoreflect.MessageDescriptor, most int) int {
	n := 0
	for len(data) > 0 && n < most {
		number, kind, size := protowire.ConsumeTag(data)
		if size < 0 {
			return n
		}
		data = data[size:]
		n++
		size = protowire.ConsumeFieldValue(number, kind, data)
		if size < 0 {
			return n
		}
		if field := d.Fields().ByNumber(number); field != nil && kind == protowire.BytesType {
			value, _ := protowire.ConsumeBytes(data)
			n += countInside(value, field, most-n)
		}
		data = data[size:]
	}
	return n
}

// countInside returns the number of fields in the value of a field.
func countInside(value []byte, field protoreflect.FieldDescriptor, most int) int {
	switch field.Kind() {
	case protoreflect.MessageKind:
		return countFields(value, field.Message(), most)
	case protoreflect.StringKind, protoreflect.BytesKind:
		return 0
	default: // a list of numbers
		return len(value) / bytesPerField
	}
}
