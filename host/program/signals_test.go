package program

import (
	"os"
	"os/signal"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a second signal that ends the process at once, while the requests in progress are being
// answered.
func TestSecondSignalDoesNotEndTheProcess(t *testing.T) {
	ctx, stop := Signals()
	defer stop()
	assert.NilError(t, syscall.Kill(os.Getpid(), syscall.SIGTERM))
	<-ctx.Done()
	handled := make(chan os.Signal, 1)
	signal.Notify(handled, syscall.SIGUSR1) // does not handle SIGTERM
	defer signal.Stop(handled)
	assert.NilError(t, syscall.Kill(os.Getpid(), syscall.SIGTERM))
	assert.NilError(t, syscall.Kill(os.Getpid(), syscall.SIGUSR1))
	<-handled
}
