package cmds

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"github.com/urfave/cli/v3"

	"snipeshed/cmds/root"
	"snipeshed/core"
	"snipeshed/io/trace"
)

func explainCommand() *cli.Command {
	return &cli.Command{
		Name:        "explain",
		Usage:       "prints what the logs of all instances say of one request, in order",
		ArgsUsage:   "ID",
		Description: "Example: snipeshed explain 9c41d07be2a35f68 --logs /var/log/snipeshed",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "logs", Usage: "directory of log files; standard input is read without it"},
			&cli.BoolFlag{Name: "json", Usage: "print JSON"},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			if c.Args().Len() != 1 {
				return root.UsageError(c, "give the id of one request")
			}
			in, err := openLogs(c.String("logs"))
			if err != nil {
				return err
			}
			defer in.Close()
			t, err := trace.Read(in, core.AttemptID(c.Args().First()))
			if err != nil {
				return err
			}
			if c.Bool("json") {
				return json.NewEncoder(c.Root().Writer).Encode(t)
			}
			return t.Write(c.Root().Writer)
		},
	}
}

// logFiles reads several files as one stream.
type logFiles struct {
	io.Reader
	files []*os.File
}

// Close closes all files.
func (l *logFiles) Close() error {
	for _, f := range l.files {
		_ = f.Close() // opened for reading only
	}
	return nil
}

// openLogs returns the contents of all files of a directory, or standard input if dir is "".
func openLogs(dir string) (io.ReadCloser, error) {
	if dir == "" {
		return io.NopCloser(os.Stdin), nil
	}
	names, err := filepath.Glob(filepath.Join(dir, "*"))
	if err != nil || len(names) == 0 {
		return nil, fmt.Errorf("directory %q holds no log files; give the directory that contains the logs of the instances", dir)
	}
	l := &logFiles{}
	var readers []io.Reader
	for _, name := range names {
		f, err := os.Open(name)
		if err != nil {
			_ = l.Close()
			return nil, fmt.Errorf("open log: %w", err)
		}
		l.files = append(l.files, f)
		readers = append(readers, f)
	}
	l.Reader = io.MultiReader(readers...)
	return l, nil
}
