package load

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"

	"cicadarouter/host/clock"
	"cicadarouter/standin"
)

// injectFault injects a fault at its time and ends it after its duration.
func (r *Runner) injectFault(ctx context.Context, fault Fault) {
	defer r.tasks.Done()
	clock.Sleep(ctx, fault.At)
	r.setFault(ctx, fault, true)
	clock.Sleep(ctx, fault.For)
	r.setFault(context.WithoutCancel(ctx), fault, false)
}

func (r *Runner) setFault(ctx context.Context, fault Fault, on bool) {
	const slowFactor = 5
	const lostReplies = 3
	var server standin.ServerFaults
	var store standin.PlatformFaults
	switch fault.Action {
	case ActionFreeze:
		server.Frozen = on
	case ActionDrain:
		server.Draining = on
	case ActionShed:
		server.RejectRequests = on
	case ActionSlow:
		if on {
			server.SlowFactor = slowFactor
		}
	case ActionStoreDown:
		store.Down = on
	case ActionDropResponses:
		if on {
			store.DropResponses = lostReplies
		}
	}
	if fault.Action == ActionStoreDown || fault.Action == ActionDropResponses {
		r.put(ctx, "http://"+r.experiment.Store+"/standin/faults", store)
		return
	}
	for _, fleet := range r.experiment.Fleets {
		r.put(ctx, "http://"+fleet+"/standin/servers/"+fault.Target+"/faults", server)
	}
}

func (r *Runner) put(ctx context.Context, url string, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		return
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, url, bytes.NewReader(body))
	if err != nil {
		return
	}
	request.Header.Set("Content-Type", "application/json")
	if response, err := r.client.Do(request); err == nil {
		_ = response.Body.Close()
	}
}
