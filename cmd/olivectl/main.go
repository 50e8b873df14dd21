// Command olivectl asks the agent, and the instances that it runs, over H.248-style
// commands.
package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"text/tabwriter"

	"lapiscourse/internal/control"
	"lapiscourse/internal/net/h248"
)

const usage = `usage: olivectl [-agent ADDRESS] list | status NAME | drain NAME
`

func main() {
	agent := flag.String("agent", "127.0.0.1:2950", "address of the agent")
	flag.Usage = func() {
		fmt.Fprint(os.Stderr, usage)
		flag.PrintDefaults()
	}
	flag.Parse()
	if err := run(os.Stdout, *agent, flag.Args()); err != nil {
		fmt.Fprintln(os.Stderr, "olivectl:", err)
		os.Exit(1)
	}
}

func run(out io.Writer, agent string, args []string) error {
	ctx := context.Background()
	switch {
	case len(args) == 1 && args[0] == "list":
		c, err := control.Ask(ctx, agent, control.Audit("ROOT"))
		if err != nil {
			return err
		}
		w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
		_, _ = fmt.Fprintln(w, "NAME\tSTATE\tPID\tSTARTS")
		if s := h248.Find(c.Descriptors, "Statistics"); s != nil {
			for _, n := range s.Kids {
				_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\n", h248.Value(n.Kids, "name"), h248.Value(n.Kids, "state"),
					h248.Value(n.Kids, "pid"), h248.Value(n.Kids, "starts"))
			}
		}
		return w.Flush()
	case len(args) == 2 && args[0] == "status":
		return status(ctx, out, agent, args[1])
	case len(args) == 2 && args[0] == "drain":
		if _, err := control.Ask(ctx, agent, control.Drain("instance/"+args[1])); err != nil {
			return err
		}
		_, err := fmt.Fprintf(out, "%s drains\n", args[1])
		return err
	}
	return fmt.Errorf("%s", usage)
}

// status tells what the agent knows of an instance and, where the instance can be
// asked itself, its state and counters.
func status(ctx context.Context, out io.Writer, agent, name string) error {
	c, err := control.Ask(ctx, agent, control.Audit("instance/"+name))
	if err != nil {
		return err
	}
	for _, n := range c.Descriptors {
		for _, kid := range n.Kids {
			_, _ = fmt.Fprintf(out, "%s %s\n", kid.Name, kid.Value)
		}
	}
	admin := h248.Value(c.Descriptors, "oa/instance", "admin")
	if admin == "" || h248.Value(c.Descriptors, "oa/instance", "state") != "running" {
		return nil
	}
	c, err = control.Ask(ctx, admin, control.Audit("ROOT"))
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintf(out, "service %s\n", h248.Value(c.Descriptors, "Media", "TerminationState", "ServiceStates"))
	if s := h248.Find(c.Descriptors, "Statistics"); s != nil {
		for _, kid := range s.Kids {
			_, _ = fmt.Fprintf(out, "%s %s\n", kid.Name, kid.Value)
		}
	}
	return nil
}
