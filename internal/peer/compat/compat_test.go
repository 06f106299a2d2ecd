// Package compat tests that instances of an older and a newer build read each other's messages.
package compat

// This file compares the messages between instances with those of the builds before.

import (
	"bytes"
	"flag"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/reflect/protoreflect"

	"github.com/jacinthstile/jacinthstile/internal/limit/limitpb"
	"github.com/jacinthstile/jacinthstile/internal/peer/method"
	"github.com/jacinthstile/jacinthstile/internal/peer/peerpb"
	"github.com/jacinthstile/jacinthstile/internal/result/code"
	"github.com/jacinthstile/jacinthstile/internal/stage/stagepb"
	"github.com/jacinthstile/jacinthstile/internal/ticket/ticketpb"
)

const (
	snapshotFile = "testdata/messages.txt"
	sources      = "../.." // folder of the packages with messages
)

var add = flag.Bool("add", false, "add new lines to the list of what instances send to each other")

// files returns all files of messages between instances.
func files() []protoreflect.FileDescriptor {
	return []protoreflect.FileDescriptor{
		limitpb.File_internal_limit_limitpb_limit_proto, peerpb.File_internal_peer_peerpb_peer_proto,
		stagepb.File_internal_stage_stagepb_stage_proto, ticketpb.File_internal_ticket_ticketpb_ticket_proto,
	}
}

// TestSentFieldsStay guards against a field, a value, a method or a result code between instances that changes its
// number, its name or its type, or is removed, while instances of the build before still send it.
func TestSentFieldsStay(t *testing.T) {
	data, err := os.ReadFile(snapshotFile)
	if err != nil {
		t.Fatal(err)
	}
	sent, current := lines(data), snapshot()
	for _, line := range sent {
		if !slices.Contains(current, line) {
			t.Errorf("got no %q, which instances of builds before send to this one and read from it: "+
				"give a new meaning a new name and number, and keep the old ones", line)
		}
	}
	if t.Failed() {
		return
	}
	if *add {
		if err := os.WriteFile(snapshotFile, []byte(strings.Join(current, "\n")+"\n"), 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	for _, line := range current {
		if !slices.Contains(sent, line) {
			t.Errorf("%s lacks %q: see that instances which do not know it work beside this one, say in docs/design/upgrades.md what "+
				"they make of it, and run: go test ./internal/peer/compat -args -add", snapshotFile, line)
		}
	}
}

// TestAllMessagesAreListed guards against a file of messages that no snapshot holds.
func TestAllMessagesAreListed(t *testing.T) {
	g := NewWithT(t)
	var listed, found []string
	for _, f := range files() {
		listed = append(listed, strings.TrimPrefix(f.Path(), "internal/"))
	}
	err := filepath.WalkDir(sources, func(path string, _ fs.DirEntry, err error) error {
		if filepath.Ext(path) == ".proto" {
			relative, _ := filepath.Rel(sources, path)
			found = append(found, filepath.ToSlash(relative))
		}
		return err
	})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(listed).To(ConsistOf(found))
}

func lines(data []byte) []string {
	return strings.Split(string(bytes.TrimSpace(data)), "\n")
}

// snapshot returns a line for each method, result code, message, field and value.
func snapshot() []string {
	var list []string
	for m := method.Pulse; !strings.HasPrefix(m.String(), "kind("); m++ {
		list = append(list, fmt.Sprintf("method %s = %d", m, uint32(m)))
	}
	for _, c := range code.All() {
		list = append(list, fmt.Sprintf("code %s = %d status %d", c, int(c), c.Status()))
	}
	for _, f := range files() {
		list = append(list, messages(f.Messages())...)
		list = append(list, values(f.Enums())...)
	}
	slices.Sort(list)
	return list
}

func messages(all protoreflect.MessageDescriptors) []string {
	var list []string
	for i := range all.Len() {
		m := all.Get(i)
		list = append(list, fmt.Sprintf("message %s", m.FullName()))
		for k := range m.Fields().Len() {
			list = append(list, describe(m.Fields().Get(k)))
		}
		list = append(list, messages(m.Messages())...)
		list = append(list, values(m.Enums())...)
	}
	return list
}

// describe returns the line of a field: name, number, label and type.
func describe(f protoreflect.FieldDescriptor) string {
	kind := f.Kind().String()
	switch {
	case f.Message() != nil:
		kind = string(f.Message().FullName())
	case f.Enum() != nil:
		kind = string(f.Enum().FullName())
	}
	line := fmt.Sprintf("field %s = %d %s %s", f.FullName(), f.Number(), f.Cardinality(), kind)
	if o := f.ContainingOneof(); o != nil {
		line += fmt.Sprintf(" of %s", o.Name())
	}
	return line
}

func values(all protoreflect.EnumDescriptors) []string {
	var list []string
	for i := range all.Len() {
		e := all.Get(i)
		for k := range e.Values().Len() {
			v := e.Values().Get(k)
			list = append(list, fmt.Sprintf("value %s.%s = %d", e.FullName(), v.Name(), v.Number()))
		}
	}
	return list
}
