//go:build wireinject

package host

import (
	"github.com/google/wire"

	"cicadarouter/directory"
	"cicadarouter/domain"
	"cicadarouter/host/clock"
	"cicadarouter/link"
	"cicadarouter/ownership"
	"cicadarouter/router"
)

// controllerSet makes a ControllerDaemon from its settings.
var controllerSet = wire.NewSet(
	directory.New,
	clock.System,
	ownership.DefaultTerms,
	domain.DefaultTiming,
	controllerCredentials,
	controllerIdentity,
	controllerLog,
	controllerStore,
	controllerSeeds,
	newLinks,
	newServerDialer,
	domain.NewController,
	wire.Bind(new(link.Peers), new(*link.Pool)),
	wire.Struct(new(ControllerDaemon), "*"),
)

// routerSet makes a RouterDaemon from its settings.
var routerSet = wire.NewSet(
	directory.New,
	clock.System,
	routerCredentials,
	routerIdentity,
	routerLimits,
	routerLog,
	newLinks,
	newIncarnation,
	wallClock,
	router.New,
	wire.Bind(new(link.Peers), new(*link.Pool)),
	wire.Struct(new(RouterDaemon), "*"),
)

// NewControllerDaemon wires a controller.
func NewControllerDaemon(s ControllerSettings) (*ControllerDaemon, error) {
	wire.Build(controllerSet)
	return nil, nil
}

// NewRouterDaemon wires a router.
func NewRouterDaemon(s RouterSettings) (*RouterDaemon, error) {
	wire.Build(routerSet)
	return nil, nil
}
