package host

import (
	"bytes"
	"io"
	"net/http"

	"github.com/VictoriaMetrics/metrics"
	restful "github.com/emicklei/go-restful/v3"
)

// adminRoutes describes a daemon's administrative HTTP interface.
type adminRoutes struct {
	// healthy reports whether the load balancer should send callers to this host.
	healthy func() bool
	// status describes the daemon's state.
	status func() any
	// extra writes the daemon's own metrics.
	extra func(out io.Writer)
}

// newAdminHandler returns the handler of the administrative interface: /healthz for the
// platform's load balancer, /metrics and /status.
func newAdminHandler(routes adminRoutes) http.Handler {
	service := new(restful.WebService)
	service.Path("/").Produces(restful.MIME_JSON, "text/plain")
	service.Route(service.GET("/healthz").Doc("200 if the load balancer should send callers to this host, else 503").To(
		func(_ *restful.Request, response *restful.Response) {
			if !routes.healthy() {
				response.WriteHeader(http.StatusServiceUnavailable)
			}
		}))
	service.Route(service.GET("/status").Doc("the daemon's state, as JSON").To(
		func(_ *restful.Request, response *restful.Response) {
			_ = response.WriteAsJson(routes.status())
		}))
	service.Route(service.GET("/metrics").Doc("metrics in the text exposition format").To(
		func(_ *restful.Request, response *restful.Response) {
			var body bytes.Buffer
			routes.extra(&body)
			metrics.WriteProcessMetrics(&body)
			response.AddHeader("Content-Type", "text/plain")
			_, _ = body.WriteTo(response)
		}))
	container := restful.NewContainer()
	container.Add(service)
	return container
}
