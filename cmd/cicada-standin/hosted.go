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

// hostedCommand runs a site on the hosted platform's protocol, puts load on its
// hosts, and checks what callers were told.
type hostedCommand struct {
	Listen    string        `long:"listen" required:"yes" value-name:"IP:PORT" description:"address of the store"`
	IP        string        `long:"ip" default:"127.0.0.1" description:"IP number of the backend servers"`
	BasePort  int           `long:"base-port" required:"yes" description:"first port of the backend servers"`
	Count     int           `long:"count" default:"4" description:"backend servers a service"`
	Hosts     string        `long:"hosts" required:"yes" value-name:"IP:PORT,..." description:"where the hosts take callers"`
	Callers   int           `long:"callers" default:"16" description:"callers"`
	Wait      time.Duration `long:"wait" default:"6s" description:"time before the load, in which hosts start"`
	Duration  time.Duration `long:"duration" default:"14s" description:"length of the load"`
	AwayAt    time.Duration `long:"store-away-at" default:"3s" description:"when the store turns calls away"`
	AwayFor   time.Duration `long:"store-away-for" default:"4s" description:"for how long"`
	JoinAfter time.Duration `long:"join-at" default:"9s" description:"when a backend server joins"`
}

// heldTwiceEvery is how often the servers are looked at for keys held twice.
const heldTwiceEvery = 20 * time.Millisecond

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
	joined := make(chan error, 1)
	go func() { joined <- c.trouble(loading, ctx, site) }()
	held := make(chan []string, 1)
	go func() { held <- watchKeys(loading, site) }()
	load.Run(loading)
	report := load.Check(site.RunsByID())
	report.Violations = append(report.Violations, <-held...)
	report.Violations = append(report.Violations, site.Overlaps()...)
	if err := <-joined; err != nil {
		return err
	}
	used, keyed := site.ServersUsed()
	fmt.Printf("%d requests; answers by status: %v; %d of %d owners of keys used; %d calls to the store\n",
		report.Sent, report.Statuses, used, keyed, site.Store.Calls())
	for _, broken := range report.Violations {
		fmt.Println("BROKEN:", broken)
	}
	if len(report.Violations) > 0 {
		return eris.Errorf("%d promises broken", len(report.Violations))
	}
	fmt.Println("no promise was broken")
	return nil
}

// trouble takes the store away for a while and lets a server join.
func (c *hostedCommand) trouble(loading, serving context.Context, site *platformtest.Site) error {
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

func watchKeys(ctx context.Context, site *platformtest.Site) []string {
	var broken []string
	for ctx.Err() == nil {
		if key, held := site.KeyWithTwoHolders(); held {
			broken = append(broken, fmt.Sprintf("key %d is held by two servers", key))
		}
		clock.Sleep(ctx, heldTwiceEvery)
	}
	return broken
}
