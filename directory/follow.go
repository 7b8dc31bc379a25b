package directory

import (
	"context"
	"time"

	"cicadarouter/link/linkpb"
)

// Timing of the record streams. A frozen sender keeps its connections open, so
// that a follower detects it only by the missing heartbeats. The timeout leaves
// enough time to switch to another sender for a change to reach every process
// within 4 s.
const (
	// HeartbeatInterval is the interval at which a sender sends an update if
	// nothing has changed.
	HeartbeatInterval = time.Second
	// silenceTimeout is how long a follower waits for the next update before it
	// drops the stream.
	silenceTimeout = 2500 * time.Millisecond
)

// Follow passes the updates of a controller's record stream to handle until the
// stream fails, no update arrives for silenceTimeout, or the context ends.
func Follow(ctx context.Context, client linkpb.ControlClient, request *linkpb.RecordsRequest, handle func(*linkpb.RecordsUpdate)) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	silence := time.AfterFunc(silenceTimeout, cancel)
	defer silence.Stop()
	stream, err := client.Records(ctx, request)
	if err != nil {
		return err
	}
	for {
		update, err := stream.Recv()
		if err != nil {
			return err
		}
		silence.Reset(silenceTimeout)
		handle(update)
	}
}

// ApplyUpdate applies an update to the directory. Records that are older than the local
// ones are ignored.
func (d *Directory) ApplyUpdate(update *linkpb.RecordsUpdate) {
	d.Apply(ObjectsFromLink(update.GetRecords()), update.GetRevision())
	d.ApplyHosts(update)
	for _, dispatcher := range update.GetDispatchers() {
		d.SetDispatcher(dispatcher.GetPage(), dispatcher.GetHost())
	}
}

// ApplyHosts applies the host list of an update, if it contains one.
func (d *Directory) ApplyHosts(update *linkpb.RecordsUpdate) {
	if update.GetHostsChanged() {
		d.SetHosts(hostsFromLink(update.GetHosts()))
	}
}
