package main

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"cicadarouter/host/clock"
	"cicadarouter/host/program"
	"cicadarouter/platform/platformtest"
)

// hostedCommand runs a stand-in site with the hosted platform's protocol, sends load to
// the hosts and checks the responses that callers received.
type hostedCommand struct {
	Listen    string        `long:"listen" required:"yes" value-name:"IP:PORT" description:"address of the store"`
	IP        string        `long:"ip" default:"127.0.0.1" description:"IP address of the backend servers"`
	BasePort  int           `long:"base-port" required:"yes" description:"port of the first backend server"`
	Count     int           `long:"count" default:"4" description:"number of backend servers of each service"`
	Hosts     string        `long:"hosts" required:"yes" value-name:"IP:PORT,..." description:"addresses at which the hosts accept callers"`
	Callers   int           `long:"callers" default:"16" description:"number of callers"`
	Wait      time.Duration `long:"wait" default:"6s" description:"time for hosts to start before the load begins"`
	Duration  time.Duration `long:"duration" default:"14s" description:"duration of the load"`
	AwayAt    time.Duration `long:"store-away-at" default:"3s" description:"time after which the store starts to reject calls"`
	AwayFor   time.Duration `long:"store-away-for" default:"4s" description:"time for which the store rejects calls"`
	JoinAfter time.Duration `long:"join-at" default:"9s" description:"time after which a backend server joins"`
}

// ownershipCheckInterval is the interval of the check for keys that two servers hold.
const ownershipCheckInterval = 20 * time.Millisecond

// Execute implements flags.Commander.
func (c *hostedCommand) Execute([]string) error {
	ctx, stop := program.Signals()
	defer stop()
	site := platformtest.NewSite(c.IP, c.BasePort)
	if err := site.Start(ctx, c.Listen, c.Count); err != nil {
		return err
	}
	clock.Sleep(ctx, c.Wait)
	loading, end := context.WithTimeout(ctx, c.Duration)
	defer end()
	load := &platformtest.Load{Hosts: strings.Split(c.Hosts, ","), Callers: c.Callers}
	eventsDone := make(chan error, 1)
	go func() { eventsDone <- c.injectEvents(loading, ctx, site) }()
	violations := make(chan []string, 1)
	go func() { violations <- checkKeyOwnership(loading, site) }()
	load.Run(loading)
	report := load.Check(site.RunsByID())
	report.Violations = append(report.Violations, <-violations...)
	report.Violations = append(report.Violations, site.Overlaps()...)
	if err := <-eventsDone; err != nil {
		return err
	}
	used, keyed := site.ServersUsed()
	fmt.Printf("%d requests; answers by status: %v; %d of %d owners of keys used; %d calls to the store\n",
		report.Sent, report.Statuses, used, keyed, site.Store.Calls())
	for _, violation := range report.Violations {
		fmt.Println("BROKEN:", violation)
	}
	if len(report.Violations) > 0 {
		return eris.Errorf("%d guarantees violated", len(report.Violations))
	}
	fmt.Println("no promise was broken")
	return nil
}

// injectEvents makes the store unavailable for some time, then adds a backend server.
func (c *hostedCommand) injectEvents(loading, serving context.Context, site *platformtest.Site) error {
	clock.Sleep(loading, c.AwayAt)
	site.Store.SetFaults(platformtest.Faults{RejectCalls: true})
	fmt.Println("the store turns calls away")
	clock.Sleep(loading, c.AwayFor)
	site.Store.SetFaults(platformtest.Faults{})
	fmt.Println("the store is back")
	clock.Sleep(loading, c.JoinAfter-c.AwayAt-c.AwayFor)
	fmt.Println("a backend server joins")
	return site.AddKeyed(serving)
}

// checkKeyOwnership checks until the context ends that no two servers hold the same key, and
// returns the violations.
func checkKeyOwnership(ctx context.Context, site *platformtest.Site) []string {
	var violations []string
	for ctx.Err() == nil {
		if key, held := site.KeyWithTwoHolders(); held {
			violations = append(violations, fmt.Sprintf("key %d is held by two servers", key))
		}
		clock.Sleep(ctx, ownershipCheckInterval)
	}
	return violations
}
