package state_test

import (
	"errors"
	"os"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/encoding/prototext"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protodesc"
	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/types/descriptorpb"
	"google.golang.org/protobuf/types/dynamicpb"

	"snipeshed/core/state"
	"snipeshed/wire"
)

// withUnknownField adds a field that this version does not know to a message.
func withUnknownField[M proto.Message](m M) M {
	b := protowire.AppendTag(m.ProtoReflect().GetUnknown(), 1000, protowire.VarintType)
	m.ProtoReflect().SetUnknown(protowire.AppendVarint(b, 7))
	return m
}

// Guards against a ticket that is reported as in force although this version supports only a part of it, whether the ticket
// arrives by itself or in a snapshot.
func TestNewerTickets(t *testing.T) {
	for name, c := range map[string]struct {
		change    func(*wire.Ticket)
		supported uint32
		refused   bool
	}{
		"unchanged":              {func(*wire.Ticket) {}, 0, false},
		"field of a team":        {func(t *wire.Ticket) { withUnknownField(t.GetItems()[0].GetTeam()) }, 0, true},
		"field of a key":         {func(t *wire.Ticket) { withUnknownField(t.GetItems()[0].GetTeam().GetKeys()[0]) }, 0, true},
		"kind of item":           {func(t *wire.Ticket) { t.Items[0] = withUnknownField(&wire.Item{}) }, 0, true},
		"second kind in an item": {func(t *wire.Ticket) { withUnknownField(t.GetItems()[0]) }, 0, true},
		"declared format":        {func(t *wire.Ticket) { t.Format = 1 }, 0, true},
		"known format":           {func(t *wire.Ticket) { t.Format = 1 }, 1, false},
		"undeclared field":       {func(t *wire.Ticket) { t.Format = 1; withUnknownField(t.GetItems()[0].GetTeam()) }, 1, true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			sent := ticket(1, team("a", 1))
			c.change(sent)
			snap := &wire.Snapshot{Number: 1, Entries: []*wire.Entry{{Item: sent.GetItems()[0], SetBy: 1, Format: sent.GetFormat()}}}
			for _, apply := range []func(*state.State) error{
				func(s *state.State) error { return s.Apply(sent) },
				func(s *state.State) error { return s.Load(snap) },
			} {
				s := state.New(state.WithFormat(c.supported))
				err := apply(s)
				var e *state.FormatError
				is.Equal(errors.As(err, &e), c.refused)
				is.Equal(state.NeedsNewer(err), c.refused)
				is.Equal(s.Number() == 0, c.refused)
				if !c.refused {
					is.True(proto.Equal(s.Snapshot(), snap)) // the snapshot keeps the item's format
				}
			}
		})
	}
}

// Guards against an older instance that drops unknown fields when it decodes and encodes a ticket.
func TestNewerFieldsAreKept(t *testing.T) {
	is := is.New(t)
	sent := ticket(1, team("a", 1), withUnknownField(&wire.Item{}))
	withUnknownField(sent.GetItems()[0].GetTeam())
	b, err := state.EncodeTicket(sent)
	is.NoErr(err)
	got, err := state.DecodeTicket(state.TicketKey(1), b)
	is.NoErr(err)
	is.True(proto.Equal(got, sent))
}

// Guards against a ticket that declares a lower format than its fields, at any depth, require.
func TestRequiredFormat(t *testing.T) {
	is := is.New(t)
	field := func(name string, number int32, kind descriptorpb.FieldDescriptorProto_Type, since uint32) *descriptorpb.FieldDescriptorProto {
		f := &descriptorpb.FieldDescriptorProto{
			Name: proto.String(name), Number: proto.Int32(number), Type: kind.Enum(),
			Label: descriptorpb.FieldDescriptorProto_LABEL_OPTIONAL.Enum(), Options: &descriptorpb.FieldOptions{},
		}
		proto.SetExtension(f.Options, wire.E_Since, since)
		if kind == descriptorpb.FieldDescriptorProto_TYPE_MESSAGE {
			f.Label, f.TypeName = descriptorpb.FieldDescriptorProto_LABEL_REPEATED.Enum(), proto.String(".M")
		}
		return f
	}
	file, err := protodesc.NewFile(&descriptorpb.FileDescriptorProto{
		Name: proto.String("m.proto"), Syntax: proto.String("proto3"),
		MessageType: []*descriptorpb.DescriptorProto{{Name: proto.String("M"), Field: []*descriptorpb.FieldDescriptorProto{
			field("old", 1, descriptorpb.FieldDescriptorProto_TYPE_INT64, 0),
			field("new", 2, descriptorpb.FieldDescriptorProto_TYPE_INT64, 3),
			field("inner", 3, descriptorpb.FieldDescriptorProto_TYPE_MESSAGE, 2),
		}}},
	}, nil)
	is.NoErr(err)
	d := file.Messages().Get(0)
	for text, want := range map[string]uint32{"": 0, "old: 1": 0, "new: 1": 3, "inner {}": 2, "old: 1 inner { inner { new: 1 } }": 3} {
		m := dynamicpb.NewMessage(d)
		is.NoErr(prototext.Unmarshal([]byte(text), m))
		is.Equal(state.RequiredFormat(m), want)
	}
}

// unversioned lists the fields that are newer than the released schema but need no format: either an older instance
// refuses each ticket that sets the field anyway, or the field is the format itself.
var unversioned = map[protoreflect.FullName]bool{"snipeshed.wire.Ticket.format": true}

// Guards against a new ticket field without the field option since: a ticket with it would be accepted while older
// instances run, and each of them would stop serving.
func TestNewFieldsHaveFormats(t *testing.T) {
	is := is.New(t)
	b, err := os.ReadFile("../../proto/released.binpb")
	is.NoErr(err)
	set := &descriptorpb.FileDescriptorSet{}
	is.NoErr(proto.Unmarshal(b, set))
	released, err := protodesc.NewFiles(set)
	is.NoErr(err)
	seen := map[protoreflect.FullName]bool{}
	var visit func(protoreflect.MessageDescriptor)
	visit = func(m protoreflect.MessageDescriptor) {
		if seen[m.FullName()] {
			return
		}
		seen[m.FullName()] = true
		for i := range m.Fields().Len() {
			f := m.Fields().Get(i)
			if _, err := released.FindDescriptorByName(f.FullName()); err != nil && !unversioned[f.FullName()] && state.FieldFormat(f) == 0 {
				t.Errorf("field %s is new and has no option since", f.FullName())
			}
			if state.FieldFormat(f) > state.Format {
				t.Errorf("field %s is of format %d, but state.Format is %d", f.FullName(), state.FieldFormat(f), state.Format)
			}
			if f.Message() != nil {
				visit(f.Message())
			}
		}
	}
	visit((&wire.Ticket{}).ProtoReflect().Descriptor())
	is.True(len(seen) > 5)
}
