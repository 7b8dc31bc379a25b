package directory

import (
	"context"
	"time"

	"cicadarouter/link/linkpb"
)

// Pace of the streams of records. A sender that is frozen keeps its connections
// open, so that only its silence tells; a follower then turns to another in
// time for a change to be in force everywhere within 4 s.
const (
	// HeartbeatEvery is how often a sender says that nothing has changed.
	HeartbeatEvery = time.Second
	// silenceLimit is when a follower gives a silent sender up.
	silenceLimit = 2500 * time.Millisecond
)

// Follow reads a controller's stream of records into take until it breaks, falls
// silent or the context ends.
func Follow(ctx context.Context, client linkpb.ControlClient, request *linkpb.RecordsRequest, take func(*linkpb.RecordsUpdate)) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	silence := time.AfterFunc(silenceLimit, cancel)
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
		silence.Reset(silenceLimit)
		take(update)
	}
}

// Take applies an update to the directory, which refuses what is older than it
// knows.
func (d *Directory) Take(update *linkpb.RecordsUpdate) {
	d.Apply(ObjectsFromLink(update.GetRecords()), update.GetRevision())
	d.TakeHosts(update)
	for _, dispatcher := range update.GetDispatchers() {
		d.SetDispatcher(dispatcher.GetPage(), dispatcher.GetHost())
	}
}

// TakeHosts applies the host list of an update, if it has one.
func (d *Directory) TakeHosts(update *linkpb.RecordsUpdate) {
	if update.GetHostsChanged() {
		d.SetHosts(hostsFromLink(update.GetHosts()))
	}
}
