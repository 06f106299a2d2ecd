// Package encoding encodes and decodes the messages between instances.
package encoding

// This file defines Marshal.

import (
	"strings"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
)

// Marshal encodes a message. Texts of callers and of the store may be no UTF-8, with which a message
// cannot be encoded: their bytes that are no text are replaced in a copy, so that the rest is sent.
func Marshal(m proto.Message) ([]byte, error) {
	data, err := proto.Marshal(m)
	if err == nil {
		return data, nil
	}
	m = proto.Clone(m)
	repair(m.ProtoReflect())
	return proto.Marshal(m)
}

// repair makes all strings of a message valid.
func repair(m protoreflect.Message) {
	m.Range(func(field protoreflect.FieldDescriptor, v protoreflect.Value) bool {
		switch {
		case field.IsMap():
		case field.IsList():
			repairList(field, v.List())
		case field.Kind() == protoreflect.StringKind:
			m.Set(field, valid(v))
		case field.Kind() == protoreflect.MessageKind:
			repair(v.Message())
		}
		return true
	})
}

func repairList(field protoreflect.FieldDescriptor, list protoreflect.List) {
	for i := range list.Len() {
		switch field.Kind() {
		case protoreflect.StringKind:
			list.Set(i, valid(list.Get(i)))
		case protoreflect.MessageKind:
			repair(list.Get(i).Message())
		}
	}
}

func valid(v protoreflect.Value) protoreflect.Value {
	return protoreflect.ValueOfString(strings.ToValidUTF8(v.String(), "\uFFFD"))
}
