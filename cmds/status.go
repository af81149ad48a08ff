package cmds

import (
	"context"
	"fmt"
	"io"

	"github.com/urfave/cli/v3"

	"snipeshed/wire"
)

func statusCommand() *cli.Command {
	return &cli.Command{
		Name:        "status",
		Usage:       "prints the ticket in force at every instance, endpoints and queues",
		Description: "Example: snipeshed status --address 127.0.0.1:8082",
		Flags:       operatorFlags(&cli.BoolFlag{Name: "json", Usage: "print JSON"}),
		Action: func(ctx context.Context, c *cli.Command) error {
			cl, err := newClient(c)
			if err != nil {
				return err
			}
			resp, err := cl.Status(ctx, &wire.StatusRequest{})
			if err != nil {
				return cl.callError(err)
			}
			if c.Bool("json") {
				return writeJSON(c.Root().Writer, resp)
			}
			return writeStatus(c.Root().Writer, resp)
		},
	}
}

func writeStatus(w io.Writer, s *wire.StatusResponse) error {
	store := "up"
	if !s.GetStoreUp() {
		store = "down"
	}
	fmt.Fprintf(w, "instance %s, ticket %d, store %s\n\n", s.GetInstance(), s.GetTicket(), store)
	rows := [][]string{{"INSTANCE", "DOMAIN", "STATE", "TICKET"}}
	for _, in := range s.GetInstances() {
		ticket := fmt.Sprint(in.GetTicket())
		if !in.GetReachable() {
			ticket = "no answer"
		}
		rows = append(rows, []string{in.GetId(), in.GetFailureDomain(), in.GetState(), ticket})
	}
	if err := writeTable(w, rows); err != nil {
		return err
	}
	if err := writeEndpoints(w, s.GetEndpoints()); err != nil {
		return err
	}
	return writeQueues(w, s.GetQueues())
}

func writeEndpoints(w io.Writer, endpoints []*wire.EndpointStatus) error {
	if len(endpoints) == 0 {
		return nil
	}
	fmt.Fprintln(w)
	rows := [][]string{{"ENDPOINT", "POOL", "OWNER", "STATE", "RUNNING", "KV USED"}}
	for _, e := range endpoints {
		used := ""
		if e.GetKvCapacity() > 0 {
			used = fmt.Sprintf("%d%%", percent*e.GetKvUsed()/e.GetKvCapacity())
		}
		rows = append(rows, []string{e.GetName(), e.GetPool(), e.GetOwner(), e.GetState(), fmt.Sprint(e.GetRunning()), used})
	}
	return writeTable(w, rows)
}

const percent = 100

func writeQueues(w io.Writer, queues []*wire.QueueStatus) error {
	if len(queues) == 0 {
		return nil
	}
	fmt.Fprintln(w)
	rows := [][]string{{"POOL", "RANK", "WAITING", "EXPECTED WAIT"}}
	for _, q := range queues {
		rows = append(rows, []string{q.GetPool(), q.GetRank(), fmt.Sprint(q.GetWaiting()), fmt.Sprintf("%d ms", q.GetExpectedWaitMs())})
	}
	return writeTable(w, rows)
}
