// Command cicada-standin runs stand-ins for the platform and for backend servers, so that
// the system can be tried out without them.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/jessevdk/go-flags"

	"cicadarouter/contract/platform"
	"cicadarouter/host/program"
	"cicadarouter/operator"
	"cicadarouter/record"
	"cicadarouter/standin"
)

func main() {
	os.Exit(program.RunCommands(&struct{}{}, "",
		program.Command{Name: "platform", Short: "the platform's store and host list", Data: &platformCommand{}},
		program.Command{Name: "servers", Short: "backend servers of one service", Data: &serversCommand{}},
		program.Command{Name: "passthrough", Short: "the baseline: a bare pass-through to backend servers", Data: &passthroughCommand{}},
		program.Command{Name: "hosted", Short: "a site on the hosted platform's protocol, with load and checks", Data: &hostedCommand{}},
		program.Command{Name: "records", Short: "print the records of backend servers", Data: &recordsCommand{}},
	))
}

var _ flags.Commander = (*platformCommand)(nil)

type platformCommand struct {
	Listen    string        `long:"listen" required:"yes" value-name:"IP:PORT" description:"address of the store"`
	HostsFile string        `long:"hosts" value-name:"FILE" description:"JSON list of hosts; the file is read again when it changes"`
	HostLag   time.Duration `long:"host-lag" default:"500ms" description:"delay after which changes of the host list become visible"`
}

// Execute implements flags.Commander.
func (c *platformCommand) Execute([]string) error {
	standIn := standin.NewPlatform()
	standIn.HostLag = c.HostLag
	ctx, stop := program.Signals()
	defer stop()
	if c.HostsFile != "" {
		go followHosts(ctx, standIn, c.HostsFile)
	}
	return serve(ctx, c.Listen, standIn.Handler())
}

// followHosts updates the host list whenever its file changes, until the context ends.
func followHosts(ctx context.Context, standIn *standin.Platform, file string) {
	const pollInterval = 200 * time.Millisecond
	var modified time.Time
	for ctx.Err() == nil {
		if info, err := os.Stat(file); err == nil && !info.ModTime().Equal(modified) {
			modified = info.ModTime()
			if hosts, err := readHosts(file); err == nil {
				standIn.SetHosts(hosts)
			}
		}
		time.Sleep(pollInterval)
	}
}

func readHosts(file string) ([]platform.Host, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	var hosts []platform.Host
	err = json.Unmarshal(data, &hosts)
	return hosts, err
}

// fleetOptions are the flags that describe a group of backend servers.
type fleetOptions struct {
	Service     string        `long:"service" required:"yes" description:"service that the servers belong to"`
	Domains     string        `long:"domains" required:"yes" value-name:"A,B,..." description:"failure domains, assigned to the servers in turn"`
	Count       int           `long:"count" required:"yes" description:"number of servers"`
	IP          string        `long:"ip" default:"127.0.0.1" description:"IP address of the servers"`
	BasePort    int           `long:"base-port" required:"yes" description:"port of the first server"`
	Slots       int           `long:"slots" default:"4" description:"number of requests that a server processes concurrently"`
	Connections int           `long:"connections" default:"130" description:"maximum number of connections of a server"`
	Work        time.Duration `long:"work" default:"2ms" description:"processing time of a request"`
	Unchecked   bool          `long:"unchecked" description:"servers don't check tokens"`
	ColdFor     time.Duration `long:"cold-for" default:"0s" description:"time for which a server is slow after its start"`
	ColdFactor  float64       `long:"cold-factor" default:"4" description:"factor by which a server is slower during that time"`
	ReportLag   time.Duration `long:"report-lag" default:"500ms" description:"delay of the reported loads"`
}

func (o fleetOptions) config() standin.FleetConfig {
	return standin.FleetConfig{
		ServerConfig: standin.ServerConfig{
			Service:        o.Service,
			Slots:          o.Slots,
			ChecksTokens:   !o.Unchecked,
			ServiceTime:    o.Work,
			ColdFor:        o.ColdFor,
			ColdFactor:     o.ColdFactor,
			ReportInterval: o.ReportLag,
		},
		Domains:     strings.Split(o.Domains, ","),
		Count:       o.Count,
		IP:          o.IP,
		BasePort:    o.BasePort,
		Connections: o.Connections,
	}
}

type serversCommand struct {
	fleetOptions
	Admin string `long:"admin" required:"yes" value-name:"IP:PORT" description:"address for controlling the servers"`
}

// Execute implements flags.Commander.
func (c *serversCommand) Execute([]string) error {
	fleet, err := standin.StartFleet(c.config())
	if err != nil {
		return err
	}
	defer fleet.Close()
	ctx, stop := program.Signals()
	defer stop()
	return serve(ctx, c.Admin, fleet.Handler())
}

type recordsCommand struct{ fleetOptions }

// Execute implements flags.Commander.
func (c *recordsCommand) Execute([]string) error {
	encoder := json.NewEncoder(os.Stdout)
	for _, server := range c.config().Records() {
		envelope, err := server.Encode(record.SchemaV2)
		if err != nil {
			return err
		}
		if err := encoder.Encode(operator.Document{Envelope: envelope}); err != nil {
			return err
		}
	}
	return nil
}

type passthroughCommand struct {
	fleetOptions
	Listen  string `long:"listen" required:"yes" value-name:"IP:PORT" description:"address for callers"`
	Balance string `long:"balance" choice:"hash" choice:"turn" default:"hash" description:"consistent hashing or round robin"`
}

// Execute implements flags.Commander.
func (c *passthroughCommand) Execute([]string) error {
	var addresses []string
	for _, server := range c.config().Records() {
		addresses = append(addresses, server.Address)
	}
	ctx, stop := program.Signals()
	defer stop()
	return serve(ctx, c.Listen, standin.NewPassthrough(addresses, standin.BalancePolicy(c.Balance)))
}

func serve(ctx context.Context, address string, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: handler}
	go func() {
		<-ctx.Done()
		_ = server.Close()
	}()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
