package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"cicadarouter/contract/platform"
	"cicadarouter/contract/platform/httpstore"
	"cicadarouter/host/program"
	"cicadarouter/operator"
	"cicadarouter/record"
)

// callTimeout bounds the store calls of every subcommand except watch.
const callTimeout = 15 * time.Second

func commands(shared *globals) []program.Command {
	return []program.Command{
		{Name: "validate", Short: "check records without a store", Long: "Checks files of records one by one and against each other.", Data: &validateCommand{globals: shared}},
		{Name: "apply", Short: "write records", Long: "Checks all records, then writes those that differ. Nothing is written if anything is wrong.", Data: &applyCommand{globals: shared}},
		{Name: "diff", Short: "compare records with those in force", Long: "Shows what apply would change.", Data: &diffCommand{globals: shared}},
		{Name: "get", Short: "print one record", Long: "Prints a record with its version, ready to edit and apply.", Data: &getCommand{globals: shared}},
		{Name: "list", Short: "list records", Long: "Lists the records of a kind, or all.", Data: &listCommand{globals: shared}},
		{Name: "delete", Short: "delete a record", Long: "Deletes a record, if it is still at the version given.", Data: &deleteCommand{globals: shared}},
		{Name: "status", Short: "where the configuration is in force", Long: "Shows for each failure domain which configuration all its daemons have in force, and who lags.", Data: &statusCommand{globals: shared}},
		{Name: "report", Short: "service-level burn", Long: "Shows how fast each service spends the budget of its objectives, by failure domain.", Data: &reportCommand{globals: shared}},
		{Name: "hosted", Short: "state on a hosted platform", Long: "Shows what the store of a hosted platform holds: configuration, servers by service, who controls and owns which keys, which services are divided by priority. With --metrics also by which fractions, as a host applies them.", Data: &hostedCommand{globals: shared}},
		{Name: "release", Short: "let a request pass that is in quarantine", Long: "Ends the quarantine of a request under which servers ended, named by its fingerprint as in 'hosted' and in the hosts' logs, on a hosted platform. Do so once the fault in the servers is fixed.", Data: &releaseCommand{globals: shared}},
		{Name: "logs", Short: "outcomes of requests, from the hosts' logs", Long: "Reads the JSON lines of any number of hosts (files, folders, - for standard input) in one pass, and shows outcomes over time, by service, key, server and host, and who controlled keys; with --request the events of one request.", Data: &logsCommand{globals: shared}},
		{Name: "watch", Short: "print changes as they come", Long: "Prints each change of a record until interrupted.", Data: &watchCommand{globals: shared}},
	}
}

func (g *globals) store() platform.Store { return httpstore.New(g.Store, "operator") }

func (g *globals) client() *operator.Client { return operator.NewClient(g.store()) }

func callContext() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), callTimeout)
}

func (g *globals) print(value any, table func(out io.Writer)) error {
	if g.Output == "json" {
		encoder := json.NewEncoder(os.Stdout)
		encoder.SetIndent("", "  ")
		return encoder.Encode(value)
	}
	writer := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	table(writer)
	return writer.Flush()
}

type fileArgs struct {
	Files []string `positional-arg-name:"FILE" required:"1" description:"JSON files, or - for standard input"`
}

func readFiles(files []string) ([]operator.Document, error) {
	var documents []operator.Document
	for _, file := range files {
		read, err := readFile(file)
		if err != nil {
			return nil, &program.InputError{Cause: err}
		}
		documents = append(documents, read...)
	}
	return documents, nil
}

func readFile(file string) ([]operator.Document, error) {
	if file == "-" {
		return operator.ReadDocuments("standard input", os.Stdin)
	}
	in, err := os.Open(file)
	if err != nil {
		return nil, err
	}
	defer in.Close()
	return operator.ReadDocuments(file, in)
}

type validateCommand struct {
	globals *globals
	Args    fileArgs `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *validateCommand) Execute([]string) error {
	documents, err := readFiles(c.Args.Files)
	if err != nil {
		return err
	}
	warnings, err := operator.Check(documents, nil)
	if err != nil {
		return &program.InputError{Cause: err}
	}
	warn(warnings)
	fmt.Printf("%d records are valid\n", len(documents))
	return nil
}

func warn(warnings []string) {
	for _, warning := range warnings {
		fmt.Fprintln(os.Stderr, "warning: "+warning)
	}
}

type applyCommand struct {
	globals *globals
	DryRun  bool     `long:"dry-run" description:"check and compare the records, but write nothing"`
	Replace bool     `long:"replace" description:"overwrite the stored record, whatever its version"`
	Args    fileArgs `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *applyCommand) Execute([]string) error {
	return applyFiles(c.globals, c.Args.Files, operator.Options{DryRun: c.DryRun, Replace: c.Replace}, false)
}

