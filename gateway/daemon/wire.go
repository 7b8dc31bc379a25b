//go:build wireinject

package daemon

import (
	"github.com/google/wire"

	"cicadarouter/gateway"
)

// New builds the daemon from its settings.
func New(s Settings) *Daemon {
	wire.Build(newLines, newLog, newStore, newIdentity, newPlatform, gateway.New, newDaemon)
	return nil
}
