package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"cicadarouter/contract/objects"
	"cicadarouter/gateway"
	"cicadarouter/host/program"
	"cicadarouter/platform"
	"cicadarouter/poison"
)

// releaseCommand ends the quarantine of a request on a hosted platform.
type releaseCommand struct {
	globals *globals
	Args    struct {
		Fingerprint string `positional-arg-name:"FINGERPRINT" description:"fingerprint of the request, 32 hexadecimal digits"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *releaseCommand) Execute([]string) error {
	request, err := parseFingerprint(c.Args.Fingerprint)
	if err != nil {
		return &program.InputError{Cause: err}
	}
	ctx, cancel := callContext()
	defer cancel()
	released, err := release(ctx, platform.NewStore(c.globals.Store), request)
	if err != nil {
		return err
	}
	return c.globals.print(released, func(out io.Writer) {
		fmt.Fprintf(out, "released with %s; all hosts follow within seconds\n", strings.Join(released, ", "))
	})
}

func parseFingerprint(text string) (poison.Fingerprint, error) {
	var request poison.Fingerprint
	err := request.UnmarshalText([]byte(text))
	return request, err
}

// release ends the quarantine of a request in all objects that contain it, and returns
// the names of these objects.
func release(ctx context.Context, store objects.Store, request poison.Fingerprint) ([]string, error) {
	listing, err := store.List(ctx, gateway.Quarantines)
	if err != nil {
		return nil, eris.Wrap(err, "listing the quarantines")
	}
	var released []string
	for _, object := range listing.Objects {
		quarantine, err := gateway.ReadQuarantine(object.Spec)
		if err != nil {
			return released, eris.Wrap(err, object.Name)
		}
		if !quarantine.Release(request, time.Now()) {
			continue
		}
		if object.Spec, err = json.Marshal(quarantine); err != nil {
			return released, eris.Wrap(err, "encoding a quarantine")
		}
		if _, err := store.Put(ctx, object); err != nil {
			return released, eris.Wrapf(err, "writing the quarantine of %s; try again", object.Name)
		}
		released = append(released, object.Name)
	}
	if len(released) == 0 {
		return nil, eris.Errorf("request %s is not in quarantine", request)
	}
	return released, nil
}