type diffCommand struct {
	globals *globals
	Args    fileArgs `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *diffCommand) Execute([]string) error {
	return applyFiles(c.globals, c.Args.Files, operator.Options{DryRun: true, Replace: true}, true)
}

func applyFiles(shared *globals, files []string, options operator.Options, showDiff bool) error {
	documents, err := readFiles(files)
	if err != nil {
		return err
	}
	ctx, cancel := callContext()
	defer cancel()
	changes, warnings, err := shared.client().Apply(ctx, documents, options)
	if err != nil {
		return asInputError(err)
	}
	warn(warnings)
	return shared.print(changes, func(out io.Writer) {
		for _, change := range changes {
			action := string(change.Action)
			if options.DryRun {
				action += " (dry run)"
			}
			fmt.Fprintf(out, "%s\t%s\tversion %d\n", change.Ref, action, change.Version)
			if showDiff || options.DryRun {
				for _, line := range change.Diff {
					fmt.Fprintf(out, "  %s\n", line)
				}
			}
		}
	})
}

// asInputError marks invalid records as an error in the operator's input.
func asInputError(err error) error {
	var check *record.ValidationError
	var field *record.FieldError
	if errors.As(err, &check) || errors.As(err, &field) {
		return &program.InputError{Cause: err}
	}
	return err
}

type refArgs struct {
	Ref string `positional-arg-name:"KIND/NAME" required:"yes" description:"for example service/results"`
}

func (a refArgs) parse() (record.Ref, error) {
	kind, name, ok := strings.Cut(a.Ref, "/")
	if !ok || kind == "" || name == "" {
		return record.Ref{}, &program.InputError{Cause: &record.FieldError{Field: "KIND/NAME", Value: a.Ref, Fix: "must be a kind and a name, such as service/results"}}
	}
	return record.Ref{Kind: record.Kind(kind), Name: name}, nil
}

type getCommand struct {
	globals *globals
	Schema  string  `long:"schema" choice:"v1" choice:"v2" description:"convert to this schema version"`
	Args    refArgs `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *getCommand) Execute([]string) error {
	ref, err := c.Args.parse()
	if err != nil {
		return err
	}
	ctx, cancel := callContext()
	defer cancel()
	object, err := c.globals.client().Get(ctx, ref)
	if err != nil {
		return err
	}
	if c.Schema != "" {
		object.Envelope, err = operator.Convert(object.Envelope, record.Schema(c.Schema))
		if err != nil {
			return asInputError(err)
		}
	}
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", "  ")
	return encoder.Encode(object)
}

type listCommand struct {
	globals *globals
	Args    struct {
		Kind string `positional-arg-name:"KIND" description:"service, server, page or lost"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *listCommand) Execute([]string) error {
	ctx, cancel := callContext()
	defer cancel()
	objects, err := c.globals.client().List(ctx, record.Kind(c.Args.Kind))
	if err != nil {
		return err
	}
	return c.globals.print(objects, func(out io.Writer) {
		fmt.Fprintln(out, "RECORD\tSCHEMA\tVERSION\tSUMMARY")
		for _, object := range objects {
			fmt.Fprintf(out, "%s\t%s\t%d\t%s\n", object.Ref(), object.Schema, object.Version, operator.Summary(object.Envelope))
		}
	})
}

type deleteCommand struct {
	globals *globals
	Version uint64  `long:"version" required:"yes" description:"version printed by get"`
	Args    refArgs `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *deleteCommand) Execute([]string) error {
	ref, err := c.Args.parse()
	if err != nil {
		return err
	}
	ctx, cancel := callContext()
	defer cancel()
	if err := c.globals.client().Delete(ctx, ref, c.Version); err != nil {
		return asInputError(err)
	}
	fmt.Println(ref, "deleted")
	return nil
}

type watchCommand struct{ globals *globals }

// Execute implements flags.Commander.
func (c *watchCommand) Execute([]string) error {
	const wait = 20 * time.Second
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	store := c.globals.store()
	snapshot, err := store.List(ctx)
	if err != nil {
		return err
	}
	for {
		changes, err := store.Watch(ctx, snapshot.Revision, wait)
		if err != nil {
			return err
		}
		snapshot.Revision = changes.Revision
		for _, object := range changes.Objects {
			action := "changed"
			if object.Deleted {
				action = "deleted"
			}
			fmt.Printf("%s %s version %d %s\n", object.Ref(), action, object.Version, operator.Summary(object.Envelope))
		}
	}
}
