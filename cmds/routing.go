package cmds

import (
	"fmt"
	"io"
	"os"

	"github.com/urfave/cli/v3"

	"snipeshed/cmds/root"
	"snipeshed/conf"
	"snipeshed/core"
	"snipeshed/core/vet"
	"snipeshed/edge"
	"snipeshed/platform"
)

func routingFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "routing", Usage: "routing configuration of entry instances to check; prints one finding a line"},
		&cli.StringFlag{Name: "in-force", Usage: "routing configuration in force, with which that of --routing is compared"},
	}
}

// checkRouting prints the findings about the routing configuration, and returns an error if one of them is an error.
func checkRouting(c *cli.Command) error {
	path, inForcePath := c.String("routing"), c.String("in-force")
	if path == "" {
		if inForcePath != "" {
			return root.UsageError(c, "--in-force needs --routing")
		}
		return nil
	}
	opts, err := vetOptions(c.String("edge-settings"))
	if err != nil {
		return err
	}
	inForce, err := readInForce(inForcePath)
	if err != nil {
		return err
	}
	draft, findings, err := readRouting(path)
	if err != nil {
		return err
	}
	if draft != nil {
		checker := vet.New(draft, opts...)
		findings = append(findings, checker.Check()...)
		if inForce != nil {
			findings = append(findings, checker.Compare(inForce)...)
		}
	}
	return printFindings(c.Root().Writer, path, findings)
}

// vetOptions returns the options that follow from the settings of an entry instance.
func vetOptions(settingsPath string) ([]vet.Option, error) {
	if settingsPath == "" {
		return nil, nil
	}
	cfg, err := conf.LoadEdge(settingsPath)
	if err != nil {
		return nil, err
	}
	return []vet.Option{vet.WithBodyMemory(edge.BodyMemory(cfg))}, nil
}

func readRouting(path string) (*core.ConfigDraft, []core.Finding, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, nil, fmt.Errorf("routing configuration cannot be read; give the path of a readable JSON file: %w", err)
	}
	draft, findings := platform.Decoder{}.DecodeDraft(raw)
	return draft, findings, nil
}

// readInForce reads the configuration in force; only a malformed one is an error, since instances have accepted it.
func readInForce(path string) (*core.ConfigDraft, error) {
	if path == "" {
		return nil, nil
	}
	draft, findings, err := readRouting(path)
	if err != nil {
		return nil, err
	}
	if draft == nil {
		return nil, fmt.Errorf("%s: %s: %s", path, findings[0].Path, findings[0].Text)
	}
	return draft, nil
}

// printFindings prints one line for each finding and the number of each severity.
func printFindings(w io.Writer, path string, findings []core.Finding) error {
	counts := map[core.Severity]int{}
	for _, f := range findings {
		counts[f.Severity]++
		if _, err := fmt.Fprintf(w, "%s %s: %s\n", f.Severity, f.Path, f.Text); err != nil {
			return err
		}
	}
	if n := counts[core.SeverityError]; n > 0 {
		return fmt.Errorf("%s: routing configuration is not valid; errors: %d, warnings: %d", path, n, counts[core.SeverityWarning])
	}
	_, err := fmt.Fprintf(w, "%s: routing configuration is valid; warnings: %d, changes: %d\n",
		path, counts[core.SeverityWarning], counts[core.SeverityChange])
	return err
}
