package cmds

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"os"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"snipeshed/wire"
)

// readTicket reads a ticket from a JSON file or, for "-", from stdin.
func readTicket(path string, stdin io.Reader) (*wire.Ticket, error) {
	t := &wire.Ticket{}
	if err := readJSON(path, stdin, t); err != nil {
		return nil, err
	}
	if t.GetNumber() != 0 || t.GetAcceptedUnixMs() != 0 || t.GetFormat() != 0 {
		return nil, fmt.Errorf("%s: fields number, format and accepted_unix_ms are set on acceptance; leave them out", path)
	}
	return t, nil
}

// readJSON reads a message from a JSON file or, for "-", from stdin.
func readJSON(path string, stdin io.Reader, m proto.Message) error {
	var b []byte
	var err error
	if path == "-" {
		b, err = io.ReadAll(stdin)
	} else {
		b, err = os.ReadFile(path)
	}
	if err != nil {
		return fmt.Errorf("file cannot be read; give the path of a readable JSON file: %w", err)
	}
	if err := protojson.Unmarshal(b, m); err != nil {
		return fmt.Errorf("%s is not a valid %s; correct the JSON: %w", path, m.ProtoReflect().Descriptor().Name(), err)
	}
	return nil
}

// writeJSON prints a message as indented JSON in snake case.
func writeJSON(w io.Writer, m proto.Message) error {
	b, err := protojson.MarshalOptions{UseProtoNames: true}.Marshal(m)
	if err != nil {
		return err
	}
	// protojson randomizes its spaces on purpose; json.Indent makes the output stable.
	var out bytes.Buffer
	if err := json.Indent(&out, b, "", "  "); err != nil {
		return err
	}
	_, err = fmt.Fprintln(w, out.String())
	return err
}
