//go:build wireinject

package host

import "github.com/google/wire"

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
