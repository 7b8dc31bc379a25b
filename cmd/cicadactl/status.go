package main

import (
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"cicadarouter/report"
)

type statusCommand struct{ globals *globals }

// Execute implements flags.Commander.
func (c *statusCommand) Execute([]string) error {
	ctx, cancel := callContext()
	defer cancel()
	status, err := c.globals.client().Status(ctx)
	if err != nil {
		return err
	}
	return c.globals.print(status, func(out io.Writer) {
		fmt.Fprintf(out, "newest configuration: version %d\n", status.Config)
		fmt.Fprintln(out, "DOMAIN\tIN FORCE\tVERSION\tDAEMONS\tLAGGING")
		for _, domain := range status.Domains {
			fmt.Fprintf(out, "%s\t%t\t%d\t%d of %d\t%s\n", domain.Domain, domain.InForce, domain.Config,
				domain.Daemons, domain.Expected, strings.Join(domain.Lagging, ", "))
		}
	})
}

type reportCommand struct {
	globals *globals
	HTML    string `long:"html" value-name:"FILE" description:"write the report as an HTML page to this file"`
}

// Execute implements flags.Commander.
func (c *reportCommand) Execute([]string) error {
	ctx, cancel := callContext()
	defer cancel()
	lines, err := c.globals.client().Burn(ctx, time.Now())
	if err != nil {
		return err
	}
	if c.HTML != "" {
		return writePage(c.HTML, lines)
	}
	if c.globals.Output == "json" {
		return c.globals.print(lines, nil)
	}
	return report.WriteText(os.Stdout, lines)
}

func writePage(path string, lines []report.ServiceBurn) error {
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	if err := report.WriteHTML(file, lines); err != nil {
		_ = file.Close()
		return err
	}
	return file.Close()
}
