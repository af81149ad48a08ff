package cmds

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/urfave/cli/v3"

	"snipeshed/conf"
	"snipeshed/examples"
	"snipeshed/stand/apprun"
	"snipeshed/stand/fleet"
	"snipeshed/stand/runner"
)

// Size and ports of the demo. Each instance uses three consecutive ports: for clients, peers and operators.
const (
	demoInstances    = 3
	demoStartTimeout = 20 * time.Second
	demoClientPort   = 8010
	demoPortStride   = 10
)

// Endpoint addresses that the example tickets name.
var (
	demoRunners = []string{
		"127.0.0.1:9101", "127.0.0.1:9102", "127.0.0.1:9103",
		"127.0.0.1:9111", "127.0.0.1:9112", "127.0.0.1:9113",
	}
	demoAppRunners = []string{"127.0.0.1:9201", "127.0.0.1:9211"}
)

func demoCommand() *cli.Command {
	return &cli.Command{
		Name:        "demo",
		Usage:       "runs simulated services and three instances with the example tickets in one process, until interrupted",
		Description: "Example: standin demo",
		Flags:       []cli.Flag{&cli.BoolFlag{Name: "once", Usage: "stop as soon as the tickets are in force and the endpoints accept calls"}},
		Action: func(ctx context.Context, c *cli.Command) error {
			return demo(ctx, c.Root().Writer, c.Root().ErrWriter, c.Bool("once"))
		},
	}
}

func demo(ctx context.Context, out, logs io.Writer, once bool) (err error) {
	f, err := fleet.New(fleet.WithLogs(logs))
	if err != nil {
		return err
	}
	defer func() {
		if closeErr := f.Close(); err == nil {
			err = closeErr
		}
	}()
	if err := startDemo(ctx, f); err != nil {
		return err
	}
	printDemo(out, f)
	if !once {
		<-ctx.Done()
	}
	return nil
}

func startDemo(ctx context.Context, f *fleet.Fleet) error {
	for _, addr := range demoRunners {
		if _, err := f.AddRunner(runner.WithAddr(addr)); err != nil {
			return err
		}
	}
	for _, addr := range demoAppRunners {
		if _, err := f.AddAppRunner(apprun.WithAddr(addr)); err != nil {
			return err
		}
	}
	for i := range demoInstances {
		port := demoClientPort + i*demoPortStride
		_, err := f.AddNode(func(s *conf.Settings) {
			s.ClientAddress = fmt.Sprintf("127.0.0.1:%d", port)
			s.PeerAddress = fmt.Sprintf("127.0.0.1:%d", port+1)
			s.OperatorAddress = fmt.Sprintf("127.0.0.1:%d", port+2)
		})
		if err != nil {
			return err
		}
	}
	if err := f.WaitReady(demoStartTimeout); err != nil {
		return err
	}
	for _, name := range []string{"kodusvahetus.json", "hashimoto.json"} {
		t, err := examples.Ticket(name)
		if err != nil {
			return err
		}
		t.Base = uint64(f.Nodes[0].TicketNumber())
		accepted, err := f.Nodes[0].Apply(ctx, t)
		if err != nil {
			return fmt.Errorf("apply %s: %w", name, err)
		}
		if err := f.WaitTicket(demoStartTimeout, accepted.GetNumber()); err != nil {
			return err
		}
	}
	return f.WaitAccepting(demoStartTimeout, len(demoRunners))
}

func printDemo(out io.Writer, f *fleet.Fleet) {
	fmt.Fprintf(out, "platform\t%s\n", f.Platform.URL())
	for _, n := range f.Nodes {
		fmt.Fprintf(out, "%s\tclients http://%s\toperators http://%s\tticket %d\n", n.ID, n.ClientAddress(), n.OperatorAddress(), n.TicketNumber())
	}
	fmt.Fprintf(out, "\nStream a generation:\n\n  %s\n\nStop with Ctrl-C.\n", examples.Curl(f.Nodes[0].ClientAddress()))
}
